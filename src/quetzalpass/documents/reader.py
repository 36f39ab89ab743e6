"""Reading of YAML into nodes.

Aliases and deep nesting are refused before a tree is built, since a few bytes of them
can stand for gigabytes or exhaust the stack.
"""

import pathlib

import msgspec
import yaml
from returns import result

from quetzalpass.documents import nodes, problems

MAX_FILE_BYTES = 64_000_000
MAX_DEPTH = 16
TIMESTAMP_TAG = "tag:yaml.org,2002:timestamp"

LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

ReadResult = result.Result[nodes.Node, tuple[problems.Problem, ...]]


class FileProblemError(Exception):
    """Ends the reading of one file with the problem that it carries."""

    def __init__(self, problem: problems.Problem) -> None:
        super().__init__(problem.text())
        self.problem = problem


class Builder(msgspec.Struct):
    """Builds nodes from one file and collects what is wrong on the way.

    Attributes
    ----------
    file : str
        Name of the file in problems.
    loader : yaml.SafeLoader
        Constructs scalars.
    found : list of Problem
        What is wrong.
    """

    file: str
    loader: object
    found: list[problems.Problem]

    def build(self, source: yaml.Node, field: str) -> nodes.Node:
        """Return the node of a YAML node and of all below it."""
        line = source.start_mark.line + 1
        if isinstance(source, yaml.MappingNode):
            return nodes.Node(self.file, line, self.build_mapping(source, field))
        if isinstance(source, yaml.SequenceNode):
            items = [
                self.build(item, f"{field}[{index}]")
                for index, item in enumerate(source.value)
            ]
            return nodes.Node(self.file, line, items)
        return nodes.Node(self.file, line, self.build_scalar(source, field))

    def build_mapping(
        self, source: yaml.MappingNode, field: str
    ) -> dict[str, nodes.Node]:
        """Return the fields of a mapping; a repeated one is a problem."""
        children: dict[str, nodes.Node] = {}
        for key, value in source.value:
            line = key.start_mark.line + 1
            if not isinstance(key, yaml.ScalarNode):
                self.add(line, field, "a field name must be a plain word")
                continue
            name = key.value
            path = f"{field}.{name}" if field else name
            if name in children:
                first = children[name].line
                self.add(line, path, f"the field is given twice, first on line {first}")
                continue
            children[name] = self.build(value, path)
        return children

    def build_scalar(self, source: yaml.ScalarNode, field: str) -> nodes.Scalar:
        """Return a scalar; times stay text, since the schema reads them."""
        if source.tag == TIMESTAMP_TAG:
            return source.value
        line = source.start_mark.line + 1
        try:
            value = self.loader.construct_object(source)
        except (ValueError, OverflowError, LookupError, yaml.YAMLError):
            self.add(line, field, "the value can't be read; put it in quotes")
            return source.value
        if value is None or isinstance(value, (str, int, float, bool)):
            return value
        self.add(line, field, "only text, numbers, true and false are read here")
        return source.value

    def add(self, line: int, field: str, message: str) -> None:
        """Record a problem."""
        self.found.append(problems.Problem(self.file, line, field, message))


def check_events(text: str, file: str) -> None:
    """Refuse aliases and deep nesting.

    Raises
    ------
    FileProblemError
        If the text holds one of them.
    yaml.YAMLError
        If the text is not YAML.
    """
    depth = 0
    for event in yaml.parse(text, Loader=LOADER):
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent):
            message = "aliases are not read; write the value out"
            raise FileProblemError(problems.Problem(file, line, "", message))
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            message = f"more than {MAX_DEPTH} levels of nesting"
            raise FileProblemError(problems.Problem(file, line, "", message))


def parse(data: bytes, file: str) -> ReadResult:
    """Return the document in the bytes of a file.

    Parameters
    ----------
    data : bytes
        UTF-8 text, one YAML document.
    file : str
        Name of the file in problems.

    Returns
    -------
    Result of Node or tuple of Problem
        An empty document is an empty mapping.
    """
    try:
        text = data.decode()
        check_events(text, file)
        return build_document(text, file)
    except FileProblemError as error:
        return result.Failure((error.problem,))
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        return result.Failure((problems.Problem(file, line, "", "not UTF-8 text"),))
    except yaml.YAMLError as error:
        return result.Failure((syntax_problem(error, file),))


def build_document(text: str, file: str) -> ReadResult:
    """Return the nodes of a text whose events were checked."""
    loader = LOADER(text)
    try:
        source = loader.get_single_node()
        if source is None:
            return result.Success(nodes.Node(file, 1, {}))
        builder = Builder(file, loader, [])
        node = builder.build(source, "")
    finally:
        loader.dispose()
    if builder.found:
        return result.Failure(tuple(builder.found))
    if not isinstance(node.value, dict):
        message = "the file must hold fields, 'name: value' on each line"
        return result.Failure((problems.Problem(file, node.line, "", message),))
    return result.Success(node)


def syntax_problem(error: yaml.YAMLError, file: str) -> problems.Problem:
    """Return the problem of a text that is not YAML."""
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark is not None else 0
    detail = getattr(error, "problem", None) or "characters that YAML doesn't allow"
    return problems.Problem(file, line, "", f"not YAML: {detail}")


def read_file(path: pathlib.Path, name: str | None = None) -> ReadResult:
    """Return the document in a file.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    name : str or None
        Name of the file in problems; the path if not given.

    Returns
    -------
    Result of Node or tuple of Problem
        A file that can't be read is a problem.
    """
    file = name or str(path)
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            message = f"larger than {MAX_FILE_BYTES} bytes"
            return result.Failure((problems.Problem(file, 0, "", message),))
        data = path.read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        message = f"can't be read: {reason}"
        return result.Failure((problems.Problem(file, 0, "", message),))
    return parse(data, file)

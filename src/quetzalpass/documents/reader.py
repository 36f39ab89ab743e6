"""Parsing of YAML into nodes.

Aliases and deep nesting are rejected before a tree is built, since a few bytes of them
can expand to gigabytes or overflow the stack.
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
    """Aborts parsing of a file; ``problem`` says why."""

    def __init__(self, problem: problems.Problem) -> None:
        super().__init__(problem.text())
        self.problem = problem


class NodeBuilder(msgspec.Struct):
    """Builds the nodes of one file and collects its problems.

    Attributes
    ----------
    file : str
        Name of the file in problems.
    loader : yaml.SafeLoader
        Constructs scalars.
    found : list of Problem
        Problems found so far.
    """

    file: str
    loader: object
    found: list[problems.Problem]

    def build(self, yaml_node: yaml.Node, field: str) -> nodes.Node:
        """Convert a YAML node and all nodes below it."""
        line = yaml_node.start_mark.line + 1
        if isinstance(yaml_node, yaml.MappingNode):
            return nodes.Node(self.file, line, self.build_mapping(yaml_node, field))
        if isinstance(yaml_node, yaml.SequenceNode):
            items = [
                self.build(item, f"{field}[{index}]")
                for index, item in enumerate(yaml_node.value)
            ]
            return nodes.Node(self.file, line, items)
        return nodes.Node(self.file, line, self.build_scalar(yaml_node, field))

    def build_mapping(
        self, yaml_node: yaml.MappingNode, field: str
    ) -> dict[str, nodes.Node]:
        """Convert the fields of a mapping; a duplicate field is a problem."""
        children: dict[str, nodes.Node] = {}
        for key, value in yaml_node.value:
            line = key.start_mark.line + 1
            if not isinstance(key, yaml.ScalarNode):
                self.add_problem(line, field, "a field name must be a plain word")
                continue
            name = key.value
            path = f"{field}.{name}" if field else name
            if name in children:
                first = children[name].line
                self.add_problem(
                    line, path, f"the field is given twice, first on line {first}"
                )
                continue
            children[name] = self.build(value, path)
        return children

    def build_scalar(self, yaml_node: yaml.ScalarNode, field: str) -> nodes.Scalar:
        """Convert a scalar; times stay text, which the schema expects."""
        if yaml_node.tag == TIMESTAMP_TAG:
            return yaml_node.value
        line = yaml_node.start_mark.line + 1
        try:
            value = self.loader.construct_object(yaml_node)
        except (ValueError, OverflowError, LookupError, yaml.YAMLError):
            self.add_problem(line, field, "the value can't be read; put it in quotes")
            return yaml_node.value
        if value is None or isinstance(value, (str, int, float, bool)):
            return value
        self.add_problem(line, field, "the value must be text, a number, true or false")
        return yaml_node.value

    def add_problem(self, line: int, field: str, message: str) -> None:
        """Record a problem."""
        self.found.append(problems.Problem(self.file, line, field, message))


def check_events(text: str, file: str) -> None:
    """Reject aliases and deep nesting.

    Raises
    ------
    FileProblemError
        If the text contains one of them.
    yaml.YAMLError
        If the text is not YAML.
    """
    depth = 0
    for event in yaml.parse(text, Loader=LOADER):
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent):
            message = "aliases are not supported; write the value out"
            raise FileProblemError(problems.Problem(file, line, "", message))
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            message = f"more than {MAX_DEPTH} levels of nesting"
            raise FileProblemError(problems.Problem(file, line, "", message))


def parse(data: bytes, file: str) -> ReadResult:
    """Parse the contents of a file.

    Parameters
    ----------
    data : bytes
        UTF-8 text, one YAML document.
    file : str
        Name of the file in problems.

    Returns
    -------
    Result of Node or tuple of Problem
        The document, or its problems. An empty document is an empty mapping.
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
    """Build the nodes of a text that :func:`check_events` has accepted."""
    loader = LOADER(text)
    try:
        yaml_node = loader.get_single_node()
        if yaml_node is None:
            return result.Success(nodes.Node(file, 1, {}))
        builder = NodeBuilder(file, loader, [])
        node = builder.build(yaml_node, "")
    finally:
        loader.dispose()
    if builder.found:
        return result.Failure(tuple(builder.found))
    if not isinstance(node.value, dict):
        message = "the file must contain fields, 'name: value' on each line"
        return result.Failure((problems.Problem(file, node.line, "", message),))
    return result.Success(node)


def syntax_problem(error: yaml.YAMLError, file: str) -> problems.Problem:
    """Return the problem of a text that is not valid YAML."""
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark is not None else 0
    detail = getattr(error, "problem", None) or "characters that YAML doesn't allow"
    return problems.Problem(file, line, "", f"not YAML: {detail}")


def read_file(path: pathlib.Path, name: str | None = None) -> ReadResult:
    """Read and parse a file.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    name : str or None
        Name of the file in problems; the path if not given.

    Returns
    -------
    Result of Node or tuple of Problem
        The document, or its problems. A file that can't be read is one problem.
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

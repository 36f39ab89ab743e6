"""Loading of a declaration from a folder of YAML files.

Each file holds some of the declaration's fields. Lists of the same name are joined
over all files in the order of their names; a value that is no list stands in one file
only.
"""

import pathlib

import msgspec
from returns import result

from quetzalpass.declarations import checks, entries, schema
from quetzalpass.documents import nodes, problems, reader, shape

PATTERNS = ("*.yaml", "*.yml")

Problem = problems.Problem
LoadResult = result.Result[schema.Declaration, tuple[problems.Problem, ...]]


class Report(msgspec.Struct, frozen=True):
    """What a folder holds.

    Attributes
    ----------
    declaration : Declaration or None
        The declaration; ``None`` if there are errors.
    problems : tuple of Problem
        Errors and warnings, by file and line.
    """

    declaration: schema.Declaration | None
    problems: tuple[problems.Problem, ...]


def load_folder(path: str | pathlib.Path) -> LoadResult:
    """Return the declaration in a folder, or in one file.

    Parameters
    ----------
    path : str or pathlib.Path
        The folder or file.

    Returns
    -------
    Result of Declaration or tuple of Problem
        Every error of every file.
    """
    report = check_folder(path)
    if report.declaration is None:
        return result.Failure(checks.errors_among(report.problems))
    return result.Success(report.declaration)


def check_folder(path: str | pathlib.Path) -> Report:
    """Return the declaration in a folder, or in one file, with every problem.

    Parameters
    ----------
    path : str or pathlib.Path
        The folder or file.

    Returns
    -------
    Report
        The declaration, unless there are errors, and all errors and warnings.
    """
    document, found = read_joined(pathlib.Path(path))
    declaration, faults = shape.convert(document, schema.Declaration)
    found += faults
    found += checks.check_document(entries.Document(document, declaration))
    found.sort(key=lambda problem: (problem.file, problem.line))
    if checks.errors_among(found):
        declaration = None
    return Report(declaration, tuple(found))


def read_joined(path: pathlib.Path) -> tuple[nodes.Node, list[problems.Problem]]:
    """Return the joined document of all files, and the faults of those unreadable."""
    joined = nodes.Node(str(path), 0, {})
    found: list[problems.Problem] = []
    files = files_of(path)
    if not files:
        message = "no YAML file stands in this folder"
        found.append(problems.Problem(str(path), 0, "", message))
    for file in files:
        document = reader.read_file(file)
        if isinstance(document, result.Success):
            found += join(joined, document.unwrap())
        else:
            found += document.failure()
    return joined, found


def files_of(path: pathlib.Path) -> list[pathlib.Path]:
    """Return the YAML files of a folder by name, or the one file."""
    if not path.is_dir():
        return [path]
    return sorted(file for pattern in PATTERNS for file in path.glob(pattern))


def join(joined: nodes.Node, document: nodes.Node) -> list[problems.Problem]:
    """Add the fields of a file to the joined document."""
    found = []
    for name, child in document.value.items():
        present = joined.value.get(name)
        if present is None:
            joined.value[name] = child
        elif isinstance(present.value, list) and isinstance(child.value, list):
            items = present.value + child.value
            joined.value[name] = nodes.Node(present.file, present.line, items)
        else:
            message = f"stands already in {present.file} on line {present.line}"
            found.append(problems.Problem(child.file, child.line, name, message))
    return found

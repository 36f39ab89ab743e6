"""Loading of a declaration from a folder of YAML files.

Each file contains some of the declaration's fields. Lists of the same name are
concatenated in the order of the file names; a field that is not a list may be given in
one file only.
"""

import pathlib

import msgspec
from returns import result

from quetzalpass.declarations import checks, entries, schema
from quetzalpass.documents import nodes, problems, reader, shape

FILE_PATTERNS = ("*.yaml", "*.yml")

Problem = problems.Problem
LoadResult = result.Result[schema.Declaration, tuple[problems.Problem, ...]]


class Report(msgspec.Struct, frozen=True):
    """The result of validating a folder.

    Attributes
    ----------
    declaration : Declaration or None
        The declaration, or ``None`` if there are errors.
    problems : tuple of Problem
        Errors and warnings, sorted by file and line.
    """

    declaration: schema.Declaration | None
    problems: tuple[problems.Problem, ...]


def load_folder(path: str | pathlib.Path) -> LoadResult:
    """Load the declaration in a folder or a single file.

    Parameters
    ----------
    path : str or pathlib.Path
        The folder or file.

    Returns
    -------
    Result of Declaration or tuple of Problem
        The declaration, or the errors of all files.
    """
    report = check_folder(path)
    if report.declaration is None:
        return result.Failure(checks.select_errors(report.problems))
    return result.Success(report.declaration)


def check_folder(path: str | pathlib.Path) -> Report:
    """Load and validate a folder or a single file; return every problem found.

    Parameters
    ----------
    path : str or pathlib.Path
        The folder or file.

    Returns
    -------
    Report
        The declaration, or ``None`` if there are errors, with all errors and warnings.
    """
    document, found = read_files(pathlib.Path(path))
    declaration, type_problems = shape.convert(document, schema.Declaration)
    found += type_problems
    found += checks.check_document(entries.Document(document, declaration))
    found.sort(key=lambda problem: (problem.file, problem.line))
    if checks.select_errors(found):
        declaration = None
    return Report(declaration, tuple(found))


def read_files(path: pathlib.Path) -> tuple[nodes.Node, list[problems.Problem]]:
    """Return the merged document of all files, and the problems of unreadable ones."""
    merged = nodes.Node(str(path), 0, {})
    found: list[problems.Problem] = []
    files = list_files(path)
    if not files:
        message = "the folder contains no YAML file"
        found.append(problems.Problem(str(path), 0, "", message))
    for file in files:
        document = reader.read_file(file)
        if isinstance(document, result.Success):
            found += merge_fields(merged, document.unwrap())
        else:
            found += document.failure()
    return merged, found


def list_files(path: pathlib.Path) -> list[pathlib.Path]:
    """Return the YAML files of a folder sorted by name, or the single file."""
    if not path.is_dir():
        return [path]
    return sorted(file for pattern in FILE_PATTERNS for file in path.glob(pattern))


def merge_fields(merged: nodes.Node, document: nodes.Node) -> list[problems.Problem]:
    """Merge the fields of one file into the document of all files."""
    found = []
    for name, child in document.value.items():
        present = merged.value.get(name)
        if present is None:
            merged.value[name] = child
        elif isinstance(present.value, list) and isinstance(child.value, list):
            items = present.value + child.value
            merged.value[name] = nodes.Node(present.file, present.line, items)
        else:
            message = f"is already given in {present.file} on line {present.line}"
            found.append(problems.Problem(child.file, child.line, name, message))
    return found

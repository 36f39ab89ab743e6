"""Descriptions of fields, read from numpydoc docstrings."""

import inspect
import re

HEADING = "Attributes"
ENTRY = re.compile(r"^(?P<names>\w+(, \w+)*) : .+$")


def descriptions_of(kind: type) -> dict[str, str]:
    """Return the description of each attribute of a class, by its name.

    Parameters
    ----------
    kind : type
        Class whose docstring has a section of attributes.

    Returns
    -------
    dict of str to str
        Descriptions as one line each; empty without such a section.
    """
    found: dict[str, list[str]] = {}
    current: list[str] = []
    for line in section_of(inspect.getdoc(kind) or ""):
        match = ENTRY.match(line)
        if match is None:
            current.append(line.strip())
            continue
        current = []
        for name in match["names"].split(", "):
            found[name] = current
    return {name: " ".join(lines).strip() for name, lines in found.items()}


def section_of(text: str) -> list[str]:
    """Return the lines below the heading of the attributes."""
    lines = text.splitlines()
    if HEADING not in lines:
        return []
    return lines[lines.index(HEADING) + 2 :]


def summary_of(kind: type) -> str:
    """Return the first paragraph of a docstring as one line."""
    paragraph = (inspect.getdoc(kind) or "").partition("\n\n")[0]
    return " ".join(paragraph.split())

"""Summaries and attribute descriptions parsed from numpydoc docstrings."""

import inspect
import re

HEADING = "Attributes"
ATTRIBUTE_PATTERN = re.compile(r"^(?P<names>\w+(, \w+)*) : .+$")


def attribute_descriptions(class_: type) -> dict[str, str]:
    """Return the description of each attribute of a class by name.

    Parameters
    ----------
    class_ : type
        Class whose docstring has an ``Attributes`` section.

    Returns
    -------
    dict of str to str
        Each description as one line; empty without such a section.
    """
    found: dict[str, list[str]] = {}
    current: list[str] = []
    for line in attribute_lines(inspect.getdoc(class_) or ""):
        match = ATTRIBUTE_PATTERN.match(line)
        if match is None:
            current.append(line.strip())
            continue
        current = []
        for name in match["names"].split(", "):
            found[name] = current
    return {name: " ".join(lines).strip() for name, lines in found.items()}


def attribute_lines(text: str) -> list[str]:
    """Return the lines of a docstring's ``Attributes`` section."""
    lines = text.splitlines()
    if HEADING not in lines:
        return []
    return lines[lines.index(HEADING) + 2 :]


def docstring_summary(class_: type) -> str:
    """Return the first paragraph of a docstring as one line."""
    paragraph = (inspect.getdoc(class_) or "").partition("\n\n")[0]
    return " ".join(paragraph.split())

"""Checks of a node against a typed struct: every fault at once, with its place."""

import enum
import functools
import math
import types
from typing import TypeVar

import msgspec
from msgspec import inspect

from quetzalpass.documents import nodes, problems

Kind = TypeVar("Kind", bound=msgspec.Struct)

MAX_INTEGER = 2**53
SCALARS: dict[type, tuple[type, str]] = {
    inspect.StrType: (str, "text"),
    inspect.IntType: (int, "a whole number"),
    inspect.FloatType: (float, "a number"),
    inspect.BoolType: (bool, "true or false"),
}


def struct_type(kind: type[msgspec.Struct]) -> inspect.StructType:
    """Return the description of a struct."""
    return _struct_type(kind)


@functools.cache
def _struct_type(kind: type[msgspec.Struct]) -> inspect.StructType:
    description = inspect.type_info(kind)
    if not isinstance(description, inspect.StructType):
        raise TypeError(f"{kind.__name__} is not a struct")
    return description


def convert(
    node: nodes.Node, kind: type[Kind], field: str = ""
) -> tuple[Kind | None, list[problems.Problem]]:
    """Return the typed value of a node, or all that is wrong with it.

    Parameters
    ----------
    node : Node
        The value to check.
    kind : type
        Struct that it should be.
    field : str
        Path of the node, for problems.

    Returns
    -------
    value : kind or None
        The value; ``None`` if there are problems.
    found : list of Problem
        Every fault of the node and of all below it.
    """
    found = faults_of(node, struct_type(kind), field)
    if found:
        return None, found
    return msgspec.convert(node.plain(), type=kind), found


def faults_of(
    node: nodes.Node, expected: inspect.Type, field: str
) -> list[problems.Problem]:
    """Return every fault of a node against a described type."""
    if isinstance(expected, inspect.StructType):
        return struct_faults(node, expected, field)
    if isinstance(expected, inspect.VarTupleType):
        return list_faults(node, expected, field)
    if isinstance(expected, inspect.UnionType):
        return optional_faults(node, expected, field)
    if isinstance(expected, inspect.EnumType):
        return enum_faults(node, expected.cls, field)
    return scalar_faults(node, expected, field)


def fault(
    node: nodes.Node, field: str, message: str, suggestion: str | None = None
) -> problems.Problem:
    """Return a problem at the place of a node."""
    return problems.Problem(node.file, node.line, field, message, suggestion)


def path_of(field: str, name: str) -> str:
    """Return the path of a field below another."""
    return f"{field}.{name}" if field else name


def struct_faults(
    node: nodes.Node, expected: inspect.StructType, field: str
) -> list[problems.Problem]:
    """Return unknown and missing fields, and the faults of those present."""
    if not isinstance(node.value, dict):
        return [fault(node, field, f"must be {fields_text(expected)}")]
    known = {item.encode_name: item for item in expected.fields}
    found = []
    for name, child in node.value.items():
        path = path_of(field, name)
        if name in known:
            found += faults_of(child, known[name].type, path)
            continue
        suggestion = problems.near_name(name, known)
        found.append(fault(child, path, "unknown field", suggestion))
    for name, item in known.items():
        if item.required and name not in node.value:
            found.append(fault(node, path_of(field, name), "the field is missing"))
    return found


def fields_text(expected: inspect.StructType) -> str:
    """Return the fields of a struct for a message."""
    names = ", ".join(item.encode_name for item in expected.fields)
    return f"fields out of: {names}"


def list_faults(
    node: nodes.Node, expected: inspect.VarTupleType, field: str
) -> list[problems.Problem]:
    """Return the faults of each item of a list."""
    if not isinstance(node.value, list):
        return [fault(node, field, "must be a list", "start each item with '- '")]
    found = []
    for index, item in enumerate(node.value):
        found += faults_of(item, expected.item_type, f"{field}[{index}]")
    return found


def optional_faults(
    node: nodes.Node, expected: inspect.UnionType, field: str
) -> list[problems.Problem]:
    """Return the faults of a value that may be absent."""
    if node.value is None:
        return []
    (inner,) = (
        choice for choice in expected.types if not isinstance(choice, inspect.NoneType)
    )
    return faults_of(node, inner, field)


def enum_faults(
    node: nodes.Node, kind: type[enum.Enum], field: str
) -> list[problems.Problem]:
    """Return the fault of a value that is not one of a few words."""
    words = [member.value for member in kind]
    if node.value in words:
        return []
    suggestion = problems.near_name(str(node.value), words)
    return [fault(node, field, f"must be one of: {', '.join(words)}", suggestion)]


def scalar_faults(
    node: nodes.Node, expected: inspect.Type, field: str
) -> list[problems.Problem]:
    """Return the fault of a text, number or truth value."""
    kind, words = SCALARS[type(expected)]
    value = node.value
    if not has_kind(value, kind):
        suggestion = "put it in quotes" if needs_quotes(value, kind) else None
        return [fault(node, field, f"must be {words}", suggestion)]
    if isinstance(value, float) and not math.isfinite(value):
        return [fault(node, field, "must be a finite number")]
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return [fault(node, field, f"must be between -{MAX_INTEGER} and {MAX_INTEGER}")]
    if isinstance(value, str) and not is_clean(value):
        return [fault(node, field, "must not hold control characters")]
    return []


def has_kind(value: object, kind: type) -> bool:
    """Return whether a value is of a scalar kind; a whole number is a number."""
    if isinstance(value, bool):
        return kind is bool
    if kind is float:
        return isinstance(value, (int, float))
    return isinstance(value, kind)


def needs_quotes(value: object, kind: type) -> bool:
    """Return whether YAML read a text as a number or truth value."""
    scalar = isinstance(value, (int, float, bool, types.NoneType))
    return kind is str and scalar


def is_clean(text: str) -> bool:
    """Return whether a text is printable and can be encoded."""
    return text.isprintable()

"""Validation of nodes against typed structs, with every problem and its location."""

import enum
import functools
import math
import types
from typing import TypeVar

import msgspec
from msgspec import inspect

from quetzalpass.documents import nodes, problems

StructT = TypeVar("StructT", bound=msgspec.Struct)

MAX_INTEGER = 2**53
SCALARS: dict[type, tuple[type, str]] = {
    inspect.StrType: (str, "text"),
    inspect.IntType: (int, "a whole number"),
    inspect.FloatType: (float, "a number"),
    inspect.BoolType: (bool, "true or false"),
}


def struct_info(struct_type: type[msgspec.Struct]) -> inspect.StructType:
    """Return msgspec's description of a struct."""
    return _struct_info(struct_type)


@functools.cache
def _struct_info(struct_type: type[msgspec.Struct]) -> inspect.StructType:
    description = inspect.type_info(struct_type)
    if not isinstance(description, inspect.StructType):
        raise TypeError(f"{struct_type.__name__} is not a struct")
    return description


def convert(
    node: nodes.Node, struct_type: type[StructT], field: str = ""
) -> tuple[StructT | None, list[problems.Problem]]:
    """Convert a node to a struct, or return all of its problems.

    Parameters
    ----------
    node : Node
        The value to convert.
    struct_type : type
        Struct to convert to.
    field : str
        Path of the node, for problems.

    Returns
    -------
    value : struct_type or None
        The value; ``None`` if there are problems.
    found : list of Problem
        Every problem of the node and of all nodes below it.
    """
    found = find_problems(node, struct_info(struct_type), field)
    if found:
        return None, found
    return msgspec.convert(node.to_builtins(), type=struct_type), found


def find_problems(
    node: nodes.Node, expected: inspect.Type, field: str
) -> list[problems.Problem]:
    """Return every problem of a node that should have a type."""
    if isinstance(expected, inspect.StructType):
        return find_struct_problems(node, expected, field)
    if isinstance(expected, inspect.VarTupleType):
        return find_list_problems(node, expected, field)
    if isinstance(expected, inspect.UnionType):
        return find_optional_problems(node, expected, field)
    if isinstance(expected, inspect.EnumType):
        return find_enum_problems(node, expected.cls, field)
    return find_scalar_problems(node, expected, field)


def problem_at(
    node: nodes.Node, field: str, message: str, suggestion: str | None = None
) -> problems.Problem:
    """Return a problem with the file and line of a node."""
    return problems.Problem(node.file, node.line, field, message, suggestion)


def join_path(field: str, name: str) -> str:
    """Return the path of a field within another."""
    return f"{field}.{name}" if field else name


def find_struct_problems(
    node: nodes.Node, expected: inspect.StructType, field: str
) -> list[problems.Problem]:
    """Return unknown and missing fields, and the problems of the others."""
    if not isinstance(node.value, dict):
        return [problem_at(node, field, f"must be {describe_fields(expected)}")]
    known = {item.encode_name: item for item in expected.fields}
    found = []
    for name, child in node.value.items():
        path = join_path(field, name)
        if name in known:
            found += find_problems(child, known[name].type, path)
            continue
        suggestion = problems.suggest_name(name, known)
        found.append(problem_at(child, path, "unknown field", suggestion))
    for name, item in known.items():
        if item.required and name not in node.value:
            found.append(
                problem_at(node, join_path(field, name), "the field is missing")
            )
    return found


def describe_fields(expected: inspect.StructType) -> str:
    """Return a text for messages that lists the fields of a struct."""
    names = ", ".join(item.encode_name for item in expected.fields)
    return f"a mapping with fields out of: {names}"


def find_list_problems(
    node: nodes.Node, expected: inspect.VarTupleType, field: str
) -> list[problems.Problem]:
    """Return the problems of all items of a list."""
    if not isinstance(node.value, list):
        return [problem_at(node, field, "must be a list", "start each item with '- '")]
    found = []
    for index, item in enumerate(node.value):
        found += find_problems(item, expected.item_type, f"{field}[{index}]")
    return found


def find_optional_problems(
    node: nodes.Node, expected: inspect.UnionType, field: str
) -> list[problems.Problem]:
    """Return the problems of a value that may be missing."""
    if node.value is None:
        return []
    (inner,) = (
        choice for choice in expected.types if not isinstance(choice, inspect.NoneType)
    )
    return find_problems(node, inner, field)


def find_enum_problems(
    node: nodes.Node, enum_type: type[enum.Enum], field: str
) -> list[problems.Problem]:
    """Return a problem if a value is not a member of an enum."""
    words = [member.value for member in enum_type]
    if node.value in words:
        return []
    suggestion = problems.suggest_name(str(node.value), words)
    return [problem_at(node, field, f"must be one of: {', '.join(words)}", suggestion)]


def find_scalar_problems(
    node: nodes.Node, expected: inspect.Type, field: str
) -> list[problems.Problem]:
    """Return a problem if a value is not valid text, number or boolean."""
    scalar_type, description = SCALARS[type(expected)]
    value = node.value
    if not is_of_type(value, scalar_type):
        suggestion = "put it in quotes" if needs_quotes(value, scalar_type) else None
        return [problem_at(node, field, f"must be {description}", suggestion)]
    if isinstance(value, float) and not math.isfinite(value):
        return [problem_at(node, field, "must be a finite number")]
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return [
            problem_at(node, field, f"must be between -{MAX_INTEGER} and {MAX_INTEGER}")
        ]
    if isinstance(value, str) and not is_printable(value):
        return [problem_at(node, field, "must not contain control characters")]
    return []


def is_of_type(value: object, scalar_type: type) -> bool:
    """Return whether a value has a scalar type; integers also count as floats."""
    if isinstance(value, bool):
        return scalar_type is bool
    if scalar_type is float:
        return isinstance(value, (int, float))
    return isinstance(value, scalar_type)


def needs_quotes(value: object, scalar_type: type) -> bool:
    """Return whether YAML has parsed what should be text as another scalar."""
    is_other_scalar = isinstance(value, (int, float, bool, types.NoneType))
    return scalar_type is str and is_other_scalar


def is_printable(text: str) -> bool:
    """Return whether a text is printable, which excludes lone surrogates."""
    return text.isprintable()

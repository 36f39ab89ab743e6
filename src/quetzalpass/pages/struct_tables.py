"""Tables of every field of a schema: type, unit, default and meaning."""

import enum
from collections.abc import Iterator

import msgspec
from msgspec import inspect

from quetzalpass.documents import shape
from quetzalpass.pages import attributes

UNITS = (
    ("requests_per_s", "requests per second"),
    ("tokens_per_s", "tokens per second"),
    ("megabytes_per_s", "megabytes per second"),
    ("_s", "seconds"),
    ("_ms", "milliseconds"),
    ("_mb", "megabytes"),
    ("_bytes", "bytes"),
    ("_tokens", "tokens"),
    ("_requests", "requests"),
)
HEAD = "| field | type | unit | default | meaning |\n|---|---|---|---|---|"


def tables_of(kind: type[msgspec.Struct]) -> str:
    """Return the tables of a struct and of all structs that it holds."""
    return "\n\n".join(section_of(found) for found in structs_below(kind))


def structs_below(kind: type[msgspec.Struct]) -> list[type[msgspec.Struct]]:
    """Return a struct and those that it holds, each once, the outer ones first."""
    found = [kind]
    for current in found:
        for field in shape.struct_type(current).fields:
            inner = struct_in(field.type)
            if inner is not None and inner not in found:
                found.append(inner)
    return found


def struct_in(expected: inspect.Type) -> type[msgspec.Struct] | None:
    """Return the struct that a type is, lists, or may be."""
    if isinstance(expected, inspect.StructType):
        return expected.cls
    if isinstance(expected, inspect.VarTupleType):
        return struct_in(expected.item_type)
    if isinstance(expected, inspect.UnionType):
        return next(filter(None, map(struct_in, expected.types)), None)
    return None


def section_of(kind: type[msgspec.Struct]) -> str:
    """Return the heading, the summary and the table of one struct."""
    summary = attributes.summary_of(kind)
    return "\n".join([f"### {kind.__name__}", "", summary, "", HEAD, *rows_of(kind)])


def rows_of(kind: type[msgspec.Struct]) -> Iterator[str]:
    """Yield the row of each field.

    Raises
    ------
    KeyError
        If the docstring doesn't describe a field.
    """
    described = attributes.descriptions_of(kind)
    for field in shape.struct_type(kind).fields:
        cells = (
            f"`{field.encode_name}`",
            type_text(field.type),
            unit_of(field.name),
            default_text(field),
            described[field.name].replace("|", "\\|"),
        )
        yield f"| {' | '.join(cells)} |"


def type_text(expected: inspect.Type) -> str:
    """Return a type in words."""
    if isinstance(expected, inspect.StructType):
        return f"[{expected.cls.__name__}](#{expected.cls.__name__.lower()})"
    if isinstance(expected, inspect.VarTupleType):
        return f"list of {type_text(expected.item_type)}"
    if isinstance(expected, inspect.UnionType):
        choices = (each for each in expected.types)
        inner = next(x for x in choices if not isinstance(x, inspect.NoneType))
        return f"{type_text(inner)}, may be absent"
    if isinstance(expected, inspect.EnumType):
        return " or ".join(f"`{member.value}`" for member in expected.cls)
    return shape.SCALARS[type(expected)][1]


def unit_of(name: str) -> str:
    """Return the unit that the end of a field's name gives."""
    for suffix, unit in UNITS:
        if name.endswith(suffix):
            return unit
    return ""


def default_text(field: inspect.Field) -> str:
    """Return the default of a field in words."""
    if field.required:
        return "required"
    value = field.default
    if isinstance(value, enum.Enum):
        return f"`{value.value}`"
    if isinstance(value, msgspec.Struct):
        return "its defaults"
    if value is None:
        return "absent"
    if value == ():
        return "empty"
    return f"`{msgspec.json.encode(value).decode()}`"

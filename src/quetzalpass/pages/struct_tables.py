"""Tables of the fields of a schema: type, unit, default and meaning."""

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


def render_tables(struct_type: type[msgspec.Struct]) -> str:
    """Return the tables of a struct and of all structs nested in it."""
    return "\n\n".join(
        render_section(found) for found in find_nested_structs(struct_type)
    )


def find_nested_structs(
    struct_type: type[msgspec.Struct],
) -> list[type[msgspec.Struct]]:
    """Return a struct and all structs nested in it, each once, outer ones first."""
    found = [struct_type]
    for current in found:
        for field in shape.struct_info(current).fields:
            inner = find_struct(field.type)
            if inner is not None and inner not in found:
                found.append(inner)
    return found


def find_struct(expected: inspect.Type) -> type[msgspec.Struct] | None:
    """Return the struct in a type: the type itself, its items, or a union member."""
    if isinstance(expected, inspect.StructType):
        return expected.cls
    if isinstance(expected, inspect.VarTupleType):
        return find_struct(expected.item_type)
    if isinstance(expected, inspect.UnionType):
        return next(filter(None, map(find_struct, expected.types)), None)
    return None


def render_section(struct_type: type[msgspec.Struct]) -> str:
    """Return the heading, summary and table of one struct."""
    summary = attributes.docstring_summary(struct_type)
    return "\n".join(
        [
            f"### {struct_type.__name__}",
            "",
            summary,
            "",
            HEAD,
            *render_rows(struct_type),
        ]
    )


def render_rows(struct_type: type[msgspec.Struct]) -> Iterator[str]:
    """Yield the table row of each field.

    Raises
    ------
    KeyError
        If the docstring doesn't describe a field.
    """
    descriptions = attributes.attribute_descriptions(struct_type)
    for field in shape.struct_info(struct_type).fields:
        cells = (
            f"`{field.encode_name}`",
            render_type(field.type),
            find_unit(field.name),
            render_default(field),
            descriptions[field.name].replace("|", "\\|"),
        )
        yield f"| {' | '.join(cells)} |"


def render_type(expected: inspect.Type) -> str:
    """Return the description of a type."""
    if isinstance(expected, inspect.StructType):
        return f"[{expected.cls.__name__}](#{expected.cls.__name__.lower()})"
    if isinstance(expected, inspect.VarTupleType):
        return f"list of {render_type(expected.item_type)}"
    if isinstance(expected, inspect.UnionType):
        choices = (each for each in expected.types)
        inner = next(x for x in choices if not isinstance(x, inspect.NoneType))
        return f"{render_type(inner)}, may be absent"
    if isinstance(expected, inspect.EnumType):
        return " or ".join(f"`{member.value}`" for member in expected.cls)
    return shape.SCALARS[type(expected)][1]


def find_unit(name: str) -> str:
    """Return the unit that the suffix of a field name stands for."""
    for suffix, unit in UNITS:
        if name.endswith(suffix):
            return unit
    return ""


def render_default(field: inspect.Field) -> str:
    """Return the description of a default value."""
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

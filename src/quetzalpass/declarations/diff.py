"""Differences between two declarations, item by item and field by field."""

import enum
from collections.abc import Iterator

import msgspec

from quetzalpass.declarations import entries, schema, strict


class Kind(enum.Enum):
    """What happened to an item."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class FieldChange(msgspec.Struct, frozen=True):
    """A field whose value differs; the values are in JSON."""

    field: str
    before: str
    after: str


class ItemChange(msgspec.Struct, frozen=True):
    """An item that was added, removed or changed.

    Attributes
    ----------
    kind : Kind
        What happened.
    section : str
        Field of the declaration, such as ``servers``.
    name : str
        Name of the item; empty for a section that is no list.
    fields : tuple of FieldChange
        Fields that differ, for a changed item.
    """

    kind: Kind
    section: str
    name: str
    fields: tuple[FieldChange, ...] = ()

    def lines(self) -> Iterator[str]:
        """Yield the text form."""
        mark = MARKS[self.kind]
        title = f"{self.section} {self.name}".rstrip()
        yield f"{mark} {title}"
        for change in self.fields:
            yield f"    {change.field}: {change.before} -> {change.after}"


class Diff(msgspec.Struct, frozen=True):
    """Everything that differs between two declarations."""

    changes: tuple[ItemChange, ...]

    def lines(self) -> Iterator[str]:
        """Yield the text form."""
        if not self.changes:
            yield "no difference"
        for change in self.changes:
            yield from change.lines()


MARKS = {Kind.ADDED: "+", Kind.REMOVED: "-", Kind.CHANGED: "~"}


def diff(before: schema.Declaration, after: schema.Declaration) -> Diff:
    """Return what differs between two declarations.

    Parameters
    ----------
    before, after : Declaration
        The declarations. The order of items doesn't count.

    Returns
    -------
    Diff
        Changes by section, in each by the order of ``before``, then of ``after``.
    """
    changes: list[ItemChange] = []
    for section in schema.Declaration.__struct_fields__:
        old = getattr(before, section)
        new = getattr(after, section)
        if section in entries.NAME_FIELDS:
            changes += list_changes(section, old, new)
        elif old != new:
            fields = field_changes(old, new)
            changes.append(ItemChange(Kind.CHANGED, section, "", fields))
    return Diff(tuple(changes))


def list_changes(
    section: str, before: tuple[strict.Strict, ...], after: tuple[strict.Strict, ...]
) -> Iterator[ItemChange]:
    """Yield the items of a list that were removed, changed or added."""
    key = entries.NAME_FIELDS[section]
    old = {getattr(item, key): item for item in before}
    new = {getattr(item, key): item for item in after}
    for name, item in old.items():
        if name not in new:
            yield ItemChange(Kind.REMOVED, section, name)
        elif new[name] != item:
            fields = field_changes(item, new[name])
            yield ItemChange(Kind.CHANGED, section, name, fields)
    for name in new:
        if name not in old:
            yield ItemChange(Kind.ADDED, section, name)


def field_changes(
    before: strict.Strict, after: strict.Strict
) -> tuple[FieldChange, ...]:
    """Return the fields of an item that differ."""
    names = before.__struct_fields__
    return tuple(
        FieldChange(name, text_of(before, name), text_of(after, name))
        for name in names
        if getattr(before, name) != getattr(after, name)
    )


def text_of(item: strict.Strict, name: str) -> str:
    """Return the JSON form of a field."""
    return msgspec.json.encode(getattr(item, name)).decode()

"""Comparison of two declarations by item and field, for display."""

import enum
from collections.abc import Iterator

import msgspec

from quetzalpass.declarations import entries, schema, strict


class ChangeKind(enum.Enum):
    """How an item differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class FieldChange(msgspec.Struct, frozen=True):
    """A field whose value differs, with both values as JSON."""

    field: str
    before: str
    after: str


class ItemChange(msgspec.Struct, frozen=True):
    """An item that was added, removed or changed.

    Attributes
    ----------
    kind : ChangeKind
        How it differs.
    section : str
        Field of the declaration, such as ``servers``.
    name : str
        Name of the item; empty for a section that is not a list.
    fields : tuple of FieldChange
        Fields that differ, if the item was changed.
    """

    kind: ChangeKind
    section: str
    name: str
    fields: tuple[FieldChange, ...] = ()

    def lines(self) -> Iterator[str]:
        """Yield the lines of the text output."""
        mark = MARKS[self.kind]
        title = f"{self.section} {self.name}".rstrip()
        yield f"{mark} {title}"
        for change in self.fields:
            yield f"    {change.field}: {change.before} -> {change.after}"


class Diff(msgspec.Struct, frozen=True):
    """All differences between two declarations."""

    changes: tuple[ItemChange, ...]

    def lines(self) -> Iterator[str]:
        """Yield the lines of the text output."""
        if not self.changes:
            yield "no difference"
        for change in self.changes:
            yield from change.lines()


MARKS = {ChangeKind.ADDED: "+", ChangeKind.REMOVED: "-", ChangeKind.CHANGED: "~"}


def diff(before: schema.Declaration, after: schema.Declaration) -> Diff:
    """Return the differences between two declarations.

    Parameters
    ----------
    before, after : Declaration
        The declarations. The order of items is ignored.

    Returns
    -------
    Diff
        Changes by section: removed and changed items in the order of ``before``, then
        added items in the order of ``after``.
    """
    changes: list[ItemChange] = []
    for section in schema.Declaration.__struct_fields__:
        old = getattr(before, section)
        new = getattr(after, section)
        if section in entries.NAME_FIELDS:
            changes += iter_list_changes(section, old, new)
        elif old != new:
            fields = find_field_changes(old, new)
            changes.append(ItemChange(ChangeKind.CHANGED, section, "", fields))
    return Diff(tuple(changes))


def iter_list_changes(
    section: str, before: tuple[strict.Strict, ...], after: tuple[strict.Strict, ...]
) -> Iterator[ItemChange]:
    """Yield the removed, changed and added items of a list."""
    key = entries.NAME_FIELDS[section]
    old = {getattr(item, key): item for item in before}
    new = {getattr(item, key): item for item in after}
    for name, item in old.items():
        if name not in new:
            yield ItemChange(ChangeKind.REMOVED, section, name)
        elif new[name] != item:
            fields = find_field_changes(item, new[name])
            yield ItemChange(ChangeKind.CHANGED, section, name, fields)
    for name in new:
        if name not in old:
            yield ItemChange(ChangeKind.ADDED, section, name)


def find_field_changes(
    before: strict.Strict, after: strict.Strict
) -> tuple[FieldChange, ...]:
    """Return the fields of an item that differ."""
    names = before.__struct_fields__
    return tuple(
        FieldChange(name, to_json(before, name), to_json(after, name))
        for name in names
        if getattr(before, name) != getattr(after, name)
    )


def to_json(item: strict.Strict, name: str) -> str:
    """Return the JSON form of a field."""
    return msgspec.json.encode(getattr(item, name)).decode()

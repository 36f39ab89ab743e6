"""Deltas that turn one declaration into another, sent instead of a whole declaration.

The declaration of a large deployment takes megabytes, while most changes affect a few
entries. The receiver applies a delta to its own revision and verifies the digest of the
result, so that a delta for another base revision is detected.
"""

import msgspec

from quetzalpass.declarations import entries, schema, strict

WHOLE_FIELDS = tuple(
    name
    for name in schema.Declaration.__struct_fields__
    if name not in entries.NAME_FIELDS
)


class Removed(msgspec.Struct, frozen=True):
    """Names of the entries that were removed from one list."""

    field: str
    names: tuple[str, ...]


class Inserted(msgspec.Struct, frozen=True):
    """Indexes of the entries that were inserted into one list.

    Attributes
    ----------
    field : str
        Field of the declaration that contains the list.
    indexes : tuple of int
        Index of each new entry in the new list, ascending; the entries are in
        ``Delta.changed`` in the same order.
    """

    field: str
    indexes: tuple[int, ...]


class Delta(msgspec.Struct, frozen=True):
    """The changes that turn one declaration into another.

    Attributes
    ----------
    changed : schema.Declaration
        New and changed entries, and the new values of all fields that are not lists.
    removed : tuple of Removed
        Names of the removed entries.
    inserted : tuple of Inserted
        Indexes of the new entries.
    """

    changed: schema.Declaration
    removed: tuple[Removed, ...]
    inserted: tuple[Inserted, ...] = ()


def delta_between(
    before: schema.Declaration, after: schema.Declaration
) -> Delta | None:
    """Return the delta, or ``None`` if the whole declaration must be sent.

    A delta can insert entries anywhere, but can't reorder existing ones: there is none
    if an operator has moved entries within a list.
    """
    changed = {name: getattr(after, name) for name in WHOLE_FIELDS}
    removed, inserted = [], []
    for field, key in entries.NAME_FIELDS.items():
        old = {getattr(entry, key): entry for entry in getattr(before, field)}
        new = {getattr(entry, key): entry for entry in getattr(after, field)}
        changed[field] = tuple(
            entry
            for name, entry in new.items()
            if not is_unchanged(old.get(name), entry)
        )
        removed_names = tuple(name for name in old if name not in new)
        if removed_names:
            removed.append(Removed(field, removed_names))
        indexes = tuple(index for index, name in enumerate(new) if name not in old)
        if indexes:
            inserted.append(Inserted(field, indexes))
    delta = Delta(schema.Declaration(**changed), tuple(removed), tuple(inserted))
    return delta if apply_delta(before, delta) == after else None


def is_unchanged(old: strict.Strict | None, new: strict.Strict) -> bool:
    """Return whether an entry is unchanged; skip the comparison of shared objects."""
    return old is new or old == new


def apply_delta(before: schema.Declaration, delta: Delta) -> schema.Declaration:
    """Apply a delta to the declaration that it was computed from.

    Unchanged entries are the same objects as in ``before``.
    """
    fields = {name: getattr(delta.changed, name) for name in WHOLE_FIELDS}
    removed = {entry.field: frozenset(entry.names) for entry in delta.removed}
    inserted = {entry.field: entry.indexes for entry in delta.inserted}
    for field, key in entries.NAME_FIELDS.items():
        new = getattr(delta.changed, field)
        removed_names = removed.get(field, frozenset())
        if not new and not removed_names:
            fields[field] = getattr(before, field)
            continue
        kept = {
            getattr(entry, key): entry
            for entry in getattr(before, field)
            if getattr(entry, key) not in removed_names
        }
        added = [entry for entry in new if getattr(entry, key) not in kept]
        kept.update(
            (getattr(entry, key), entry) for entry in new if getattr(entry, key) in kept
        )
        fields[field] = insert_entries(
            list(kept.values()), added, inserted.get(field, ())
        )
    return schema.Declaration(**fields)


def insert_entries(
    kept: list[strict.Strict], added: list[strict.Strict], indexes: tuple[int, ...]
) -> tuple[strict.Strict, ...]:
    """Return a list with the new entries inserted at their indexes.

    Deltas in older logs have no indexes; their new entries are appended.
    """
    for index, entry in zip(indexes, added, strict=False):
        kept.insert(index, entry)
    return (*kept, *added[len(indexes) :])


def encode(delta: Delta) -> bytes:
    """Encode a delta as JSON."""
    return msgspec.json.encode(delta)


def decode(data: bytes) -> Delta:
    """Decode a delta from JSON.

    Raises
    ------
    msgspec.MsgspecError
        If the data is not a delta.
    """
    return msgspec.json.decode(data, type=Delta)

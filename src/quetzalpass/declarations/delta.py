"""Difference between two declarations, small enough to send for each change.

A whole declaration of a large deployment has megabytes, a change touches a few
entries. The receiver applies the difference to its own revision and checks the digest
of the result, so that a wrong base can't go unnoticed.
"""

import msgspec

from quetzalpass.declarations import entries, schema, strict

WHOLE_FIELDS = tuple(
    name
    for name in schema.Declaration.__struct_fields__
    if name not in entries.NAME_FIELDS
)


class Removed(msgspec.Struct, frozen=True):
    """Names of the entries of one list that are gone."""

    field: str
    names: tuple[str, ...]


class Inserted(msgspec.Struct, frozen=True):
    """Where the new entries of one list stand.

    Attributes
    ----------
    field : str
        The list.
    indexes : tuple of int
        Index of each new entry in the new list, growing; the entries are named in the
        same order among the changed ones.
    """

    field: str
    indexes: tuple[int, ...]


class Delta(msgspec.Struct, frozen=True):
    """What turns one declaration into another.

    Attributes
    ----------
    changed : schema.Declaration
        Entries that are new or different; fields that are no lists are given whole.
    removed : tuple of Removed
        Entries that are gone.
    inserted : tuple of Inserted
        Places of the entries that are new.
    """

    changed: schema.Declaration
    removed: tuple[Removed, ...]
    inserted: tuple[Inserted, ...] = ()


def delta_between(
    before: schema.Declaration, after: schema.Declaration
) -> Delta | None:
    """Return the difference, or ``None`` where only the whole will do.

    Entries keep their order and new ones stand anywhere. Where an operator has moved
    entries about, the result would differ from ``after``, and there is no difference to
    send.
    """
    changed = {name: getattr(after, name) for name in WHOLE_FIELDS}
    removed, inserted = [], []
    for field, key in entries.NAME_FIELDS.items():
        old = {getattr(each, key): each for each in getattr(before, field)}
        new = {getattr(each, key): each for each in getattr(after, field)}
        changed[field] = tuple(
            each for name, each in new.items() if not is_same(old.get(name), each)
        )
        gone = tuple(name for name in old if name not in new)
        if gone:
            removed.append(Removed(field, gone))
        indexes = tuple(index for index, name in enumerate(new) if name not in old)
        if indexes:
            inserted.append(Inserted(field, indexes))
    delta = Delta(schema.Declaration(**changed), tuple(removed), tuple(inserted))
    return delta if apply_delta(before, delta) == after else None


def is_same(old: strict.Strict | None, new: strict.Strict) -> bool:
    """Return whether an entry is unchanged; shared entries need no comparison."""
    return old is new or old == new


def apply_delta(before: schema.Declaration, delta: Delta) -> schema.Declaration:
    """Return the declaration that a difference makes of another.

    Unchanged entries are shared with ``before``.
    """
    fields = {name: getattr(delta.changed, name) for name in WHOLE_FIELDS}
    removed = {each.field: frozenset(each.names) for each in delta.removed}
    inserted = {each.field: each.indexes for each in delta.inserted}
    for field, key in entries.NAME_FIELDS.items():
        new = getattr(delta.changed, field)
        gone = removed.get(field, frozenset())
        if not new and not gone:
            fields[field] = getattr(before, field)
            continue
        kept = {
            getattr(each, key): each
            for each in getattr(before, field)
            if getattr(each, key) not in gone
        }
        added = [each for each in new if getattr(each, key) not in kept]
        kept.update(
            (getattr(each, key), each) for each in new if getattr(each, key) in kept
        )
        fields[field] = insert(list(kept.values()), added, inserted.get(field, ()))
    return schema.Declaration(**fields)


def insert(
    kept: list[strict.Strict], added: list[strict.Strict], indexes: tuple[int, ...]
) -> tuple[strict.Strict, ...]:
    """Return a list with new entries at their indexes.

    Differences in older logs name no indexes, and their new entries come last.
    """
    for index, entry in zip(indexes, added, strict=False):
        kept.insert(index, entry)
    return (*kept, *added[len(indexes) :])


def encode(delta: Delta) -> bytes:
    """Return the JSON form of a difference."""
    return msgspec.json.encode(delta)


def decode(data: bytes) -> Delta:
    """Return the difference in JSON form.

    Raises
    ------
    msgspec.MsgspecError
        If the data is none.
    """
    return msgspec.json.decode(data, type=Delta)

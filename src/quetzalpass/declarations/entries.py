"""A declaration's lists as typed entries that know their place.

Entries with faults of their own are left out, but their names still count as declared,
so that one fault does not bring a row of unknown references behind it.
"""

import functools
import re
from collections.abc import Iterator

import msgspec

from quetzalpass.declarations import schema
from quetzalpass.documents import nodes, problems, shape

INDEX = re.compile(r"^(?P<name>\w+)\[(?P<index>\d+)\]$")
NAME_FIELDS = {
    "models": "name",
    "classes": "name",
    "organisations": "id",
    "data_centres": "id",
    "vms": "id",
    "servers": "id",
    "services": "name",
}
ITEM_KINDS: dict[str, type[schema.Strict]] = {
    "models": schema.Model,
    "classes": schema.PriorityClass,
    "organisations": schema.Organisation,
    "data_centres": schema.DataCentre,
    "vms": schema.Vm,
    "servers": schema.BackendServer,
    "services": schema.Service,
}
MAX_SUGGESTIONS = 20


class Entry(msgspec.Struct, eq=False):
    """One item of a list.

    Attributes
    ----------
    field : str
        Path, such as ``servers[3]``.
    node : Node
        Where it stands.
    value : schema.Strict
        The typed item.
    """

    field: str
    node: nodes.Node
    value: schema.Strict

    def problem(
        self,
        name: str,
        message: str,
        suggestion: str | None = None,
        severity: problems.Severity = problems.Severity.ERROR,
    ) -> problems.Problem:
        """Return a problem at a field of the entry, such as ``models[0]``."""
        place = self.node
        for part in name.split("."):
            place = step(place, part)
        field = shape.path_of(self.field, name)
        return problems.Problem(
            place.file, place.line, field, message, suggestion, severity
        )

    def warning(self, name: str, message: str) -> problems.Problem:
        """Return a problem that doesn't refuse the declaration."""
        return self.problem(name, message, severity=problems.Severity.WARNING)


def step(node: nodes.Node, part: str) -> nodes.Node:
    """Return the node of one part of a path, or the last one that is written out."""
    match = INDEX.match(part)
    if match is None:
        return node.child(part)
    found = node.child(match["name"])
    index = int(match["index"])
    if isinstance(found.value, list) and index < len(found.value):
        return found.value[index]
    return found


class Document:
    """A declaration as it stands in its files.

    Parameters
    ----------
    node : Node
        The joined fields of all files.
    """

    def __init__(self, node: nodes.Node) -> None:
        self.node = node
        self.suggestions_left = MAX_SUGGESTIONS
        self.known_entries: dict[str, tuple[Entry, ...]] = {}
        self.known_names: dict[str, frozenset[str]] = {}

    @functools.cached_property
    def whole(self) -> Entry:
        """The entry of the declaration itself, for fields that are no lists."""
        return Entry("", self.node, schema.Strict())

    def entries(self, field: str) -> tuple[Entry, ...]:
        """Return the entries of a list that have no faults of their own."""
        if field not in self.known_entries:
            self.known_entries[field] = tuple(self.read_entries(field))
        return self.known_entries[field]

    def read_entries(self, field: str) -> Iterator[Entry]:
        """Yield the entries of a list that have no faults of their own."""
        for index, item in enumerate(self.items(field)):
            path = f"{field}[{index}]"
            value, _ = shape.convert(item, ITEM_KINDS[field], path)
            if value is not None:
                yield Entry(path, item, value)

    def names(self, field: str) -> frozenset[str]:
        """Return every name that a list declares, also those of faulty entries."""
        if field not in self.known_names:
            key = NAME_FIELDS[field]
            values = (item.child(key).value for item in self.items(field))
            texts = (value for value in values if isinstance(value, str))
            self.known_names[field] = frozenset(texts)
        return self.known_names[field]

    def items(self, field: str) -> list[nodes.Node]:
        """Return the nodes of a list; none where it is absent or no list."""
        items = self.node.value.get(field)
        if items is None or not isinstance(items.value, list):
            return []
        return items.value

    def value(self, field: str, kind: type[shape.Kind]) -> shape.Kind | None:
        """Return a field that is no list, or ``None`` where absent or faulty."""
        node = self.node.value.get(field)
        if node is None:
            return None
        return shape.convert(node, kind, field)[0]

    def near(self, name: str, field: str) -> str | None:
        """Return advice that names the nearest declared name of a list.

        Only for the first few unknown names, since each is compared with every
        declared one.
        """
        if not self.suggestions_left:
            return None
        self.suggestions_left -= 1
        return problems.near_name(name, self.names(field))


class TypedDocument(Document):
    """A declaration that came by no file, so that its values have no places.

    Going through nodes instead takes five times as long, which an event loop feels.

    Parameters
    ----------
    declaration : Declaration
        The declaration.
    """

    def __init__(self, declaration: schema.Declaration) -> None:
        super().__init__(nodes.Node("", 0, {}))
        self.declaration = declaration

    def read_entries(self, field: str) -> Iterator[Entry]:
        """Yield the entries of a list."""
        for index, item in enumerate(getattr(self.declaration, field)):
            yield Entry(f"{field}[{index}]", self.node, item)

    def names(self, field: str) -> frozenset[str]:
        """Return every name that a list declares."""
        if field not in self.known_names:
            key = NAME_FIELDS[field]
            names = (getattr(entry.value, key) for entry in self.entries(field))
            self.known_names[field] = frozenset(names)
        return self.known_names[field]

    def value(self, field: str, kind: type[shape.Kind]) -> shape.Kind | None:
        """Return a field that is no list."""
        return getattr(self.declaration, field)

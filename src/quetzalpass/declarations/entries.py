"""A declaration's lists as typed entries that know their place.

Entries with faults of their own are left out, but their names still count as declared,
so that one fault does not bring a row of unknown references behind it.
"""

import functools
import re
from collections.abc import Iterator

import msgspec

from quetzalpass.declarations import relays, schema, strict
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
    "routes": "name",
}
ITEM_KINDS: dict[str, type[strict.Strict]] = {
    "models": schema.Model,
    "classes": schema.PriorityClass,
    "organisations": schema.Organisation,
    "data_centres": schema.DataCentre,
    "vms": schema.Vm,
    "servers": schema.BackendServer,
    "services": schema.Service,
    "routes": relays.HostRoute,
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
    value : strict.Strict
        The typed item.
    """

    field: str
    node: nodes.Node
    value: strict.Strict

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
    """A declaration as it stands in its files, or came without files.

    Parameters
    ----------
    node : Node
        The joined fields of all files; empty without files.
    declaration : Declaration or None
        The typed value, if it has no faults of its own. Reading entries from it
        takes a fifth of the time that converting each node takes.
    """

    def __init__(
        self, node: nodes.Node, declaration: schema.Declaration | None = None
    ) -> None:
        self.node = node
        self.declaration = declaration
        self.suggestions_left = MAX_SUGGESTIONS
        self.known_entries: dict[str, tuple[Entry, ...]] = {}
        self.known_names: dict[str, frozenset[str]] = {}

    @functools.cached_property
    def whole(self) -> Entry:
        """The entry of the declaration itself, for fields that are no lists."""
        return Entry("", self.node, strict.Strict())

    def entries(self, field: str) -> tuple[Entry, ...]:
        """Return the entries of a list that have no faults of their own."""
        if field not in self.known_entries:
            self.known_entries[field] = tuple(self.read_entries(field))
        return self.known_entries[field]

    def read_entries(self, field: str) -> Iterator[Entry]:
        """Yield the entries of a list that have no faults of their own."""
        if self.declaration is None:
            yield from self.convert_entries(field)
            return
        places = self.items(field)
        for index, item in enumerate(getattr(self.declaration, field)):
            place = places[index] if places else self.node
            yield Entry(f"{field}[{index}]", place, item)

    def convert_entries(self, field: str) -> Iterator[Entry]:
        """Yield the entries of a list whose nodes can be converted."""
        for index, item in enumerate(self.items(field)):
            path = f"{field}[{index}]"
            value, _ = shape.convert(item, ITEM_KINDS[field], path)
            if value is not None:
                yield Entry(path, item, value)

    def names(self, field: str) -> frozenset[str]:
        """Return every name that a list declares, also those of faulty entries."""
        if field not in self.known_names:
            self.known_names[field] = frozenset(self.read_names(field))
        return self.known_names[field]

    def read_names(self, field: str) -> Iterator[str]:
        """Yield every name that a list declares."""
        key = NAME_FIELDS[field]
        if self.declaration is not None:
            for item in getattr(self.declaration, field):
                yield getattr(item, key)
            return
        for item in self.items(field):
            value = item.child(key).value
            if isinstance(value, str):
                yield value

    def items(self, field: str) -> list[nodes.Node]:
        """Return the nodes of a list; none where it is absent or no list."""
        items = self.node.value.get(field)
        if items is None or not isinstance(items.value, list):
            return []
        return items.value

    def value(self, field: str, kind: type[shape.Kind]) -> shape.Kind | None:
        """Return a field that is no list, or ``None`` where absent or faulty."""
        if self.declaration is not None:
            return getattr(self.declaration, field)
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


def document_of(declaration: schema.Declaration) -> Document:
    """Return the document of a declaration that came without files."""
    return Document(nodes.Node("", 0, {}), declaration)

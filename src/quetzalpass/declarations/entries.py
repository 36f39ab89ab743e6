"""Typed entries of a declaration's lists, with the file and line of each.

Entries whose own fields are invalid are omitted, but their names still count as
declared, so that one invalid field doesn't cause a series of unknown references.
"""

import functools
import re
from collections.abc import Iterator

import msgspec

from quetzalpass.declarations import relays, schema, strict
from quetzalpass.documents import nodes, problems, shape

INDEXED_PART_PATTERN = re.compile(r"^(?P<name>\w+)\[(?P<index>\d+)\]$")
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
ITEM_TYPES: dict[str, type[strict.Strict]] = {
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
    """One item of a declared list.

    Attributes
    ----------
    field : str
        Path of the item, such as ``servers[3]``.
    node : Node
        The item in its file.
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
        """Return a problem with a field of the entry, such as ``models[0]``."""
        location = self.node
        for part in name.split("."):
            location = descend(location, part)
        field = shape.join_path(self.field, name)
        return problems.Problem(
            location.file, location.line, field, message, suggestion, severity
        )

    def warning(self, name: str, message: str) -> problems.Problem:
        """Return a problem that doesn't make the declaration invalid."""
        return self.problem(name, message, severity=problems.Severity.WARNING)


def descend(node: nodes.Node, part: str) -> nodes.Node:
    """Return the child that a part of a path names, or the nearest existing node."""
    match = INDEXED_PART_PATTERN.match(part)
    if match is None:
        return node.child(part)
    found = node.child(match["name"])
    index = int(match["index"])
    if isinstance(found.value, list) and index < len(found.value):
        return found.value[index]
    return found


class Document:
    """A declaration to be validated, read from files or received without them.

    Parameters
    ----------
    node : Node
        The merged fields of all files; empty without files.
    declaration : Declaration or None
        The typed value, if all fields have the right type. Reading entries from it
        takes a fifth of the time of converting each node.
    """

    def __init__(
        self, node: nodes.Node, declaration: schema.Declaration | None = None
    ) -> None:
        self.node = node
        self.declaration = declaration
        self.suggestions_left = MAX_SUGGESTIONS
        self.cached_entries: dict[str, tuple[Entry, ...]] = {}
        self.cached_names: dict[str, frozenset[str]] = {}

    @functools.cached_property
    def root(self) -> Entry:
        """The declaration as an entry, for problems of fields that are not lists."""
        return Entry("", self.node, strict.Strict())

    def entries(self, field: str) -> tuple[Entry, ...]:
        """Return the entries of a list whose own fields are valid."""
        if field not in self.cached_entries:
            self.cached_entries[field] = tuple(self.iter_entries(field))
        return self.cached_entries[field]

    def iter_entries(self, field: str) -> Iterator[Entry]:
        """Yield the entries of a list whose own fields are valid."""
        if self.declaration is None:
            yield from self.convert_entries(field)
            return
        item_nodes = self.items(field)
        for index, item in enumerate(getattr(self.declaration, field)):
            item_node = item_nodes[index] if item_nodes else self.node
            yield Entry(f"{field}[{index}]", item_node, item)

    def convert_entries(self, field: str) -> Iterator[Entry]:
        """Yield the entries of a list that can be converted to their type."""
        for index, item in enumerate(self.items(field)):
            path = f"{field}[{index}]"
            value, _ = shape.convert(item, ITEM_TYPES[field], path)
            if value is not None:
                yield Entry(path, item, value)

    def names(self, field: str) -> frozenset[str]:
        """Return all names that a list declares, including those of invalid entries."""
        if field not in self.cached_names:
            self.cached_names[field] = frozenset(self.iter_names(field))
        return self.cached_names[field]

    def iter_names(self, field: str) -> Iterator[str]:
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
        """Return the nodes of a list; none if it is missing or not a list."""
        items = self.node.value.get(field)
        if items is None or not isinstance(items.value, list):
            return []
        return items.value

    def value(
        self, field: str, struct_type: type[shape.StructT]
    ) -> shape.StructT | None:
        """Return a field that is not a list; ``None`` if it is missing or invalid."""
        if self.declaration is not None:
            return getattr(self.declaration, field)
        node = self.node.value.get(field)
        if node is None:
            return None
        return shape.convert(node, struct_type, field)[0]

    def suggest(self, name: str, field: str) -> str | None:
        """Return a suggestion with the most similar declared name of a list.

        Only the first few unknown names get one, since each is compared with every
        declared name.
        """
        if not self.suggestions_left:
            return None
        self.suggestions_left -= 1
        return problems.suggest_name(name, self.names(field))


def from_declaration(declaration: schema.Declaration) -> Document:
    """Return the document of a declaration that was not read from files."""
    return Document(nodes.Node("", 0, {}), declaration)

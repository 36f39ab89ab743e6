"""Values of a document with their file and line."""

from __future__ import annotations

import msgspec

Scalar = str | int | float | bool | None


class Node(msgspec.Struct, eq=False):
    """A value of a document.

    Attributes
    ----------
    file : str
        File that contains it.
    line : int
        Line that it starts on, from 1.
    value : Scalar, list of Node, or dict of str to Node
        The value.
    """

    file: str
    line: int
    value: Scalar | list[Node] | dict[str, Node]

    def to_builtins(self) -> object:
        """Return the value as built-in types, without files and lines."""
        if isinstance(self.value, dict):
            return {name: child.to_builtins() for name, child in self.value.items()}
        if isinstance(self.value, list):
            return [child.to_builtins() for child in self.value]
        return self.value

    def child(self, name: str) -> Node:
        """Return the node of a field, or this node if the field is missing."""
        if isinstance(self.value, dict):
            return self.value.get(name, self)
        return self

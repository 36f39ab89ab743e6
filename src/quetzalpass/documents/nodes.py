"""Values of a document together with the file and line that they stand on."""

from __future__ import annotations

import msgspec

Scalar = str | int | float | bool | None


class Node(msgspec.Struct, eq=False):
    """A value of a document.

    Attributes
    ----------
    file : str
        File that it was read from.
    line : int
        Line that it starts on, from 1.
    value : Scalar, list of Node, or dict of str to Node
        The value.
    """

    file: str
    line: int
    value: Scalar | list[Node] | dict[str, Node]

    def plain(self) -> object:
        """Return the value without places, as the standard types."""
        if isinstance(self.value, dict):
            return {name: child.plain() for name, child in self.value.items()}
        if isinstance(self.value, list):
            return [child.plain() for child in self.value]
        return self.value

    def child(self, name: str) -> Node:
        """Return the value of a field, or this node where the field is absent."""
        if isinstance(self.value, dict):
            return self.value.get(name, self)
        return self

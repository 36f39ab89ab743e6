"""Base class of the structs in a declaration."""

import msgspec


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Immutable struct that rejects unknown fields when it is decoded."""

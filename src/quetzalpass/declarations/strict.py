"""Base class of all declared values."""

import msgspec


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all declared values: immutable, unknown fields are errors."""

"""Allowed ranges of the numbers in a declaration."""

from collections.abc import Iterator

import msgspec

from quetzalpass.declarations import entries, relays, schema, strict
from quetzalpass.documents import problems, shape


class Bound(msgspec.Struct, frozen=True):
    """The allowed range of a numeric field.

    Attributes
    ----------
    struct_type : type
        Struct that has the field.
    field : str
        Name of the field.
    minimum : float
        Lower limit.
    exclusive : bool
        Whether ``minimum`` itself is rejected.
    maximum : float or None
        Largest allowed value; ``None`` for :data:`shape.MAX_INTEGER`.
    """

    struct_type: type[strict.Strict]
    field: str
    minimum: float = 0
    exclusive: bool = False
    maximum: float | None = None

    def violation(self, value: float | None) -> str | None:
        """Return an error message if the value is out of range."""
        if value is None:
            return None
        if not abs(value) <= shape.MAX_INTEGER:
            return f"must be a number up to {shape.MAX_INTEGER}"
        if self.exclusive and value <= self.minimum:
            return f"must be above {self.minimum}"
        if value < self.minimum:
            return f"must be at least {self.minimum}"
        if self.maximum is not None and value > self.maximum:
            return f"must be at most {self.maximum}"
        return None


BOUNDS = (
    Bound(schema.Model, "size_mb"),
    Bound(schema.Model, "minimum_ready"),
    Bound(schema.Model, "context_tokens", 1),
    Bound(schema.Adapter, "size_mb"),
    Bound(schema.PriorityClass, "reserved_share", maximum=1),
    Bound(schema.PriorityClass, "expected_tokens", 1),
    Bound(schema.PriorityClass, "queue_timeout_s", exclusive=True),
    Bound(schema.PriorityClass, "hedge_after_s", exclusive=True),
    Bound(schema.Organisation, "weight", exclusive=True),
    Bound(schema.Organisation, "requests_per_s", exclusive=True),
    Bound(schema.Organisation, "burst_requests", 1),
    Bound(schema.Organisation, "max_streams", 1),
    Bound(schema.Organisation, "tokens_per_s", exclusive=True),
    Bound(schema.BackendServer, "memory_tokens", 1),
    Bound(schema.BackendServer, "max_batch", 1),
    Bound(schema.Objective, "stall_weight"),
    Bound(schema.Objective, "gap_weight"),
    Bound(schema.Retention, "outcome_s", exclusive=True),
    Bound(schema.Retention, "body_bytes"),
    Bound(schema.Retention, "max_claims", 1),
    Bound(schema.WeightStore, "megabytes_per_s", exclusive=True),
    Bound(schema.Organisation, "priority"),
    Bound(schema.Service, "max_connections", 1),
    Bound(relays.HostRoute, "timeout_ms", 1),
    Bound(relays.HostRoute, "objective_ms", 1),
    Bound(relays.HostRoute, "gap_objective_ms", 1),
    Bound(relays.HostRoute, "priority"),
    Bound(relays.HostRoute, "attempts", 1),
    Bound(relays.EngineTraits, "max_batch", 1),
    Bound(relays.EngineTraits, "memory_tokens", 1),
    Bound(relays.EngineTraits, "tokens_per_event", 1),
    Bound(relays.EngineTraits, "token_bytes"),
    Bound(relays.EngineTraits, "link_mbps"),
    Bound(relays.EngineTraits, "copy_lifetime_s", exclusive=True),
    Bound(relays.EngineTraits, "prefill_tokens_per_s", exclusive=True),
    Bound(relays.CallerLimits, "header_bytes", 1),
    Bound(relays.CallerLimits, "body_bytes", 1),
    Bound(relays.CallerLimits, "header_timeout_ms", 1),
    Bound(relays.CallerLimits, "idle_timeout_ms", 1),
)

SINGLE_STRUCTS: dict[str, type[strict.Strict]] = {
    "objective": schema.Objective,
    "retention": schema.Retention,
    "weight_store": schema.WeightStore,
    "caller_limits": relays.CallerLimits,
}


def check(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield a problem for each number that is out of range."""
    for field in entries.ITEM_TYPES:
        for entry in document.entries(field):
            yield from check_value(entry, entry.value, "")
    for model in document.entries("models"):
        for index, adapter in enumerate(model.value.adapters):
            yield from check_value(model, adapter, f"adapters[{index}].")
    for service in document.entries("services"):
        if service.value.engine is not None:
            yield from check_value(service, service.value.engine, "engine.")
    for field, struct_type in SINGLE_STRUCTS.items():
        value = document.value(field, struct_type)
        if value is not None:
            yield from check_value(document.root, value, f"{field}.")


def check_value(
    entry: entries.Entry, value: strict.Strict, prefix: str
) -> Iterator[problems.Problem]:
    """Yield a problem for each number of one struct that is out of range."""
    for bound in BOUNDS:
        if bound.struct_type is not type(value):
            continue
        message = bound.violation(getattr(value, bound.field))
        if message is not None:
            yield entry.problem(prefix + bound.field, message)

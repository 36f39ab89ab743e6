"""Ranges of the numbers in a declaration."""

from collections.abc import Iterator

import msgspec

from quetzalpass.declarations import entries, relays, schema, strict
from quetzalpass.documents import problems, shape


class Bound(msgspec.Struct, frozen=True):
    """The range of a number.

    Attributes
    ----------
    kind : type
        Struct that holds the number.
    field : str
        Its name there.
    minimum : float
        Smallest value.
    above : bool
        Whether the smallest value itself is refused.
    maximum : float or None
        Largest value.
    """

    kind: type[strict.Strict]
    field: str
    minimum: float = 0
    above: bool = False
    maximum: float | None = None

    def fault(self, value: float | None) -> str | None:
        """Return what is wrong with a value, if anything."""
        if value is None:
            return None
        if not abs(value) <= shape.MAX_INTEGER:
            return f"must be a number up to {shape.MAX_INTEGER}"
        if self.above and value <= self.minimum:
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
    Bound(schema.PriorityClass, "queue_timeout_s", above=True),
    Bound(schema.PriorityClass, "hedge_after_s", above=True),
    Bound(schema.Organisation, "weight", above=True),
    Bound(schema.Organisation, "requests_per_s", above=True),
    Bound(schema.Organisation, "burst_requests", 1),
    Bound(schema.Organisation, "max_streams", 1),
    Bound(schema.Organisation, "tokens_per_s", above=True),
    Bound(schema.BackendServer, "memory_tokens", 1),
    Bound(schema.BackendServer, "max_batch", 1),
    Bound(schema.Objective, "stall_weight"),
    Bound(schema.Objective, "gap_weight"),
    Bound(schema.Retention, "outcome_s", above=True),
    Bound(schema.Retention, "body_bytes"),
    Bound(schema.Retention, "max_claims", 1),
    Bound(schema.WeightStore, "megabytes_per_s", above=True),
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
    Bound(relays.EngineTraits, "copy_lifetime_s", above=True),
    Bound(relays.EngineTraits, "prefill_tokens_per_s", above=True),
    Bound(relays.CallerLimits, "header_bytes", 1),
    Bound(relays.CallerLimits, "body_bytes", 1),
    Bound(relays.CallerLimits, "header_timeout_ms", 1),
    Bound(relays.CallerLimits, "idle_timeout_ms", 1),
)

SINGLE_KINDS: dict[str, type[strict.Strict]] = {
    "objective": schema.Objective,
    "retention": schema.Retention,
    "weight_store": schema.WeightStore,
    "caller_limits": relays.CallerLimits,
}


def check(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield the numbers out of range."""
    for field in entries.ITEM_KINDS:
        for entry in document.entries(field):
            yield from value_faults(entry, entry.value, "")
    for model in document.entries("models"):
        for index, adapter in enumerate(model.value.adapters):
            yield from value_faults(model, adapter, f"adapters[{index}].")
    for service in document.entries("services"):
        if service.value.engine is not None:
            yield from value_faults(service, service.value.engine, "engine.")
    for field, kind in SINGLE_KINDS.items():
        value = document.value(field, kind)
        if value is not None:
            yield from value_faults(document.whole, value, f"{field}.")


def value_faults(
    entry: entries.Entry, value: strict.Strict, prefix: str
) -> Iterator[problems.Problem]:
    """Yield the numbers of one struct that are out of range."""
    for bound in BOUNDS:
        if bound.kind is not type(value):
            continue
        message = bound.fault(getattr(value, bound.field))
        if message is not None:
            yield entry.problem(prefix + bound.field, message)

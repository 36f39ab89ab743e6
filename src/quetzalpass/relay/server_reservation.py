"""Capacity that one relayed request holds on a backend server."""

import abc
import asyncio

from quetzalpass import ids
from quetzalpass.backends import discovery
from quetzalpass.relay import relay_requests
from quetzalpass.routing import prefill_rates, relay_placement


class CapacityTracker(abc.ABC):
    """Tracks what the reservations of one gateway hold on each server."""

    @abc.abstractmethod
    def add_use(
        self,
        server_id: ids.ServerId,
        requests: int = 0,
        tokens: int = 0,
        copy_tokens: int = 0,
        prefill_tokens: int = 0,
    ) -> None:
        """Add to the use that this gateway makes of a server."""

    @abc.abstractmethod
    def record_prefill(self, measurement: prefill_rates.PrefillMeasurement) -> None:
        """Record how long a prefill took."""

    @abc.abstractmethod
    def release_room(self, admission: str) -> None:
        """Release the room that a request holds on a brittle server."""

    @abc.abstractmethod
    def process_queues(self) -> None:
        """Reserve servers for the waiting requests for which there is capacity."""


class Reservation:
    """Capacity that a request holds on a server, and on the server of its backup.

    Attributes
    ----------
    server : discovery.DiscoveredServer
        Server that runs the request.
    need : relay_placement.GenerationNeed
        Memory that the request is expected to need; none for a plain service.
    backup : discovery.DiscoveredServer or None
        Server that holds the backup, a copy that grows with the generation.
    prefill : prefill_rates.PendingPrefill or None
        The prefill of its prompt, until that is complete.
    is_granted : bool
        Whether the allocating node chose the server, and the backup if there is one.
    reason : str
        Figures on which the choice of the server was based.
    admission : str or None
        Id of the room that the request holds on a brittle server.
    """

    def __init__(
        self,
        reservations: CapacityTracker,
        server: discovery.DiscoveredServer,
        need: relay_placement.GenerationNeed,
        prefill: prefill_rates.PendingPrefill | None = None,
    ) -> None:
        self.reservations = reservations
        self.server = server
        self.need = need
        self.backup: discovery.DiscoveredServer | None = None
        self.is_held = True
        self.is_granted = False
        self.reason = ""
        self.admission: str | None = None
        self.prefill = prefill
        prefill_tokens = prefill.tokens if prefill is not None else 0
        reservations.add_use(server.id, 1, need.tokens, 0, prefill_tokens)

    def set_backup(self, backup: discovery.DiscoveredServer | None) -> None:
        """Set or clear the server of the backup, and update the use of both servers."""
        if self.backup is not None:
            self.reservations.add_use(self.backup.id, copy_tokens=-self.need.tokens)
        self.backup = backup
        if backup is not None:
            self.reservations.add_use(backup.id, copy_tokens=self.need.tokens)

    def on_first_event(self) -> None:
        """Record the end of the prefill and how long it took."""
        prefill = self.prefill
        if prefill is None:
            return
        self.end_prefill()
        elapsed_s = asyncio.get_running_loop().time() - prefill.sent_s
        self.reservations.record_prefill(
            prefill_rates.PrefillMeasurement(
                self.server.id,
                prefill.tokens + prefill.tokens_ahead,
                elapsed_s,
                prefill.declared_tokens_per_s,
            )
        )

    def end_prefill(self) -> None:
        """Remove the prompt from the pending prefills of the server."""
        if self.prefill is not None:
            self.reservations.add_use(
                self.server.id, prefill_tokens=-self.prefill.tokens
            )
            self.prefill = None

    def grow(self, need: relay_placement.GenerationNeed) -> None:
        """Update the memory need of a generation that has generated more tokens."""
        growth_tokens = need.tokens - self.need.tokens
        self.need = need
        self.reservations.add_use(self.server.id, tokens=growth_tokens)
        if self.backup is not None:
            self.reservations.add_use(self.backup.id, copy_tokens=growth_tokens)

    def release(self) -> None:
        """Release the reservation; a second call has no effect."""
        if not self.is_held:
            return
        self.is_held = False
        if self.admission is not None:
            self.reservations.release_room(self.admission)
        self.set_backup(None)
        self.end_prefill()
        self.reservations.add_use(self.server.id, requests=-1, tokens=-self.need.tokens)
        self.reservations.process_queues()


def pending_prefill(
    routed: relay_requests.RoutedRequest,
    need: relay_placement.GenerationNeed,
    ahead_tokens: int,
) -> prefill_rates.PendingPrefill | None:
    """Return the pending prefill of a generation; ``None`` for a plain service."""
    engine = routed.service.engine
    if engine is None:
        return None
    return prefill_rates.PendingPrefill(
        need.prompt_tokens,
        ahead_tokens,
        asyncio.get_running_loop().time(),
        engine.prefill_tokens_per_s,
    )

"""Finds an engine that accepts a relayed generation."""

import asyncio
from typing import TYPE_CHECKING

from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.lifecycle import attempts
from quetzalpass.relay import (
    reach_errors,
    server_reservation,
    stream_failures,
    stream_segments,
)

if TYPE_CHECKING:
    from quetzalpass.relay import relayed_streams

# Maximum number of sends of one request that servers refuse without running it.
MAX_REFUSALS = 4
# Maximum number of servers at their limit that are chosen for one request.
MAX_DENIALS = 8


class StreamStart:
    """The sends of one generation until a server accepts it.

    Parameters
    ----------
    stream : relayed_streams.RelayedStream
        The generation's stream.

    Attributes
    ----------
    refusals : int
        Sends that servers have refused.
    failed_connects : int
        Connections that could not be opened.
    denials : int
        Sends that the limit of a server did not allow.
    tried : set of ServerId
        Servers that have not accepted the request.
    """

    def __init__(self, stream: "relayed_streams.RelayedStream") -> None:
        self.stream = stream
        self.gateway = stream.gateway
        self.routed = stream.routed
        self.refusals = 0
        self.failed_connects = 0
        self.denials = 0
        self.tried: set[ids.ServerId] = set()

    async def run(self) -> stream_segments.StreamSegment:
        """Find an engine that accepts the request, and open the first segment.

        Raises
        ------
        StreamFailedError
            If there is none in time.
        NoServerReachedError
            If no server of the service can be reached.
        """
        stream = self.stream
        while True:
            self.raise_if_unreached()
            reservations = self.gateway.reservations
            max_wait_s = reservations.max_wait_s(self.routed)
            failure = await self.gateway.wait_for_other_copy(self.routed, max_wait_s)
            stream.raise_if_refused()
            if failure is not None:
                raise stream_failures.StreamFailedError(failure)
            self.raise_if_at_limit()
            reserved = await reservations.wait_for_engine(self.routed, stream.need)
            if isinstance(reserved, result.Failure):
                raise stream_failures.StreamFailedError(reserved.failure())
            reservation = reserved.unwrap()
            if self.gateway.suspects.has_other_copy(self.routed.fingerprint):
                reservation.release()
                continue
            await self.back_off(reservation)
            opened = await stream.open_segment(reservation, None)
            if isinstance(opened, result.Success):
                return opened.unwrap()
            self.on_refused(reservation, opened.failure())
            left_s = self.routed.deadline_s - stream.now_s()
            service = self.routed.service.name
            await self.gateway.reach_checks.wait_for_check(service, left_s)

    def raise_if_unreached(self) -> None:
        """Raise if no server of the service can be reached.

        Raises
        ------
        NoServerReachedError
            If another gateway should serve the request, which has not run.
        """
        if self.gateway.reach_checks.is_lost(self.routed.service.name):
            raise reach_errors.NoServerReachedError

    def raise_if_at_limit(self) -> None:
        """Raise the failure of a request that the limits of its servers don't allow.

        Raises
        ------
        StreamFailedError
            If all servers of the service are at their limit.
        """
        reservations = self.gateway.reservations
        delay_s = reservations.gates.service_blocked_s(self.routed)
        if delay_s:
            raise stream_failures.StreamFailedError(
                reservations.rate_limited_failure(self.routed, delay_s)
            )

    def on_refused(
        self, reservation: server_reservation.Reservation, failure: base.AttemptFailure
    ) -> None:
        """Return if a refused request may be sent again; else raise its failure.

        Raises
        ------
        StreamFailedError
            If the request may have run, or if no further send is allowed.
        """
        if self.stream.may_have_run:
            raise stream_failures.server_lost(failure.message)
        self.tried.add(reservation.server.id)
        if not self.may_send_again(reservation, failure):
            raise stream_failures.StreamFailedError(
                self.gateway.reservations.queue_full_failure(
                    self.routed, failure.message
                )
            )

    def may_send_again(
        self, reservation: server_reservation.Reservation, failure: base.AttemptFailure
    ) -> bool:
        """Return whether a request may be sent again after a send that did not run.

        Sends that a server has refused are limited in number and by the retry budget.
        Connections that can't be opened are limited by the longest wait for an engine.
        """
        reservations = self.gateway.reservations
        now_s = self.stream.now_s()
        if failure.kind is base.FailureKind.RATE_LIMITED:
            self.denials += 1
            self.raise_if_at_limit()
            return self.denials < MAX_DENIALS
        if failure.end is base.AttemptEnd.NOT_SENT:
            self.failed_connects += 1
            reservations.health.record_unreachable(reservation.server, failure.message)
            arrived_s = self.routed.request.arrived_s
            return now_s < arrived_s + reservations.max_wait_s(self.routed)
        self.refusals += 1
        if not reservations.gates.may_send_after(self.routed, failure):
            return False
        if self.refusals >= MAX_REFUSALS or now_s >= self.routed.deadline_s:
            return False
        return self.gateway.budget.try_withdraw(self.routed.service.name, now_s)

    async def back_off(self, reservation: server_reservation.Reservation) -> None:
        """Wait before a further send to a server that has not accepted the request."""
        if reservation.server.id not in self.tried:
            return
        max_delay_s = attempts.max_backoff_s(self.refusals + self.failed_connects)
        try:
            await asyncio.sleep(self.gateway.rng.uniform(0.0, max_delay_s))
        except asyncio.CancelledError:
            reservation.release()
            raise

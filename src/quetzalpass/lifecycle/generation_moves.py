"""Getting a running generation away from its server.

Another server goes on from a copy of the memory before the present one is let go. Both
run for a moment; what comes twice is passed on once.
"""

import asyncio
from typing import TYPE_CHECKING

import msgspec
from returns import result

from quetzalpass import event_log
from quetzalpass.backends import relays
from quetzalpass.lifecycle import relay_places
from quetzalpass.membership import discovery, quarantine

if TYPE_CHECKING:
    from quetzalpass.lifecycle import relayed_streams

COPY_TIMEOUT_S = 2.0
# A backup is sent several times a second; it is of use a little after the first event.
BACKUP_DELAY_S = 0.5
MOVE_RETRY_S = 0.15
MOVE_TRIES = 6
# Longest time for which two servers run one generation.
OVERLAP_S = 0.25
STATUS_OK = 200


class Leg(msgspec.Struct):
    """The part of a generation that one server runs.

    Attributes
    ----------
    place : relay_places.Place
        Place on that server.
    answer : relays.RelayResponse
        Its stream.
    in_flight_request : quarantine.InFlightRequest
        Entry among the requests that may crash a server.
    first_chunk : bytes
        Bytes that were read before the leg became the present one.
    """

    place: relay_places.Place
    answer: relays.RelayResponse
    in_flight_request: quarantine.InFlightRequest
    first_chunk: bytes = b""


class Copy(msgspec.Struct, frozen=True):
    """A copy of a generation's memory.

    Attributes
    ----------
    server : discovery.DiscoveredServer
        Server that has it.
    holder : discovery.DiscoveredServer
        Server under whose address it is known, and at which it is freed.
    copy_id : str
        Its name there.
    """

    server: discovery.DiscoveredServer
    holder: discovery.DiscoveredServer
    copy_id: str


class GenerationMove:
    """One attempt to get a generation away from a server that leaves.

    Parameters
    ----------
    stream : relayed_streams.RelayedStream
        The generation.
    leg : Leg
        The leg that it is to leave.
    """

    def __init__(self, stream: "relayed_streams.RelayedStream", leg: Leg) -> None:
        self.stream = stream
        self.leg = leg

    async def run(self) -> None:
        """Try until another server has taken over, or the present one is gone."""
        leg = self.leg
        await self.wait_for_backup()
        for _ in range(MOVE_TRIES):
            copy = self.stream.backup_copy(leg) or await self.move_memory()
            if copy is not None and await self.open_next_leg(copy):
                return
            if self.stream.is_broken:
                return
            await asyncio.sleep(MOVE_RETRY_S)
        detail = f"after {MOVE_TRIES} tries"
        self.note("not_moved", leg.place.server, detail, event_log.Level.NOTICE)

    async def wait_for_backup(self) -> None:
        """Wait until the backup should have got the first part of the memory."""
        if self.leg.place.backup is None:
            return
        first_s = self.stream.first_event_s or self.stream.now_s()
        await asyncio.sleep(max(0.0, first_s + BACKUP_DELAY_S - self.stream.now_s()))

    async def open_next_leg(self, copy: Copy) -> bool:
        """Go on from a copy while the present server still runs; return if it works."""
        stream = self.stream
        place = stream.gateway.places.place_on(copy.server, stream.need)
        opened = await stream.open_leg(place, copy)
        stream.moved = None
        if isinstance(opened, result.Failure):
            if copy.copy_id == stream.request_id:
                self.leg.place.set_backup(None)
            return False
        next_leg = opened.unwrap()
        try:
            is_good = await read_first_chunk(next_leg)
        except BaseException:
            stream.end_leg(next_leg)
            raise
        if not is_good:
            stream.end_leg(next_leg)
            return False
        stream.next_leg = next_leg
        self.leg.answer.close()
        return True

    async def move_memory(self) -> Copy | None:
        """Copy the memory to an engine with room, while the generation runs."""
        stream = self.stream
        engine = stream.routed.service.engine
        if engine is None or not engine.moves:
            return None
        source = self.leg.place.server
        goal = await stream.gateway.places.move_target(
            stream.routed, stream.need, source
        )
        if goal is None:
            self.note("no_move", source, "no engine has room")
            return None
        self.note("move", source, f"to {goal.server.id}")
        try:
            return await self.copy_to(goal.server)
        finally:
            goal.release()

    async def copy_to(self, goal: discovery.DiscoveredServer) -> Copy | None:
        """Copy the memory to one engine."""
        stream = self.stream
        source = self.leg.place.server
        begun_s = stream.now_s()
        copied = await stream.gateway.server_of(source).copy_memory(
            stream.request_id, goal.address, COPY_TIMEOUT_S
        )
        took = f"{stream.now_s() - begun_s:.3f} s"
        if isinstance(copied, result.Failure):
            message = f"{copied.failure().message} after {took}"
            self.note("copy_failed", goal, message, event_log.Level.NOTICE)
            return None
        moved = copied.unwrap()
        self.note(
            "moved", source, f"to {goal.id}, {moved.event_count} events made, {took}"
        )
        stream.moved = Copy(goal, source, moved.copy_id)
        return stream.moved

    def note(
        self,
        decision: str,
        server: discovery.DiscoveredServer,
        detail: str,
        level: event_log.Level = event_log.Level.ROUTINE,
    ) -> None:
        """Log a decision on the move."""
        stream = self.stream
        stream.gateway.note(stream.routed, decision, server.id, detail, level)


async def read_first_chunk(leg: Leg) -> bool:
    """Wait for a leg's first bytes, while the server before still sends its own.

    Not for long: a generation must not run on two servers.

    Returns
    -------
    bool
        Whether the leg is a stream that may go on.
    """
    if leg.answer.head.status != STATUS_OK:
        return False
    try:
        async with asyncio.timeout(OVERLAP_S):
            chunk = await leg.answer.next_chunk()
    except TimeoutError:
        return True
    if isinstance(chunk, result.Failure):
        return False
    leg.first_chunk = chunk.unwrap()
    return True

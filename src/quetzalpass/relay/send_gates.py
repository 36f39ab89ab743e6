"""What servers ask of one gateway before it sends them a request.

A server may name a limit on the rate of requests, be brittle, or ask for rest. All of
these hold together: a request is sent once none of them denies it.
"""

import asyncio
import random
from collections.abc import Callable

from returns import result

from quetzalpass import event_log, ids
from quetzalpass.allocation import permits, rooms
from quetzalpass.backends import base, discovery
from quetzalpass.lifecycle import relay_events
from quetzalpass.membership import fleet_view
from quetzalpass.relay import rate_gate, relay_requests, room_gate, server_reservation
from quetzalpass.routing import server_rests

ADMISSION_BITS = 64


class SendGates:
    """Asks all gates of one gateway before each send.

    Parameters
    ----------
    view : fleet_view.FleetView
        The backend servers.
    vm : VmId
        Identifier of this gateway.
    rng : random.Random
        Source of randomness.
    permit_source : permits.PermitSource or None
        Shares the limits of servers out; ``None`` where no node does.
    room_source : rooms.RoomSource or None
        Shares the room of brittle servers out; ``None`` where no node does.
    count_gateways : callable
        Returns the number of gateways; 0 if it is unknown.

    Attributes
    ----------
    rate_gate : rate_gate.RateGate
        Holds this gateway's sends to the limits that servers name.
    room_gate : room_gate.RoomGate
        Holds this gateway's sends to the room of brittle servers.
    rests : server_rests.ServerRests
        Servers that want no requests of this gateway for some time.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        vm: ids.VmId,
        rng: random.Random,
        permit_source: permits.PermitSource | None,
        room_source: rooms.RoomSource | None,
        count_gateways: Callable[[], int],
    ) -> None:
        self.view = view
        self.rate_gate = rate_gate.RateGate(vm, permit_source, count_gateways, rng)
        self.room_gate = room_gate.RoomGate(
            vm,
            room_source,
            count_gateways,
            lambda: f"{vm}/{rng.getrandbits(ADMISSION_BITS):x}",
        )
        self.rests = server_rests.ServerRests()

    def observe(
        self,
        server: discovery.DiscoveredServer,
        rate_notice: base.RateNotice | None,
        notice: base.ServerNotice | None,
    ) -> None:
        """Record what a response says about its server."""
        self.rate_gate.observe(server.id, rate_notice)
        self.room_gate.observe(server, notice)
        if notice is None or not notice.rest_s:
            return
        now_s = asyncio.get_running_loop().time()
        self.rests.expire(now_s)
        self.rests.record(server, notice.rest_s, now_s)
        event_log.record(relay_events.RestEvent(server.id, notice.rest_s))

    def blocked_s(self, server_id: ids.ServerId, rank: int) -> float:
        """Return for how long a server takes no request of a rank, in seconds."""
        known = self.view.servers.get(server_id)
        now_s = asyncio.get_running_loop().time()
        return max(
            self.rate_gate.blocked_s(server_id, rank),
            self.room_gate.blocked_s(server_id),
            0.0 if known is None else self.rests.left_s(known.server, now_s),
        )

    def service_blocked_s(self, routed: relay_requests.RoutedRequest) -> float:
        """Return when a server of a request's service takes one again, in seconds.

        Returns
        -------
        float
            0 if one of its servers can be sent a request now, or if it has no servers.
        """
        blocked_s = [
            self.blocked_s(known.server.id, routed.rank)
            for known in self.view.find_servers(routed.service.name)
            if not known.is_leaving
        ]
        return min(blocked_s, default=0.0)

    async def acquire(
        self,
        routed: relay_requests.RoutedRequest,
        reservation: server_reservation.Reservation,
    ) -> float:
        """Return 0 if a request may be sent to its server now, else the delay.

        The room that it gets is released with the reservation. A server may have asked
        for rest while the request waited for it.
        """
        server = reservation.server
        now_s = asyncio.get_running_loop().time()
        rest_s = self.rests.left_s(server, now_s)
        if rest_s:
            return rest_s
        left_s = routed.deadline_s - now_s
        room = await self.room_gate.acquire(server, routed.rank, left_s)
        if isinstance(room, result.Failure):
            return room.failure()
        reservation.admission = room.unwrap()
        delay_s = await self.rate_gate.acquire(server.id, routed.rank)
        return delay_s or self.rests.left_s(server, asyncio.get_running_loop().time())

    def may_send_after(
        self, routed: relay_requests.RoutedRequest, failure: base.AttemptFailure
    ) -> bool:
        """Return whether a request may go to another server after a refusal.

        Brittle servers fall over if they refuse too many, and if one had less room than
        expected, so may the others.
        """
        if failure.kind is not base.FailureKind.OVERLOADED:
            return True
        return not self.room_gate.is_brittle(routed.service.name)

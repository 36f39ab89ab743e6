"""Requests for engines that a gateway sends to the allocating control node."""

import asyncio
import random
from collections.abc import Callable

from returns import result

from quetzalpass import ids
from quetzalpass.allocation import client, leader_client, messages
from quetzalpass.backends import discovery
from quetzalpass.membership import fleet_view
from quetzalpass.relay import relay_requests, server_health
from quetzalpass.results import failures
from quetzalpass.routing import prefill_rates, relay_placement

MAX_UNREPORTED_PREFILLS = 100
INCARNATION_BITS = 48

GrantResult = result.Result[messages.EngineGrant | None, failures.Failure]


class EngineRequests:
    """Sends the allocation requests of one gateway.

    It also keeps what the next report to the allocating node must contain.

    Parameters
    ----------
    vm : VmId
        Identifier of this gateway.
    view : fleet_view.FleetView
        The backend servers.
    health : server_health.ServerHealth
        Servers on which requests of this gateway have failed.
    rng : random.Random
        Draws the number that identifies this run of the gateway.
    source : client.AllocationSource or None
        Client of the allocating node; ``None`` where no node allocates.
    blocked_s : callable
        Returns for how long an engine takes no request of a rank, in seconds.

    Attributes
    ----------
    unreported_allocations : list of AllocationId
        Granted allocations that no acknowledged load report has included yet.
    unreported_prefills : list of prefill_rates.PrefillMeasurement
        Prefill measurements that no acknowledged report has included yet.
    """

    def __init__(
        self,
        vm: ids.VmId,
        view: fleet_view.FleetView,
        health: server_health.ServerHealth,
        rng: random.Random,
        source: client.AllocationSource | None,
        blocked_s: Callable[[ids.ServerId, int], float],
    ) -> None:
        self.vm = vm
        self.view = view
        self.health = health
        self.source = source
        self.blocked_s = blocked_s
        # Keeps allocation ids unique across restarts of the gateway.
        self.incarnation = rng.getrandbits(INCARNATION_BITS)
        self.count = 0
        self.unreported_allocations: list[ids.AllocationId] = []
        self.unreported_prefills: list[prefill_rates.PrefillMeasurement] = []

    async def request_for_start(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
        wait_s: float,
    ) -> GrantResult:
        """Request an engine for a new generation.

        Returns
        -------
        Result
            The granted engine, ``None`` if no engine had capacity within ``wait_s``, or
            a failure if no node replied and the gateway must choose by itself.
        """
        local_data_centre = self.health.data_centre
        avoided_engines = self.avoided_engines(routed)
        purpose = messages.Purpose.START
        return await self.send(
            self.build_request(
                routed, need, purpose, local_data_centre, avoided_engines, wait_s
            )
        )

    async def request_for_move(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
        source: discovery.DiscoveredServer,
    ) -> GrantResult:
        """Request an engine to which the memory of a running generation can move."""
        avoided_engines = self.avoided_engines(routed) | {source.id}
        purpose = messages.Purpose.MOVE
        return await self.send(
            self.build_request(
                routed, need, purpose, source.data_centre, avoided_engines, 0.0
            )
        )

    async def send(self, request: messages.AllocationRequest) -> GrantResult:
        """Send a request to the allocating node, and record its grant as unreported."""
        if self.source is None:
            return leader_client.unavailable("no node allocates")
        reply = await self.source.request_grant(request)
        if isinstance(reply, result.Failure):
            return reply
        grant = reply.unwrap().grant
        if grant is None:
            return result.Success(None)
        self.unreported_allocations.append(request.allocation)
        problem = grant_problem(grant)
        if problem is not None:
            return leader_client.unavailable(f"the engine can't be used: {problem}")
        return result.Success(grant)

    def build_request(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
        purpose: messages.Purpose,
        data_centre: ids.DataCentreId,
        avoided_engines: frozenset[ids.ServerId],
        wait_s: float,
    ) -> messages.AllocationRequest:
        """Return an allocation request, with the servers that this gateway avoids."""
        self.count += 1
        now_s = asyncio.get_running_loop().time()
        return messages.AllocationRequest(
            ids.AllocationId(f"{self.vm}/{self.incarnation:x}/{self.count}"),
            self.vm,
            routed.service.name,
            purpose,
            data_centre,
            need,
            routed.rank,
            now_s - routed.request.arrived_s,
            wait_s,
            tuple(sorted(avoided_engines)),
            self.health.cut_off_data_centres(now_s),
        )

    def avoided_engines(
        self, routed: relay_requests.RoutedRequest
    ) -> frozenset[ids.ServerId]:
        """Return the engines to which a request should not be sent now.

        These are leaving, ejected, avoided by the request, or at their limit.
        """
        now_s = asyncio.get_running_loop().time()
        avoided = self.health.find_servers_to_avoid(routed.fingerprint)
        return frozenset(
            known.server.id
            for known in self.view.find_servers(routed.service.name)
            if known.is_leaving
            or self.health.is_ejected(known.server.id, now_s)
            or known.server.id in avoided
            or self.blocked_s(known.server.id, routed.rank)
        )

    def record_prefill(self, measurement: prefill_rates.PrefillMeasurement) -> None:
        """Keep a prefill measurement for the next report to the allocating node."""
        if (
            self.source is not None
            and len(self.unreported_prefills) < MAX_UNREPORTED_PREFILLS
        ):
            self.unreported_prefills.append(measurement)

    def confirm_reported(
        self, allocations: tuple[ids.AllocationId, ...], prefills: int
    ) -> None:
        """Remove what a report that the allocating node has acknowledged contained.

        Parameters
        ----------
        allocations : tuple of AllocationId
            Granted allocations in the report.
        prefills : int
            Number of prefill measurements in the report.
        """
        reported = frozenset(allocations)
        self.unreported_allocations = [
            each for each in self.unreported_allocations if each not in reported
        ]
        del self.unreported_prefills[:prefills]


def grant_problem(grant: messages.EngineGrant) -> str | None:
    """Return why the engines of a grant can't be used; ``None`` if they can."""
    problem = discovery.find_problem(grant.server)
    if problem is None and grant.backup is not None:
        problem = discovery.find_problem(grant.backup)
    return problem

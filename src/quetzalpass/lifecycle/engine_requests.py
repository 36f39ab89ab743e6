"""A gateway's questions for engines, and what it tells the node that allocates them."""

import asyncio
import random

from returns import result

from quetzalpass import ids
from quetzalpass.allocation import client, messages
from quetzalpass.lifecycle import relay_requests, server_health
from quetzalpass.membership import discovery, fleet_view
from quetzalpass.results import failures
from quetzalpass.routing import prefill_rates, relay_placement

MAX_UNREPORTED_PREFILLS = 100
INCARNATION_BITS = 48

Granted = result.Result[messages.EngineGrant | None, failures.Failure]


class EngineRequests:
    """Asks the allocating node on behalf of one gateway.

    Parameters
    ----------
    vm : VmId
        This gateway.
    view : fleet_view.FleetView
        The servers.
    health : server_health.ServerHealth
        Servers that have failed this gateway.
    rng : random.Random
        Gives a number to this start of the gateway.
    source : client.AllocationSource or None
        The node; ``None`` where there is none.

    Attributes
    ----------
    unreported_allocations : list of AllocationId
        Grants that the node does not know to be counted yet.
    unreported_prefills : list of prefill_rates.PromptRead
        First events that the node has not been told.
    """

    def __init__(
        self,
        vm: ids.VmId,
        view: fleet_view.FleetView,
        health: server_health.ServerHealth,
        rng: random.Random,
        source: client.AllocationSource | None,
    ) -> None:
        self.vm = vm
        self.view = view
        self.health = health
        self.source = source
        # A restarted gateway must not be taken for the one before.
        self.incarnation = rng.getrandbits(INCARNATION_BITS)
        self.count = 0
        self.unreported_allocations: list[ids.AllocationId] = []
        self.unreported_prefills: list[prefill_rates.PromptRead] = []

    async def request_for_start(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
        wait_s: float,
    ) -> Granted:
        """Ask for an engine for a new generation.

        Returns
        -------
        Result
            The engine, ``None`` if none got room in ``wait_s``, or the failure of the
            question: the gateway is on its own.
        """
        here = self.health.data_centre
        avoided_engines = self.avoided_engines(routed)
        purpose = messages.Purpose.START
        return await self.send(
            self.build_request(routed, need, purpose, here, avoided_engines, wait_s)
        )

    async def request_for_move(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
        source: discovery.DiscoveredServer,
    ) -> Granted:
        """Ask for an engine that is to get the memory of a generation."""
        avoided_engines = self.avoided_engines(routed) | {source.id}
        purpose = messages.Purpose.MOVE
        return await self.send(
            self.build_request(
                routed, need, purpose, source.data_centre, avoided_engines, 0.0
            )
        )

    async def send(self, request: messages.AllocationRequest) -> Granted:
        """Ask the allocating node, if there is one, and note what it grants."""
        if self.source is None:
            return client.failed("no node allocates")
        asked = await self.source.ask(request)
        if isinstance(asked, result.Failure):
            return asked
        grant = asked.unwrap().grant
        if grant is not None:
            self.unreported_allocations.append(request.allocation)
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
        """Return the question for an engine, with what this gateway knows of them."""
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
        """Return the engines that this gateway knows to be of no use now."""
        now_s = asyncio.get_running_loop().time()
        return frozenset(
            known.server.id
            for known in self.view.of_service(routed.service.name)
            if known.is_leaving or self.health.is_ejected(known.server.id, now_s)
        )

    def record_prefill(self, measurement: prefill_rates.PromptRead) -> None:
        """Keep a first event for the allocating node."""
        if (
            self.source is not None
            and len(self.unreported_prefills) < MAX_UNREPORTED_PREFILLS
        ):
            self.unreported_prefills.append(measurement)

    def confirm_reported(
        self, allocations: tuple[ids.AllocationId, ...], prefills: int
    ) -> None:
        """Forget what the allocating node has been told."""
        reported = frozenset(allocations)
        self.unreported_allocations = [
            each for each in self.unreported_allocations if each not in reported
        ]
        del self.unreported_prefills[:prefills]

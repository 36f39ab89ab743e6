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

MAX_UNTOLD_READS = 100
INCARNATION_BITS = 48

Granted = result.Result[messages.EngineGrant | None, failures.Failure]


class EngineQuestions:
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
    untold_places : list of AllocationId
        Grants that the node does not know to be counted yet.
    untold_reads : list of prefill_rates.PrefillMeasurement
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
        self.untold_places: list[ids.AllocationId] = []
        self.untold_reads: list[prefill_rates.PrefillMeasurement] = []

    async def ask_for_start(
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
        avoided = self.avoided(routed)
        purpose = messages.Purpose.START
        return await self.ask(
            self.request(routed, need, purpose, here, avoided, wait_s)
        )

    async def ask_for_move(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
        source: discovery.DiscoveredServer,
    ) -> Granted:
        """Ask for an engine that is to get the memory of a generation."""
        avoided = self.avoided(routed) | {source.id}
        purpose = messages.Purpose.MOVE
        return await self.ask(
            self.request(routed, need, purpose, source.data_centre, avoided, 0.0)
        )

    async def ask(self, request: messages.AllocationRequest) -> Granted:
        """Ask the allocating node, if there is one, and note what it grants."""
        if self.source is None:
            return client.unavailable("no node allocates")
        asked = await self.source.request_grant(request)
        if isinstance(asked, result.Failure):
            return asked
        grant = asked.unwrap().grant
        if grant is not None:
            self.untold_places.append(request.allocation)
        return result.Success(grant)

    def request(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
        purpose: messages.Purpose,
        data_centre: ids.DataCentreId,
        avoided: frozenset[ids.ServerId],
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
            tuple(sorted(avoided)),
            self.health.cut_off(now_s),
        )

    def avoided(self, routed: relay_requests.RoutedRequest) -> frozenset[ids.ServerId]:
        """Return the engines that this gateway knows to be of no use now."""
        now_s = asyncio.get_running_loop().time()
        return frozenset(
            known.server.id
            for known in self.view.find_servers(routed.service.name)
            if known.is_leaving or self.health.is_ejected(known.server.id, now_s)
        )

    def note_read(self, read: prefill_rates.PrefillMeasurement) -> None:
        """Keep a first event for the allocating node."""
        if self.source is not None and len(self.untold_reads) < MAX_UNTOLD_READS:
            self.untold_reads.append(read)

    def confirm_told(self, placed: tuple[ids.AllocationId, ...], reads: int) -> None:
        """Forget what the allocating node has been told."""
        told = frozenset(placed)
        self.untold_places = [each for each in self.untold_places if each not in told]
        del self.untold_reads[:reads]

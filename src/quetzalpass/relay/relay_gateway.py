"""State that the relayed requests of one gateway share, and their routing."""

import abc
import asyncio
import functools
import random
from collections.abc import Callable, Coroutine
from typing import Any

import logbook
from returns import result

from quetzalpass import background, event_log, ids
from quetzalpass.backends import base, discovery, relays
from quetzalpass.lifecycle import attempts, reach_checks, relay_events
from quetzalpass.membership import configuration, fleet_view, quarantine
from quetzalpass.metrics import exposition
from quetzalpass.relay import (
    crash_checks,
    handover_channel,
    relay_requests,
    relay_reservations,
    request_routing,
    running_requests,
    server_probes,
    shared_budget,
)
from quetzalpass.results import codes, failures
from quetzalpass.routing import peer_choice

LOG = logbook.Logger("relay")

RETRY_WHEN_READY_MS = 1_500
MAX_START_WAIT_S = 1.5
START_WAIT_SHARE = 0.4
START_POLL_S = 0.02
START_ID_BITS = 32
Connect = Callable[[discovery.DiscoveredServer], relays.RelayServer]


class LeavingObserver(abc.ABC):
    """Something that must move away from a server that is leaving."""

    @abc.abstractmethod
    def on_server_leaving(self, server_id: ids.ServerId) -> None:
        """Handle that a server starts to leave or has left."""


class RelayGateway:
    """State that the relayed requests of one gateway share.

    Parameters
    ----------
    vm : VmId
        Identifier of this gateway.
    holder : configuration.ConfigurationHolder
        The declaration in force.
    view : fleet_view.FleetView
        The backend servers.
    reservations : relay_reservations.ServerReservations
        This gateway's reservations on the servers.
    budget : shared_budget.SharedBudget
        Budget of retries.
    connect : callable
        Creates the client of a server.
    rng : random.Random
        Source of randomness.
    channel : handover_channel.HandoverChannel or None
        Way to other gateways; ``None`` if there is none.

    Attributes
    ----------
    reach_checks : reach_checks.ReachChecks
        The services that this gateway reaches.
    peer_choice : peer_choice.PeerChoice
        The gateways that serve requests instead of this one.
    requests : running_requests.RunningRequests
        The requests that are served now, and their graceful shutdown.
    """

    def __init__(
        self,
        vm: ids.VmId,
        holder: configuration.ConfigurationHolder,
        view: fleet_view.FleetView,
        reservations: relay_reservations.ServerReservations,
        budget: shared_budget.SharedBudget,
        connect: Connect,
        rng: random.Random,
        channel: handover_channel.HandoverChannel | None = None,
    ) -> None:
        self.vm = vm
        self.handover_channel = channel
        self.holder = holder
        self.view = view
        self.reservations = reservations
        self.budget = budget
        self.connect = connect
        self.rng = rng
        # A restarted gateway must not reuse the ids of its earlier crashes.
        self.suspects = quarantine.Quarantine(
            f"{vm}/{rng.getrandbits(START_ID_BITS):x}"
        )
        self.relay_servers: dict[discovery.ServerPlace, relays.RelayServer] = {}
        self.requests = running_requests.RunningRequests()
        self.metrics = exposition.ProcessMetrics()
        self.metrics.running.set_function(lambda: self.requests.count)
        self.metrics.suspects.set_function(lambda: len(self.suspects.records))
        self.metrics.refused_suspects.set_function(self.suspects.refused_count)
        self.metrics.refused_parts.set_function(
            lambda: len(self.suspects.parts.refused)
        )
        self.metrics.revision.set_function(holder.revision)
        self.metrics.list_age_s.set_function(view.age_s)
        for state in discovery.ServerState:
            gauge = self.metrics.servers.labels(state.value)
            gauge.set_function(functools.partial(view.count, state))
        self.reach_checks = reach_checks.ReachChecks(
            reach_checks.FleetProber(view, self.get_relay_server), rng
        )
        self.metrics.lost_services.set_function(
            lambda: len(self.reach_checks.reach.lost_since_s)
        )
        self.peer_choice = peer_choice.PeerChoice(reservations.data_centre, rng)
        reservations.health.find_servers_to_avoid = self.suspects.servers_to_avoid
        self.crash_checks = crash_checks.CrashChecks(
            server_probes.ServerProbes(
                view, reservations.health, self.suspects, self.get_relay_server
            ),
            self.metrics,
        )
        self.crash_checks.silence_observers.append(self.reach_checks.suspect)
        self.streams: dict[ids.RequestId, LeavingObserver] = {}
        self.tasks = background.BackgroundTasks()
        view.change_observers.append(self.close_unlisted)
        view.leaving_observers.append(self.notify_streams)

    def notify_streams(self, server_id: ids.ServerId) -> None:
        """Notify all running generations that a server is leaving or has left."""
        for stream in list(self.streams.values()):
            stream.on_server_leaving(server_id)

    def get_relay_server(
        self, server: discovery.DiscoveredServer
    ) -> relays.RelayServer:
        """Return the client of a server, created on first use."""
        found = self.relay_servers.get(server.place)
        if found is None:
            found = self.relay_servers[server.place] = self.connect(server)
        return found

    def close_unlisted(self) -> None:
        """Close the clients of unlisted servers that have no request left."""
        listed = {each.server.place for each in self.view.servers.values()}
        for place in list(self.relay_servers):
            if place in listed or place.id in self.reservations.uses:
                continue
            self.spawn(self.relay_servers.pop(place).close())

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a background task; a failure is logged."""
        return self.tasks.spawn(work)

    def start(self) -> None:
        """Start the background tasks."""
        watch = background.keep_running(
            "watching for silent servers", self.crash_checks.watch_silence
        )
        self.spawn(watch)

    async def close(self) -> None:
        """Cancel the background tasks and close the clients of all servers."""
        self.crash_checks.close()
        self.reach_checks.close()
        self.tasks.cancel()
        for server in self.relay_servers.values():
            await server.close()

    async def wait_until_ready(self, request: relay_requests.RelayRequest) -> None:
        """Wait for the first declaration and the first server list, for a short time.

        Right after a start both arrive soon, so waiting serves the caller sooner than a
        retry would. The end of a drain ends the wait.
        """
        if self.holder.current is not None and self.view.read_at_s is not None:
            return
        max_wait_s = MAX_START_WAIT_S
        if request.time_left_s is not None:
            max_wait_s = min(max_wait_s, START_WAIT_SHARE * request.time_left_s)
        ends_s = asyncio.get_running_loop().time() + max_wait_s
        try:
            async with self.requests.interruptions.interruptible(ends_s):
                await self.holder.wait_newer(ids.Revision(0), max_wait_s)
                while self.view.read_at_s is None:
                    await asyncio.sleep(START_POLL_S)
        except TimeoutError:
            return

    def route(
        self, request: relay_requests.RelayRequest
    ) -> result.Result[relay_requests.RoutedRequest, failures.Failure]:
        """Route a request by the declaration in force, or return why it is refused."""
        current = self.holder.current
        if current is None:
            return request_routing.refuse(
                codes.Code.NOT_READY,
                "this gateway has not received a declaration yet",
                RETRY_WHEN_READY_MS,
            )
        route = current.find_route(request.host, request.path)
        if route is None:
            return request_routing.refuse(
                codes.Code.NOT_FOUND, "no route matches this host and path"
            )
        organisation = None
        if not route.public:
            organisation = current.find_organisation(request.key or "")
            if organisation is None:
                return request_routing.refuse(
                    codes.Code.UNKNOWN_KEY, "the key is unknown"
                )
        service = current.services[
            request_routing.choose_service(route, request.request_id)
        ]
        routed = request_routing.routed_request(
            request, route, service, organisation, current
        )
        refusal = self.requests.find_refusal(routed)
        if refusal is not None:
            return result.Failure(refusal)
        now_s = asyncio.get_running_loop().time()
        self.budget.record_request(service.name, now_s)
        return result.Success(routed)

    def record_decision(
        self,
        routed: relay_requests.RoutedRequest,
        decision: str,
        server: ids.ServerId | None = None,
        detail: str = "",
        level: event_log.Level = event_log.Level.ROUTINE,
    ) -> None:
        """Log a decision on a request with its inputs, and count it."""
        route = self.metrics.bounded_label(routed.route.name)
        self.metrics.decisions.labels(decision, route).inc()
        routed.progress.decision = decision
        routed.progress.server = server
        crashes = self.suspects.crash_count_of(routed.fingerprint)
        event_log.record(
            relay_events.RelayEvent(
                routed.request.request_id,
                decision,
                routed.configuration.revision,
                routed.route.name,
                routed.organisation.id if routed.organisation else None,
                server,
                self.view.age_ms(),
                detail,
                routed.fingerprint if crashes else None,
                crashes,
            ),
            level,
        )

    def refusal(
        self,
        routed: relay_requests.RoutedRequest,
        execution: codes.Execution = codes.Execution.NOT_RUN,
    ) -> failures.Failure | None:
        """Return why a request must not be sent to any server now, or ``None``.

        Each send asks anew: a request may have become refused since its last one, also
        while it waited.

        Parameters
        ----------
        routed : relay_requests.RoutedRequest
            The request.
        execution : codes.Execution
            Whether an earlier send of it ran.
        """
        refusal = self.suspects.refusal_of_request(
            routed.fingerprint, routed.parts, routed.request.request_id
        )
        if refusal is None and execution is codes.Execution.NOT_RUN:
            refusal = self.requests.find_refusal(routed)
        if refusal is None:
            return None
        return attempts.with_execution(refusal, execution)

    async def wait_for_other_copy(
        self, routed: relay_requests.RoutedRequest, max_wait_s: float
    ) -> failures.Failure | None:
        """Wait until no other copy of a suspect runs here.

        Returns
        -------
        Failure or None
            ``QUEUE_FULL`` if one still runs after ``max_wait_s``.
        """
        if not self.suspects.has_other_copy(routed.fingerprint):
            return None
        self.record_decision(routed, "wait_for_copy")
        now_s = asyncio.get_running_loop().time()
        await self.suspects.wait_for_other_copy(routed.fingerprint, now_s + max_wait_s)
        if not self.suspects.has_other_copy(routed.fingerprint):
            return None
        return self.reservations.queue_full_failure(
            routed, "a copy of this request runs, under which a server crashed before"
        )

    def on_response_head(
        self, server: discovery.DiscoveredServer, head: relays.ResponseHead
    ) -> None:
        """Record a response; if it closes the connection, check for leaving."""
        self.crash_checks.on_response(server)
        self.reach_checks.on_response(server.service)
        self.observe_notice(server, head.rate_notice, head.notice)
        if head.is_closing and server.id in self.view.servers:
            known = self.view.servers[server.id]
            if not known.is_leaving:
                self.spawn(self.confirm_leaving(server))

    def observe_notice(
        self,
        server: discovery.DiscoveredServer,
        rate_notice: base.RateNotice | None,
        notice: base.ServerNotice | None,
    ) -> None:
        """Record what a response says about its server."""
        self.reservations.gates.observe(server, rate_notice, notice)
        if notice is None or not notice.is_leaving:
            return
        known = self.view.servers.get(server.id)
        if known is not None and known.server.start_key == server.start_key:
            self.view.announce(server.id)

    async def is_complete(
        self,
        routed: relay_requests.RoutedRequest,
        server: discovery.DiscoveredServer,
        head: relays.ResponseHead,
    ) -> bool:
        """Return whether a response whose body has ended is complete.

        A body without framing ends with its connection, which a crash closes too.
        """
        if head.body_end is not relays.BodyEnd.CLOSE:
            return True
        return await self.crash_checks.is_complete(routed, server)

    def record_completion(
        self,
        routed: relay_requests.RoutedRequest,
        server: discovery.DiscoveredServer,
        head: relays.ResponseHead,
    ) -> None:
        """Clear a request, and the parts of its prompt, that a server has run.

        A body without framing that ended on a server that leaves does not show whether
        the server ran the request to its end.
        """
        if head.body_end is relays.BodyEnd.CLOSE and self.is_leaving(server.id):
            return
        self.suspects.clear(routed.fingerprint, None)
        self.suspects.parts.clear(routed.parts)

    def is_leaving(self, server_id: ids.ServerId) -> bool:
        """Return whether a server is leaving or has left."""
        known = self.view.servers.get(server_id)
        return known is None or known.is_leaving

    def on_broken_request(
        self,
        routed: relay_requests.RoutedRequest,
        server: discovery.DiscoveredServer,
        failure: base.AttemptFailure,
    ) -> None:
        """Record a request that broke off, and check its server for a crash."""
        self.observe_notice(server, failure.rate_notice, failure.notice)
        if failure.kind is base.FailureKind.OVERLOADED:
            self.reservations.gates.room_gate.on_refusal(server)
        is_leaving = self.is_leaving(server.id)
        if not is_leaving:
            self.reach_checks.on_failure(server, failure)
        if failure.kind is base.FailureKind.TOO_LARGE:
            self.reservations.health.record_endless(server.id, failure.message)
        if not is_leaving and failure.end not in crash_checks.NOT_STARTED:
            self.reservations.health.record_failure(server.id, failure.message)
        self.crash_checks.start_check(routed, server, failure)

    async def confirm_leaving(self, server: discovery.DiscoveredServer) -> None:
        """Ask a server whether it is leaving; a closed connection does not prove it."""
        if await self.get_relay_server(server).is_leaving():
            self.view.announce(server.id)

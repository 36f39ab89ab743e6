"""Checks whether a backend server has crashed under the requests of a gateway.

A request that breaks off, and a server that sends nothing for some time, lead to a
check: the server has crashed if it accepts no connection while its data centre can be
reached. A server that is leaving, or that later responds under the same start, has not
crashed.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import logbook
import msgspec

from quetzalpass import event_log, ids
from quetzalpass.backends import base, discovery
from quetzalpass.metrics import exposition
from quetzalpass.relay import (
    crash_events,
    loop_pauses,
    lost_requests,
    relay_requests,
    server_probes,
)

LOG = logbook.Logger("relay")

NOT_STARTED = frozenset({base.AttemptEnd.NOT_SENT, base.AttemptEnd.REFUSED})
CRASH_SYMPTOMS = frozenset(
    {
        base.FailureKind.CLOSED,
        base.FailureKind.UNREACHABLE,
        base.FailureKind.SILENT,
    }
)
# A server with requests in flight is checked after this time without any byte.
SILENCE_S = 1.0
SILENCE_POLL_S = 0.25
# Silence after which a request that its caller abandons may have crashed its server.
ABANDONED_SILENCE_S = 0.25
# Longest delay of a retry for the check of the failed server. A crashed process refuses
# connections within a round trip; a server that stays silent is not waited for.
MAX_CHECK_WAIT_S = 0.05
# The list shows by then whether a server that responds again was restarted.
CONFIRMATION_S = 3.0
MAX_LIST_AGE_S = 1.5
ENDED_WITH_CONNECTION = base.AttemptFailure(
    base.AttemptEnd.MAY_HAVE_RUN,
    base.FailureKind.CLOSED,
    "the server does not run after a response that ended with its connection",
)


class PendingCheck(msgspec.Struct, frozen=True):
    """A request whose server is being checked."""

    server: ids.ServerId
    request: ids.RequestId


class CrashChecks:
    """Checks of one gateway's servers.

    Parameters
    ----------
    probes : server_probes.ServerProbes
        Probes of the servers, and when they were last heard.
    metrics : exposition.ProcessMetrics
        Counts the outcomes.

    Attributes
    ----------
    probed_s : dict of ServerId to float
        Loop time at which the last check of a silent server ended.
    pending : set of PendingCheck
        Requests that stay registered on their server until its check has ended.
    sent_to : dict of ServerId to discovery.DiscoveredServer
        The start of each server with requests in flight.
    lost : lost_requests.LostRequests
        Requests that were lost recently on servers that may have crashed.
    silence_observers : list of callable
        Called with the service of a server that is silent.
    tasks : background.BackgroundTasks
        Running checks.
    pauses : loop_pauses.LoopPauses
        When this process last stood still.
    """

    def __init__(
        self,
        probes: server_probes.ServerProbes,
        metrics: exposition.ProcessMetrics,
    ) -> None:
        self.probes = probes
        self.view = probes.view
        self.health = probes.health
        self.suspects = probes.suspects
        self.tasks = probes.tasks
        self.metrics = metrics
        self.probed_s: dict[ids.ServerId, float] = {}
        self.pending: set[PendingCheck] = set()
        self.pauses = loop_pauses.LoopPauses()
        self.sent_to: dict[ids.ServerId, discovery.DiscoveredServer] = {}
        self.lost = lost_requests.LostRequests(self.view)
        self.silence_observers: list[Callable[[ids.ServiceName], None]] = []
        self.view.change_observers.append(self.on_list_change)
        self.view.leaving_observers.append(self.on_server_leaving)

    def close(self) -> None:
        """Cancel all checks."""
        self.tasks.cancel()

    def on_list_change(self) -> None:
        """Forget the servers that are no longer listed, and find restarted ones."""
        self.forget_old_servers()
        silent = self.silent_servers()
        if not self.lost.requests and not silent:
            return
        newest_ms = self.lost.newest_starts()
        for server_id in silent:
            server = self.sent_to.get(server_id)
            if server is not None and self.lost.has_restarted(server, newest_ms):
                self.record_outcome(
                    server, crash_events.CrashCheckOutcome.RESTARTED, "in flight"
                )
                requests = self.suspects.in_flight[server_id]
                self.record_crash(server, next(iter(requests)))
        for each in list(self.lost.requests):
            if self.lost.has_restarted(each.server, newest_ms):
                self.record_late_crash(each.server)

    def forget_old_servers(self) -> None:
        """Forget servers that are no longer listed, and lost requests that expired."""
        for times_s in (self.probes.heard_s, self.probed_s):
            for server_id in [
                each for each in times_s if each not in self.view.servers
            ]:
                del times_s[server_id]
        starts = {each.server.start_key for each in self.view.servers.values()}
        self.probes.crashed_starts &= starts
        self.lost.expire()
        for server_id in [
            each for each in self.sent_to if each not in self.suspects.in_flight
        ]:
            del self.sent_to[server_id]
        used = {each.start_key for each in self.sent_to.values()}
        used |= {each.server.start_key for each in self.lost.requests}
        self.lost.leaving_starts &= starts | used

    def on_server_leaving(self, server_id: ids.ServerId) -> None:
        """Remember the start of a server that has announced that it leaves."""
        known = self.view.servers.get(server_id)
        if known is not None and known.is_leaving:
            self.lost.leaving_starts.add(known.server.start_key)

    def record_late_crash(self, server: discovery.DiscoveredServer) -> None:
        """Attribute the crash of a restarted server to the requests lost on it."""
        requests = self.lost.take(server)
        if requests:
            self.record_outcome(
                server, crash_events.CrashCheckOutcome.RESTARTED, "lost before"
            )
            self.suspects.attribute_to_requests(server.id, requests, server.start_key)

    def on_send(self, server: discovery.DiscoveredServer) -> None:
        """Record to which start of a server a request is sent."""
        self.sent_to[server.id] = server

    def on_bytes(self, server_id: ids.ServerId) -> None:
        """Record that bytes have arrived from a server."""
        self.probes.heard_s[server_id] = asyncio.get_running_loop().time()

    def on_response(self, server: discovery.DiscoveredServer) -> None:
        """Record a response, which shows that a server runs."""
        self.on_bytes(server.id)
        self.suspects.losses.explain(server.start_key)
        if server.start_key in self.probes.crashed_starts:
            self.probes.crashed_starts.discard(server.start_key)
            self.tasks.spawn(self.withdraw_if_not_restarted(server))

    async def withdraw_if_not_restarted(
        self, server: discovery.DiscoveredServer
    ) -> None:
        """Withdraw a crash if the server still runs under the same start."""
        await asyncio.sleep(CONFIRMATION_S)
        if self.view.age_s() > MAX_LIST_AGE_S:
            return
        known = self.view.servers.get(server.id)
        if known is not None and known.server.start_key == server.start_key:
            LOG.info("relay: {} responds again and has not crashed.", server.id)
            self.suspects.withdraw(server.start_key)

    def has_crashed(self, server: discovery.DiscoveredServer) -> bool:
        """Return whether this start of a server is known to have crashed."""
        return self.probes.has_crashed(server)

    def start_check(
        self,
        routed: relay_requests.RoutedRequest,
        server: discovery.DiscoveredServer,
        failure: base.AttemptFailure,
    ) -> asyncio.Task[crash_events.CrashCheckOutcome]:
        """Check in the background whether a server crashed under a request.

        Parameters
        ----------
        routed : relay_requests.RoutedRequest
            The request.
        server : discovery.DiscoveredServer
            The server.
        failure : base.AttemptFailure
            How the request ended there.
        """
        return self.spawn_check(
            routed, server, self.find_outcome(routed, server, failure)
        )

    async def is_complete(
        self,
        routed: relay_requests.RoutedRequest,
        server: discovery.DiscoveredServer,
    ) -> bool:
        """Return whether a response that ended with its connection is complete.

        A server that stops closes its connections too, so it must still run, also if it
        leaves or is no longer listed. A crash is attributed to the server's requests.
        """
        checking = self.spawn_check(
            routed, server, self.find_outcome_after_end(routed, server)
        )
        outcome = await asyncio.shield(checking)
        return outcome is crash_events.CrashCheckOutcome.RESPONDS

    def spawn_check(
        self,
        routed: relay_requests.RoutedRequest,
        server: discovery.DiscoveredServer,
        finding: Coroutine[Any, Any, crash_events.CrashCheckOutcome],
    ) -> asyncio.Task[crash_events.CrashCheckOutcome]:
        """Check a request's server; the request stays registered on it meanwhile."""
        check = PendingCheck(server.id, routed.request.request_id)
        self.pending.add(check)
        return self.tasks.spawn(self.check_request(check, routed, server, finding))

    async def check_request(
        self,
        check: PendingCheck,
        routed: relay_requests.RoutedRequest,
        server: discovery.DiscoveredServer,
        finding: Coroutine[Any, Any, crash_events.CrashCheckOutcome],
    ) -> crash_events.CrashCheckOutcome:
        """Check the server of a request, then remove the request from it."""
        try:
            outcome = await finding
            self.apply_outcome(routed, server, outcome)
            return outcome
        finally:
            self.pending.discard(check)
            self.suspects.remove_request(check.server, check.request)

    async def find_outcome(
        self,
        routed: relay_requests.RoutedRequest,
        server: discovery.DiscoveredServer,
        failure: base.AttemptFailure,
    ) -> crash_events.CrashCheckOutcome:
        """Find out whether a server has crashed, and log the outcome."""
        outcome = self.outcome_without_probe(server, failure)
        if outcome is None:
            outcome = await self.probes.probe(server)
        cause = f"{failure.end.value}, {failure.kind.value}"
        self.record_outcome(server, outcome, cause, routed)
        if outcome is crash_events.CrashCheckOutcome.RESPONDS:
            # The list may show later that it has crashed.
            self.remember_lost(server, routed.request.request_id)
        return outcome

    async def find_outcome_after_end(
        self,
        routed: relay_requests.RoutedRequest,
        server: discovery.DiscoveredServer,
    ) -> crash_events.CrashCheckOutcome:
        """Find out whether a server that closed a connection runs; log the outcome."""
        excuse = self.outcome_without_probe(server, ENDED_WITH_CONNECTION)
        known = self.view.servers.get(server.id)
        is_leaving = known is None or known.is_leaving
        outcome = await self.probes.probe_after_end(server, is_leaving)
        if outcome is not crash_events.CrashCheckOutcome.RESPONDS:
            outcome = excuse or outcome
        elif self.is_replaced(server):
            outcome = crash_events.CrashCheckOutcome.RESTARTED
        else:
            outcome = await self.outcome_of_start(routed, server)
        cause = "the response ended with its connection"
        self.record_outcome(server, outcome, cause, routed)
        return outcome

    def is_replaced(self, server: discovery.DiscoveredServer) -> bool:
        """Return whether the list shows a newer start in a server's place."""
        if server.started_ms is None:
            return False
        known = self.view.servers.get(server.id)
        if known is not None and known.server.start_key != server.start_key:
            return True
        newest_ms = self.lost.newest_starts().get(server.address, 0)
        return newest_ms > server.started_ms

    async def outcome_of_start(
        self,
        routed: relay_requests.RoutedRequest,
        server: discovery.DiscoveredServer,
    ) -> crash_events.CrashCheckOutcome:
        """Find out whether the server that accepts connections is still the same start.

        One that crashed behind a cut may be back before the list shows it. If this
        process stood still, it may be back before the close of its connection was read
        here. Plain services don't say when they were started.
        """
        started_ms = None
        if server.started_ms is not None:
            started_ms = await self.probes.started_ms(server)
        if started_ms is not None and started_ms > server.started_ms:
            return crash_events.CrashCheckOutcome.RESTARTED
        arrived_s = routed.request.arrived_s
        if started_ms is None and self.pauses.has_paused_since(
            arrived_s, SILENCE_POLL_S
        ):
            return crash_events.CrashCheckOutcome.UNPROVEN
        return crash_events.CrashCheckOutcome.RESPONDS

    def apply_outcome(
        self,
        routed: relay_requests.RoutedRequest,
        server: discovery.DiscoveredServer,
        outcome: crash_events.CrashCheckOutcome,
    ) -> None:
        """Attribute a crash to a broken request, or remember the request if unsure."""
        request_id = routed.request.request_id
        if outcome is crash_events.CrashCheckOutcome.CRASHED:
            self.record_crash(server, request_id)
        elif outcome is crash_events.CrashCheckOutcome.CUT_OFF:
            self.remember_lost(server, request_id)
            self.suspects.losses.add(
                routed.fingerprint,
                server.start_key,
                server.data_centre,
                lost_requests.LOST_LIFETIME_S,
            )
        elif outcome is crash_events.CrashCheckOutcome.RESTARTED:
            self.remember_lost(server, request_id)
            self.on_list_change()
        elif outcome is crash_events.CrashCheckOutcome.REPLACED:
            self.health.eject(server.id, "another server has its address")
            self.record_late_crash(server)

    def remember_lost(
        self, server: discovery.DiscoveredServer, request_id: ids.RequestId
    ) -> None:
        """Remember a request, as the list may show later that its server crashed."""
        request = self.suspects.in_flight.get(server.id, {}).get(request_id)
        if request is not None:
            self.lost.add(server, request)

    def on_request_left(
        self,
        routed: relay_requests.RoutedRequest,
        server: discovery.DiscoveredServer,
    ) -> None:
        """Remove a request from its server, which is checked first if it is silent."""
        request_id = routed.request.request_id
        if PendingCheck(server.id, request_id) in self.pending:
            return
        if not self.is_silent(server.id, request_id):
            self.suspects.remove_request(server.id, request_id)
            return
        failure = base.AttemptFailure(
            base.AttemptEnd.MAY_HAVE_RUN,
            base.FailureKind.SILENT,
            "the request ended while the server was silent",
        )
        self.notify_silence(server)
        self.start_check(routed, server, failure)

    def is_silent(self, server_id: ids.ServerId, request_id: ids.RequestId) -> bool:
        """Return whether nothing has come from a request's server for some time."""
        request = self.suspects.in_flight.get(server_id, {}).get(request_id)
        if request is None:
            return False
        last_s = max(request.sent_s, self.probes.heard_s.get(server_id, 0.0))
        return asyncio.get_running_loop().time() - last_s >= ABANDONED_SILENCE_S

    def outcome_without_probe(
        self, server: discovery.DiscoveredServer, failure: base.AttemptFailure
    ) -> crash_events.CrashCheckOutcome | None:
        """Return the outcome if no probe is needed.

        A server that is leaving may stop at any time, which does not count as a crash.
        """
        known = self.view.servers.get(server.id)
        if known is None:
            return crash_events.CrashCheckOutcome.UNLISTED
        if known.is_leaving:
            return crash_events.CrashCheckOutcome.LEAVING
        if failure.kind is base.FailureKind.REPLACED:
            return crash_events.CrashCheckOutcome.REPLACED
        if failure.end in NOT_STARTED:
            return crash_events.CrashCheckOutcome.NOT_STARTED
        if failure.kind not in CRASH_SYMPTOMS:
            return crash_events.CrashCheckOutcome.NO_SYMPTOM
        return None

    async def wait_for_check(self, server_id: ids.ServerId) -> None:
        """Wait for a short time for the probe of a server that is in progress."""
        # The background task of a check that has just been started starts its probe.
        await asyncio.sleep(0)
        probe = self.probes.running.get(server_id)
        if probe is not None:
            await asyncio.wait({probe}, timeout=MAX_CHECK_WAIT_S)
            # Lets the checks that wait for the probe record its outcome.
            await asyncio.sleep(0)

    def record_outcome(
        self,
        server: discovery.DiscoveredServer,
        outcome: crash_events.CrashCheckOutcome,
        cause: str,
        routed: relay_requests.RoutedRequest | None = None,
    ) -> None:
        """Log and count the outcome of a check."""
        self.metrics.crash_checks.labels(outcome.value).inc()
        event_log.record(
            crash_events.CrashCheckEvent(
                server.id,
                outcome,
                cause,
                len(self.suspects.in_flight.get(server.id, ())),
                self.view.age_ms(),
                routed.request.request_id if routed else None,
                routed.fingerprint if routed else None,
                routed.request.shared_parts if routed else (),
            ),
            event_log.Level.NOTICE,
        )

    def record_crash(
        self, server: discovery.DiscoveredServer, request_id: ids.RequestId
    ) -> None:
        """Eject a crashed server, and attribute the crash to its requests."""
        self.health.eject(server.id, "it does not respond")
        if server.start_key:
            self.probes.crashed_starts.add(server.start_key)
        self.suspects.record_crash(server.id, request_id, server.start_key)

    def notify_silence(self, server: discovery.DiscoveredServer) -> None:
        """Notify the observers that a server is silent."""
        for observer in self.silence_observers:
            observer(server.service)

    async def watch_silence(self) -> None:
        """Check servers that send nothing while requests are in flight, forever."""
        while True:
            await asyncio.sleep(SILENCE_POLL_S)
            self.pauses.tick(SILENCE_POLL_S)
            for server_id in self.servers_to_check():
                self.tasks.spawn(
                    self.check_silent_server(self.view.servers[server_id].server)
                )

    def servers_to_check(self) -> list[ids.ServerId]:
        """Return the silent servers whose check is due."""
        due_s = asyncio.get_running_loop().time() - SILENCE_S
        return [
            each
            for each in self.silent_servers()
            if each in self.view.servers
            and each not in self.probes.running
            and self.probed_s.get(each, 0.0) <= due_s
        ]

    def silent_servers(self) -> list[ids.ServerId]:
        """Return the servers that send nothing while a request is in flight."""
        since_s = asyncio.get_running_loop().time() - SILENCE_S
        return [
            server_id
            for server_id, requests in self.suspects.in_flight.items()
            if self.probes.heard_s.get(server_id, 0.0) <= since_s
            and min(each.sent_s for each in requests.values()) <= since_s
        ]

    async def check_silent_server(self, server: discovery.DiscoveredServer) -> None:
        """Check a server that has been silent, unless it is leaving."""
        known = self.view.servers.get(server.id)
        if known is None or known.is_leaving:
            return
        self.notify_silence(server)
        outcome = await self.probes.probe(server)
        self.probed_s[server.id] = asyncio.get_running_loop().time()
        if outcome is crash_events.CrashCheckOutcome.RESPONDS:
            return
        self.record_outcome(server, outcome, f"silent for {SILENCE_S} s")
        requests = self.suspects.in_flight.get(server.id, {})
        if outcome is crash_events.CrashCheckOutcome.CRASHED and requests:
            self.record_crash(server, next(iter(requests)))

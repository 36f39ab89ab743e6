"""Test oracle: records what clients and servers observed and checks guarantees.

Each guarantee has one method, which raises ``AssertionError`` if it is violated.
"""

import enum
import math

from fakes import backends
from quetzalpass.lifecycle import requests
from quetzalpass.results import codes

# A new revision, or the change of a server to leaving, must be in force everywhere
# within this time, counted from when a majority of replicas is healthy and connected.
MAX_PROPAGATION_S = 8.0


class RequestState(enum.Enum):
    """State of a request as its caller saw it."""

    RUNNING = "running"
    COMPLETED = "whole"
    FAILED = "failed"
    # The caller disconnected, or the gateway's process was killed.
    INTERRUPTED = "cut"


class SentRequest:
    """A request and its result as its caller saw them."""

    def __init__(self, request_id, gateway):
        self.request_id = request_id
        self.gateway = gateway
        self.state = RequestState.RUNNING
        self.failure = None
        # Whether a graceful shutdown of its gateway began while it was in progress.
        self.during_drain = False
        self.caller_disconnected = False

    def fail(self, failure):
        self.state = RequestState.FAILED
        self.failure = failure


class SentGeneration(SentRequest):
    def __init__(self, request_id, gateway, prompt, delivery):
        super().__init__(request_id, gateway)
        self.prompt = prompt
        self.delivery = delivery
        self.tokens = []


class SentCall(SentRequest):
    def __init__(self, request_id, gateway, key, body):
        super().__init__(request_id, gateway)
        self.key = key
        self.body = body
        self.response = None


class SentApply:
    """An apply operation and its outcomes as its operator saw them."""

    def __init__(self, operation, base_revision, data, leaving):
        self.operation = operation
        self.base_revision = base_revision
        self.data = data
        self.leaving = leaving
        self.outcomes = []
        self.due_s = None


class Oracle:
    """Checks the seven guarantees against the recorded observations.

    Attributes
    ----------
    sent : list of SentRequest
        All requests of callers.
    applies : list of SentApply
        All apply operations; a resent one is listed once.
    leaving_due_s : dict of ServerId to float
        Time after which a leaving server must get no new work.
    late_runs : list of tuple
        Request ids, each with its server, that started on a server after that time.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.sent = []
        self.applies = []
        self.leaving_due_s = {}
        self.late_runs = []
        cluster.record.on_run = self.record_run

    def guarantee_checks(self):
        return [
            self.check_tokens_once_in_order_of_one_generation,
            self.check_complete_response_to_own_request,
            self.check_not_run_requests_never_ran,
            self.check_non_idempotent_at_most_once,
            self.check_leaving_server_gets_no_new_work,
            self.check_shutdown_interrupts_no_request,
            self.check_accepted_configuration_in_force,
        ]

    def check_all(self):
        for check in self.guarantee_checks():
            check()

    def generations(self):
        return [each for each in self.sent if isinstance(each, SentGeneration)]

    def calls(self):
        return [each for each in self.sent if isinstance(each, SentCall)]

    def check_tokens_once_in_order_of_one_generation(self):
        for sent in self.generations():
            if not sent.tokens:
                continue
            generation_id = sent.tokens[0].split("|")[1]
            expected = [
                backends.token_text(sent.prompt, generation_id, offset)
                for offset in range(len(sent.tokens))
            ]
            assert sent.tokens == expected, f"wrong tokens of {sent.request_id}"

    def check_complete_response_to_own_request(self):
        for sent in self.generations():
            if sent.state is RequestState.COMPLETED:
                size = backends.output_length(sent.prompt)
                assert len(sent.tokens) == size, f"incomplete: {sent.request_id}"
                own = all(each.startswith(f"{sent.prompt}|") for each in sent.tokens)
                assert own, f"{sent.request_id} got the output of another"
            elif sent.delivery is requests.Delivery.WHOLE:
                assert not sent.tokens, f"partial output of {sent.request_id}"
        for sent in self.calls():
            if sent.state is RequestState.COMPLETED:
                assert sent.response == sent.body, (
                    f"wrong response to {sent.request_id}"
                )

    def check_not_run_requests_never_ran(self):
        for sent in self.sent:
            if sent.state is not RequestState.FAILED:
                continue
            if sent.failure.effective_execution() is codes.Execution.NOT_RUN:
                runs = self.cluster.record.runs_of_request[sent.request_id]
                assert not runs, f"{sent.request_id} has run: {sent.failure}"

    def check_non_idempotent_at_most_once(self):
        for key, runs in self.cluster.record.runs_of_key.items():
            assert runs <= 1, f"the request with key {key} ran {runs} times"

    def check_leaving_server_gets_no_new_work(self):
        assert not self.late_runs, (
            f"requests started on leaving servers: {self.late_runs}"
        )

    def check_shutdown_interrupts_no_request(self):
        for sent in self.sent:
            if not sent.during_drain or sent.caller_disconnected:
                continue
            is_interrupted = sent.state is RequestState.INTERRUPTED or (
                sent.state is RequestState.FAILED
                and sent.failure.code is codes.Code.DRAINING
            )
            assert not is_interrupted, (
                f"{sent.request_id} was interrupted by a graceful shutdown"
            )

    def check_accepted_configuration_in_force(self):
        accepted = self.accepted()
        for daemon in self.cluster.daemons.values():
            assert daemon.revisions == sorted(set(daemon.revisions)), (
                "revision reverted"
            )
            current = daemon.holder.current
            if current is not None and current.revision in accepted:
                assert current.data == accepted[current.revision].data
        now_s = self.cluster.now_s()
        for sent_apply in accepted.values():
            if sent_apply.due_s is None or now_s <= sent_apply.due_s:
                continue
            revision = sent_apply.outcomes[0].revision
            for gateway in self.cluster.gateways():
                current_revision = gateway.holder.revision()
                due_s = max(
                    sent_apply.due_s, gateway.bounds_start_s + MAX_PROPAGATION_S
                )
                is_late = current_revision < revision and now_s > due_s
                assert not is_late, (
                    f"{gateway.vm} is at {current_revision}, not {revision}"
                )

    def accepted(self):
        """Return the accepted applies by revision; fail if two share a revision."""
        accepted = {}
        for sent_apply in self.applies:
            if not sent_apply.outcomes:
                continue
            first = sent_apply.outcomes[0]
            same = all(each == first for each in sent_apply.outcomes)
            assert same, f"{sent_apply.operation} has different outcomes"
            if first.accepted:
                assert first.revision not in accepted, (
                    "two applies with the same base were accepted"
                )
                assert first.revision == sent_apply.base_revision + 1
                accepted[first.revision] = sent_apply
        return accepted

    def record_apply(self, sent_apply):
        """Record an apply when it is sent.

        From now on it may be in force, even if the operator never gets the outcome.
        """
        self.applies.append(sent_apply)
        for server_id in list(self.leaving_due_s):
            if server_id not in sent_apply.leaving:
                del self.leaving_due_s[server_id]

    def record_outcome(self, sent_apply, outcome):
        """Record an acknowledged outcome and start its time limit to be in force."""
        sent_apply.outcomes.append(outcome)
        if not outcome.accepted or sent_apply.due_s is not None:
            return
        sent_apply.due_s = self.cluster.now_s() + MAX_PROPAGATION_S
        # Newer applies that may have been accepted: the limit holds only for servers
        # that are leaving in all of them.
        undecided = [
            each
            for each in self.applies
            if each.base_revision >= outcome.revision
            and not any(not done.accepted for done in each.outcomes)
        ]
        for server_id in sent_apply.leaving:
            if all(server_id in each.leaving for each in undecided):
                self.leaving_due_s.setdefault(server_id, sent_apply.due_s)

    def record_run(self, server_id, request_id):
        """Check the start of a request on a server; record it if it is too late.

        The limit can be postponed, so it is known only when the request starts.
        """
        due_s = self.leaving_due_s.get(server_id, math.inf)
        sent = next(each for each in self.sent if each.request_id == request_id)
        due_s = max(due_s, sent.gateway.bounds_start_s + MAX_PROPAGATION_S)
        if self.cluster.now_s() > due_s:
            self.late_runs.append((request_id, server_id))

    def postpone_deadlines(self):
        """Restart the time limits, as no majority is healthy and connected."""
        now_s = self.cluster.now_s()
        due_s = now_s + MAX_PROPAGATION_S
        newest = max(self.accepted(), default=0)
        for sent_apply in self.applies:
            if sent_apply.due_s is not None:
                sent_apply.due_s = max(sent_apply.due_s, due_s)
        for server_id, current_due_s in self.leaving_due_s.items():
            if current_due_s > now_s:
                self.leaving_due_s[server_id] = due_s
        for gateway in self.cluster.gateways():
            if gateway.holder.revision() < newest:
                gateway.bounds_start_s = now_s

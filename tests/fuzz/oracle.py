"""What callers, operators and backend servers saw, and the promises over it.

Each promise is one method; it raises ``AssertionError`` with what was seen.
"""

import enum
import math

from fakes import backends
from quetzalpass.lifecycle import requests
from quetzalpass.results import codes

# A revision or a leaving server must be in force everywhere within this time, counted
# from when a majority of replicas is whole and connected.
IN_FORCE_BOUND_S = 8.0


class End(enum.Enum):
    """How a request looked to its caller."""

    RUNNING = "running"
    WHOLE = "whole"
    FAILED = "failed"
    # The caller left, or the gateway's process was killed.
    CUT = "cut"


class Sent:
    """One request as its caller saw it."""

    def __init__(self, request_id, gateway):
        self.request_id = request_id
        self.gateway = gateway
        self.end = End.RUNNING
        self.failure = None
        # A graceful shutdown of its gateway began while it was in progress.
        self.in_drain = False
        self.caller_left = False

    def fail(self, failure):
        self.end = End.FAILED
        self.failure = failure


class SentGeneration(Sent):
    def __init__(self, request_id, gateway, prompt, delivery):
        super().__init__(request_id, gateway)
        self.prompt = prompt
        self.delivery = delivery
        self.tokens = []


class SentCall(Sent):
    def __init__(self, request_id, gateway, key, body):
        super().__init__(request_id, gateway)
        self.key = key
        self.body = body
        self.answer = None


class Applied:
    """An apply as its operator saw it."""

    def __init__(self, operation, base_revision, data, leaving):
        self.operation = operation
        self.base_revision = base_revision
        self.data = data
        self.leaving = leaving
        self.outcomes = []
        self.due_s = None


class Oracle:
    """The seven promises over what was seen.

    Attributes
    ----------
    sent : list of Sent
        All requests.
    applied : list of Applied
        All applies by operation.
    leaving_due_s : dict of ServerId to float
        From when on a server must get no new work.
    late_runs : list of tuple
        Requests that began on a server later than that, each with its server.
    """

    def __init__(self, world):
        self.world = world
        self.sent = []
        self.applied = []
        self.leaving_due_s = {}
        self.late_runs = []
        world.record.on_run = self.note_run

    def promises(self):
        return [
            self.check_tokens_once_in_order_of_one_generation,
            self.check_whole_answer_to_own_request,
            self.check_not_run_did_not_run,
            self.check_non_idempotent_at_most_once,
            self.check_leaving_server_gets_no_new_work,
            self.check_shutdown_cuts_no_request,
            self.check_accepted_configuration_in_force,
        ]

    def check_all(self):
        for check in self.promises():
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
            assert sent.tokens == expected, f"tokens of {sent.request_id}"

    def check_whole_answer_to_own_request(self):
        for sent in self.generations():
            if sent.end is End.WHOLE:
                size = backends.output_length(sent.prompt)
                assert len(sent.tokens) == size, f"part of {sent.request_id}"
                own = all(each.startswith(f"{sent.prompt}|") for each in sent.tokens)
                assert own, f"{sent.request_id} got another's answer"
            elif sent.delivery is requests.Delivery.WHOLE:
                assert not sent.tokens, f"part of {sent.request_id}"
        for sent in self.calls():
            if sent.end is End.WHOLE:
                assert sent.answer == sent.body, f"answer of {sent.request_id}"

    def check_not_run_did_not_run(self):
        for sent in self.sent:
            if sent.end is not End.FAILED:
                continue
            if sent.failure.effective_execution() is codes.Execution.NOT_RUN:
                runs = self.world.record.runs_of_request[sent.request_id]
                assert not runs, f"{sent.request_id} ran: {sent.failure}"

    def check_non_idempotent_at_most_once(self):
        for key, runs in self.world.record.runs_of_key.items():
            assert runs <= 1, f"the request under {key} ran {runs} times"

    def check_leaving_server_gets_no_new_work(self):
        assert not self.late_runs, f"work began on leaving: {self.late_runs}"

    def check_shutdown_cuts_no_request(self):
        for sent in self.sent:
            if not sent.in_drain or sent.caller_left:
                continue
            is_cut = sent.end is End.CUT or (
                sent.end is End.FAILED and sent.failure.code is codes.Code.DRAINING
            )
            assert not is_cut, f"{sent.request_id} was cut by a graceful shutdown"

    def check_accepted_configuration_in_force(self):
        accepted = self.accepted()
        for daemon in self.world.daemons.values():
            assert daemon.revisions == sorted(set(daemon.revisions)), "it reverted"
            current = daemon.holder.current
            if current is not None and current.revision in accepted:
                assert current.data == accepted[current.revision].data
        now_s = self.world.now_s()
        for applied in accepted.values():
            if applied.due_s is None or now_s <= applied.due_s:
                continue
            revision = applied.outcomes[0].revision
            for gateway in self.world.gateways():
                here = gateway.holder.revision()
                due_s = max(applied.due_s, gateway.fresh_s + IN_FORCE_BOUND_S)
                is_late = here < revision and now_s > due_s
                assert not is_late, f"{gateway.vm} is at {here}, not {revision}"

    def accepted(self):
        """Return the accepted applies by revision; no two may share one."""
        accepted = {}
        for applied in self.applied:
            if not applied.outcomes:
                continue
            first = applied.outcomes[0]
            same = all(each == first for each in applied.outcomes)
            assert same, f"{applied.operation} has two outcomes"
            if first.accepted:
                assert first.revision not in accepted, "two won with one base"
                assert first.revision == applied.base_revision + 1
                accepted[first.revision] = applied
        return accepted

    def note_apply(self, applied):
        """Note an apply as sent: it may already be in force, whatever the answer."""
        self.applied.append(applied)
        for server_id in list(self.leaving_due_s):
            if server_id not in applied.leaving:
                del self.leaving_due_s[server_id]

    def note_outcome(self, applied, outcome):
        """Note an acknowledged outcome; the time for it to be in force begins."""
        applied.outcomes.append(outcome)
        if not outcome.accepted or applied.due_s is not None:
            return
        applied.due_s = self.world.now_s() + IN_FORCE_BOUND_S
        unknown = [
            each
            for each in self.applied
            if each.base_revision >= outcome.revision
            and not any(not done.accepted for done in each.outcomes)
        ]
        for server_id in applied.leaving:
            if all(server_id in each.leaving for each in unknown):
                self.leaving_due_s.setdefault(server_id, applied.due_s)

    def note_run(self, server_id, request_id):
        """Note a start; only then is it known which bounds hold."""
        due_s = self.leaving_due_s.get(server_id, math.inf)
        sent = next(each for each in self.sent if each.request_id == request_id)
        due_s = max(due_s, sent.gateway.fresh_s + IN_FORCE_BOUND_S)
        if self.world.now_s() > due_s:
            self.late_runs.append((request_id, server_id))

    def postpone(self):
        """Count the bounds from now on: no majority is whole and connected."""
        now_s = self.world.now_s()
        due_s = now_s + IN_FORCE_BOUND_S
        newest = max(self.accepted(), default=0)
        for applied in self.applied:
            if applied.due_s is not None:
                applied.due_s = max(applied.due_s, due_s)
        for server_id, known_s in self.leaving_due_s.items():
            if known_s > now_s:
                self.leaving_due_s[server_id] = due_s
        for gateway in self.world.gateways():
            if gateway.holder.revision() < newest:
                gateway.fresh_s = now_s

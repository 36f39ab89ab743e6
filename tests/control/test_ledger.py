import msgspec
from hypothesis import settings as hypothesis_settings
from hypothesis import stateful, strategies

from quetzalpass import ids
from quetzalpass.control import ledger
from quetzalpass.control import ledger_messages as messages

STATES = messages.ClaimState
RETENTION_MS = 3_600_000
KEYS = [
    messages.ClaimKey(ids.OrganisationId("org"), ids.IdempotencyKey(name))
    for name in "ab"
]
OUTCOME = messages.Outcome(200, {}, b"done", "digest")


class Sender:
    """A gateway that sends one command at a time."""

    def __init__(self, state, name="entry-1", incarnation=1):
        self.state = state
        self.name = ids.VmId(name)
        self.incarnation = incarnation
        self.uptime_ms = 0

    def send(self, *commands):
        stamp = messages.Stamp(self.name, self.incarnation, self.uptime_ms)
        data = msgspec.msgpack.encode(messages.Batch(stamp, commands))
        answer = self.state.apply(ids.LogIndex(0), data)
        return msgspec.msgpack.decode(answer, type=messages.BatchReply).answers

    def claim(self, token, key=KEYS[0], fingerprint="f", max_claims=100):
        command = messages.ClaimCommand(
            key, fingerprint, token, RETENTION_MS, max_claims
        )
        return self.send(command)[0]

    def record(self, token, outcome=OUTCOME, key=KEYS[0]):
        return self.send(messages.RecordCommand(key, token, outcome))[0]

    def release(self, token, key=KEYS[0]):
        return self.send(messages.ReleaseCommand(key, token))[0]


class TestClaims:
    def test_one_batch_grants_one_of_two_equal_keys(self):
        sender = Sender(ledger.LedgerState())
        commands = [
            messages.ClaimCommand(KEYS[0], "f", token, RETENTION_MS, 9)
            for token in ("t1", "t2")
        ]
        answers = sender.send(*commands)
        assert [each.state for each in answers] == [STATES.GRANTED, STATES.IN_PROGRESS]

    def test_own_token_is_recognised_and_a_released_one_never_granted(self):
        sender = Sender(ledger.LedgerState())
        assert sender.claim("t1").state is STATES.GRANTED
        assert sender.claim("t1").state is STATES.GRANTED
        sender.release("t1")
        assert sender.claim("t1").state is STATES.RELEASED
        assert sender.claim("t2").state is STATES.GRANTED
        sender.release("t1")
        assert sender.claim("t3").state is STATES.IN_PROGRESS

    def test_other_body_is_an_error_and_tells_nothing(self):
        sender = Sender(ledger.LedgerState())
        sender.claim("t1")
        sender.record("t1")
        answer = sender.claim("t2", fingerprint="other")
        assert answer == messages.ClaimReply(STATES.KEY_REUSED)

    def test_full_ledger_refuses_and_forgets_nothing(self):
        sender = Sender(ledger.LedgerState())
        sender.claim("t1", max_claims=1)
        sender.record("t1")
        assert sender.claim("t2", KEYS[1], max_claims=1).state is STATES.FULL
        assert sender.claim("t3").state is STATES.RECORDED


class TestOwners:
    def test_restarted_gateway_leaves_unknown(self):
        state = ledger.LedgerState()
        Sender(state).claim("t1")
        assert Sender(state, incarnation=2).claim("t2").state is STATES.UNKNOWN

    def test_silent_gateway_leaves_unknown_and_may_still_record(self):
        state = ledger.LedgerState()
        first, second = Sender(state), Sender(state, "entry-2")
        first.claim("t1")
        second.uptime_ms = 5
        assert second.claim("t2").state is STATES.IN_PROGRESS
        second.uptime_ms += ledger.OWNER_LEASE_MS + 10
        assert second.claim("t2").state is STATES.UNKNOWN
        first.record("t1")
        assert second.claim("t2").outcome == OUTCOME

    def test_command_of_an_older_incarnation_grants_nothing(self):
        state = ledger.LedgerState()
        old = Sender(state)
        Sender(state, incarnation=2).send(messages.RenewCommand())
        assert old.claim("t1").state is STATES.STALE_OWNER


class TestRetention:
    def test_clock_is_not_moved_by_a_gateway_that_starts(self):
        state = ledger.LedgerState()
        sender = Sender(state)
        sender.claim("t1")
        sender.record("t1")
        jumped = Sender(state, "entry-2")
        jumped.uptime_ms = 10 * RETENTION_MS
        assert jumped.claim("t2").state is STATES.RECORDED
        assert state.clock_ms == 0

    def test_outcome_is_kept_for_the_declared_time_after_it_was_recorded(self):
        state = ledger.LedgerState()
        sender = Sender(state)
        sender.claim("t1")
        sender.uptime_ms = RETENTION_MS - 1
        sender.record("t1")
        sender.uptime_ms += RETENTION_MS - 1
        assert sender.claim("t2").state is STATES.RECORDED
        sender.uptime_ms += 1
        assert sender.claim("t2").state is STATES.GRANTED

    def test_running_call_outlives_the_retention(self):
        sender = Sender(ledger.LedgerState())
        sender.claim("t1")
        sender.uptime_ms = 3 * RETENTION_MS
        assert sender.claim("t2").state is STATES.IN_PROGRESS


class LedgerAgainstOracle(stateful.RuleBasedStateMachine):
    """The oracle: a key is granted again only after its release."""

    def __init__(self):
        super().__init__()
        self.state = ledger.LedgerState()
        self.senders = [Sender(self.state, name) for name in ("entry-1", "entry-2")]
        self.running = {}
        self.tokens = 0

    senders = strategies.integers(0, 1)
    keys = strategies.sampled_from(KEYS)

    @stateful.rule(number=senders, key=keys)
    def claim(self, number, key):
        self.tokens += 1
        token = f"t{self.tokens}"
        answer = self.senders[number].claim(token, key)
        if answer.state is STATES.GRANTED:
            assert key not in self.running
            self.running[key] = (number, token)
        else:
            assert key in self.running

    @stateful.rule(key=keys, known=strategies.booleans())
    def record(self, key, known):
        if key in self.running:
            number, token = self.running[key]
            self.senders[number].record(token, OUTCOME if known else None, key)

    @stateful.rule(key=keys)
    def release(self, key):
        if key in self.running and self.state.claims[key].state is STATES.IN_PROGRESS:
            number, token = self.running.pop(key)
            self.senders[number].release(token, key)

    @stateful.rule(number=senders, time_ms=strategies.integers(1, 60_000))
    def pass_time(self, number, time_ms):
        self.senders[number].uptime_ms += time_ms

    @stateful.rule(number=senders)
    def restart(self, number):
        sender = self.senders[number]
        sender.incarnation += 1
        sender.uptime_ms = 0

    @stateful.rule()
    def restore_snapshot(self):
        data = self.state.snapshot()
        self.state.restore(data)
        assert self.state.snapshot() == data


TestAgainstOracle = LedgerAgainstOracle.TestCase
TestAgainstOracle.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)

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


class FakeGateway:
    """A gateway that sends one command at a time."""

    def __init__(self, state, vm="entry-1", incarnation=1):
        self.state = state
        self.vm = ids.VmId(vm)
        self.incarnation = incarnation
        self.uptime_ms = 0

    def send(self, *commands):
        stamp = messages.Stamp(self.vm, self.incarnation, self.uptime_ms)
        data = msgspec.msgpack.encode(messages.Batch(stamp, commands))
        reply = self.state.apply(ids.LogIndex(0), data)
        return msgspec.msgpack.decode(reply, type=messages.BatchReply).answers

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
    def test_of_two_claims_of_one_key_in_a_batch_one_is_granted(self):
        gateway = FakeGateway(ledger.LedgerState())
        commands = [
            messages.ClaimCommand(KEYS[0], "f", token, RETENTION_MS, 9)
            for token in ("t1", "t2")
        ]
        replies = gateway.send(*commands)
        assert [each.state for each in replies] == [STATES.GRANTED, STATES.IN_PROGRESS]

    def test_a_held_token_is_granted_again_and_a_released_one_never(self):
        gateway = FakeGateway(ledger.LedgerState())
        assert gateway.claim("t1").state is STATES.GRANTED
        assert gateway.claim("t1").state is STATES.GRANTED
        gateway.release("t1")
        assert gateway.claim("t1").state is STATES.RELEASED
        assert gateway.claim("t2").state is STATES.GRANTED
        gateway.release("t1")
        assert gateway.claim("t3").state is STATES.IN_PROGRESS

    def test_another_fingerprint_is_refused_without_the_outcome(self):
        gateway = FakeGateway(ledger.LedgerState())
        gateway.claim("t1")
        gateway.record("t1")
        reply = gateway.claim("t2", fingerprint="other")
        assert reply == messages.ClaimReply(STATES.KEY_REUSED)

    def test_a_full_ledger_refuses_new_claims_and_keeps_old_ones(self):
        gateway = FakeGateway(ledger.LedgerState())
        gateway.claim("t1", max_claims=1)
        gateway.record("t1")
        assert gateway.claim("t2", KEYS[1], max_claims=1).state is STATES.FULL
        assert gateway.claim("t3").state is STATES.RECORDED


class TestOwners:
    def test_claim_of_a_restarted_gateway_becomes_unknown(self):
        state = ledger.LedgerState()
        FakeGateway(state).claim("t1")
        assert FakeGateway(state, incarnation=2).claim("t2").state is STATES.UNKNOWN

    def test_claim_of_a_silent_gateway_becomes_unknown_until_recorded(self):
        state = ledger.LedgerState()
        first, second = FakeGateway(state), FakeGateway(state, "entry-2")
        first.claim("t1")
        second.uptime_ms = 5
        assert second.claim("t2").state is STATES.IN_PROGRESS
        second.uptime_ms += ledger.OWNER_LEASE_MS + 10
        assert second.claim("t2").state is STATES.UNKNOWN
        first.record("t1")
        assert second.claim("t2").outcome == OUTCOME

    def test_an_older_incarnation_is_granted_no_claim(self):
        state = ledger.LedgerState()
        old = FakeGateway(state)
        FakeGateway(state, incarnation=2).send(messages.RenewCommand())
        assert old.claim("t1").state is STATES.STALE_OWNER


class TestRetention:
    def test_the_first_batch_of_a_gateway_does_not_advance_the_clock(self):
        state = ledger.LedgerState()
        gateway = FakeGateway(state)
        gateway.claim("t1")
        gateway.record("t1")
        started = FakeGateway(state, "entry-2")
        started.uptime_ms = 10 * RETENTION_MS
        assert started.claim("t2").state is STATES.RECORDED
        assert state.clock_ms == 0

    def test_an_outcome_is_kept_for_the_retention_after_it_was_recorded(self):
        state = ledger.LedgerState()
        gateway = FakeGateway(state)
        gateway.claim("t1")
        gateway.uptime_ms = RETENTION_MS - 1
        gateway.record("t1")
        gateway.uptime_ms += RETENTION_MS - 1
        assert gateway.claim("t2").state is STATES.RECORDED
        gateway.uptime_ms += 1
        assert gateway.claim("t2").state is STATES.GRANTED

    def test_a_claim_in_progress_outlives_the_retention(self):
        gateway = FakeGateway(ledger.LedgerState())
        gateway.claim("t1")
        gateway.uptime_ms = 3 * RETENTION_MS
        assert gateway.claim("t2").state is STATES.IN_PROGRESS


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Checks that a key is granted again only after its release."""

    def __init__(self):
        super().__init__()
        self.state = ledger.LedgerState()
        self.gateways = [FakeGateway(self.state, vm) for vm in ("entry-1", "entry-2")]
        self.granted = {}
        self.tokens = 0

    gateways = strategies.integers(0, 1)
    keys = strategies.sampled_from(KEYS)

    @stateful.rule(number=gateways, key=keys)
    def claim(self, number, key):
        self.tokens += 1
        token = f"t{self.tokens}"
        reply = self.gateways[number].claim(token, key)
        if reply.state is STATES.GRANTED:
            assert key not in self.granted
            self.granted[key] = (number, token)
        else:
            assert key in self.granted

    @stateful.rule(key=keys, known=strategies.booleans())
    def record(self, key, known):
        if key in self.granted:
            number, token = self.granted[key]
            self.gateways[number].record(token, OUTCOME if known else None, key)

    @stateful.rule(key=keys)
    def release(self, key):
        if key in self.granted and self.state.claims[key].state is STATES.IN_PROGRESS:
            number, token = self.granted.pop(key)
            self.gateways[number].release(token, key)

    @stateful.rule(number=gateways, time_ms=strategies.integers(1, 60_000))
    def pass_time(self, number, time_ms):
        self.gateways[number].uptime_ms += time_ms

    @stateful.rule(number=gateways)
    def restart(self, number):
        gateway = self.gateways[number]
        gateway.incarnation += 1
        gateway.uptime_ms = 0

    @stateful.rule()
    def restore_snapshot(self):
        data = self.state.snapshot()
        self.state.restore(data)
        assert self.state.snapshot() == data


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)

import random

import pytest

from quetzalpass.routing import relay_placement

HERE = "flx-a"
NEED = relay_placement.GenerationNeed(3_000, 900, objective_s=1.8)


def capacity(name, data_centre=HERE, **changes):
    values = {
        "requests": 0,
        "tokens": 0,
        "copy_tokens": 0,
        "slots": 24,
        "memory_tokens": 34_304,
        "prefill_tokens_per_s": 11_000.0,
    }
    return relay_placement.ServerCapacity(name, data_centre, **{**values, **changes})


def choose(capacities, need=NEED, seed=0):
    return relay_placement.choose_engine(need, capacities, HERE, random.Random(seed))


class TestEngines:
    def test_expected_memory_outweighs_the_number_of_requests(self):
        capacities = [
            capacity("few-large", requests=3, tokens=30_000),
            capacity("many-small", requests=6, tokens=9_000),
        ]
        assert choose(capacities) == "many-small"

    def test_a_generation_that_does_not_fit_is_not_placed(self):
        assert choose([capacity("full", requests=8, tokens=34_200)]) is None
        assert choose([capacity("batch", requests=24, tokens=1_000)]) is None

    def test_a_generation_above_the_limit_fits_an_empty_engine(self):
        large = relay_placement.GenerationNeed(33_000, 1_200)
        assert choose([capacity("empty")], large) == "empty"

    def test_backups_reduce_the_memory_for_new_requests(self):
        without_copies = capacity("copies", requests=4, tokens=18_000)
        assert choose([without_copies]) == "copies"
        with_copies = capacity("copies", requests=4, tokens=18_000, copy_tokens=18_000)
        assert choose([with_copies]) is None

    def test_a_burst_does_not_overload_a_new_empty_engine(self):
        """An engine is reclaimed: its replacement is empty, the others half full."""
        capacities = {
            "new": capacity("new"),
            **{name: capacity(name, requests=4, tokens=15_000) for name in "abc"},
        }
        placed = []
        for seed in range(8):
            name = choose(list(capacities.values()), seed=seed)
            placed.append(name)
            old = capacities[name]
            capacities[name] = capacity(
                name,
                requests=old.requests + 1,
                tokens=old.tokens + NEED.tokens,
                prefill_tokens=old.prefill_tokens + NEED.prompt_tokens,
            )
        longest = max(each.prefill_tokens for each in capacities.values())
        assert longest / 11_000.0 < NEED.objective_s
        assert len(set(placed)) > 2

    def test_gateways_with_the_same_reports_choose_different_engines(self):
        capacities = [capacity(name) for name in "abcd"]
        assert len({choose(capacities, seed=seed) for seed in range(20)}) == 4

    def test_an_unreachable_data_centre_is_the_last_choice(self):
        cut_off = capacity("cut-off", "flx-b", is_cut_off=True)
        busy = capacity("busy", requests=5, tokens=20_000)
        assert choose([cut_off, busy]) == "busy"
        assert choose([cut_off]) == "cut-off"

    def test_a_warm_engine_is_preferred_to_an_equal_cold_one(self):
        assert choose([capacity("cold", is_cold=True), capacity("warm")]) == "warm"


class TestBackups:
    def choose(self, capacities, need=NEED):
        return relay_placement.choose_backup(need, capacities, HERE, random.Random(0))

    def test_a_long_generation_gets_a_backup_on_an_empty_engine(self):
        assert self.choose([capacity("a")]) == "a"

    def test_backups_leave_capacity_for_new_requests(self):
        assert self.choose([capacity("a", tokens=15_000)]) is None

    def test_a_short_generation_gets_no_backup(self):
        short = relay_placement.GenerationNeed(500, 12)
        assert self.choose([capacity("a")], short) is None


class TestMoves:
    def choose(self, capacities):
        return relay_placement.choose_move_target(
            NEED, capacities, HERE, random.Random(0)
        )

    def test_engine_in_the_same_data_centre_is_preferred(self):
        capacities = [
            capacity("near", tokens=18_000, requests=4),
            capacity("far", "flx-b"),
        ]
        assert self.choose(capacities) == "near"

    def test_an_engine_too_full_for_new_requests_may_receive_a_copy(self):
        crowded = capacity("crowded", requests=24, tokens=29_500)
        assert choose([crowded]) is None
        assert self.choose([crowded]) == "crowded"

    def test_no_copy_to_an_engine_that_would_preempt_requests(self):
        assert self.choose([capacity("full", requests=9, tokens=33_000)]) is None

    def test_a_distant_engine_with_capacity_is_preferred_to_a_full_local_one(self):
        capacities = [
            capacity("near", requests=9, tokens=33_000),
            capacity("far", "flx-b"),
        ]
        assert self.choose(capacities) == "far"


class TestNeeds:
    def test_a_share_of_the_growth_is_reserved(self):
        assert NEED.prompt_tokens < NEED.tokens < 3_900

    def test_a_generation_beyond_its_estimate_is_expected_to_continue(self):
        over = relay_placement.GenerationNeed(3_000, 900, 1_600, 2_400)
        assert over.tokens > 4_600
        at_its_end = relay_placement.GenerationNeed(3_000, 900, 2_400, 2_400)
        assert at_its_end.tokens == 5_400

    @pytest.mark.parametrize("made", [0, 400, 900, 2_000])
    def test_generated_tokens_count_in_full(self, made):
        need = relay_placement.GenerationNeed(3_000, 900, made)
        assert need.tokens >= 3_000 + made


class TestServices:
    def choose(self, capacities):
        rng = random.Random(0)
        return relay_placement.choose_service_server(capacities, HERE, rng)

    def test_server_with_the_fewest_requests_per_slot_is_chosen(self):
        capacities = [
            capacity("a", requests=2, slots=6),
            capacity("b", requests=3, slots=24),
        ]
        assert self.choose(capacities) == "b"

    def test_local_server_is_preferred_among_equals(self):
        assert self.choose(
            [capacity("far", "flx-b", slots=2), capacity("near", slots=2)]
        ) == ("near")


class TestStreamsOfPlainServices:
    """Servers without a declared memory, which streaming routes may use too."""

    def test_server_with_the_fewest_requests_is_chosen(self):
        capacities = [
            capacity("busy", requests=4, slots=6, memory_tokens=0),
            capacity("idle", slots=6, memory_tokens=0),
        ]
        assert choose(capacities) == "idle"
        assert relay_placement.describe(capacities[0], NEED)

    def test_stream_waits_for_a_slot(self):
        assert choose([capacity("full", requests=6, slots=6, memory_tokens=0)]) is None

    def test_memory_of_the_requests_limits_nothing(self):
        running = capacity("a", requests=1, tokens=9_000_000, memory_tokens=0)
        assert choose([running]) == "a"

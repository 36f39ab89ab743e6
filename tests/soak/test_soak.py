import pytest

from soak import (
    asking,
    brittle,
    crashing,
    crashing_parts,
    cut_off,
    disks,
    endless,
    limits,
    odd_values,
    soak,
    stops,
)

SECONDS = 5
CRASHING_SECONDS = 12
CRASHING_PARTS_SECONDS = 14
LIMITED_SECONDS = 10
CUT_OFF_SECONDS = 8
BRITTLE_SECONDS = 8
ASKING_SECONDS = 8
STOPS_SECONDS = 1
ODD_VALUES_SECONDS = 4
DISKS_SECONDS = 8
ENDLESS_SECONDS = 8
# No seed has failed yet. Add each one that does, with its cause.
SEEDS = (1,)


@pytest.mark.long
class TestSoak:
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_the_invariants_hold(self, tmp_path, seed):
        done = await soak.run_seed(seed, SECONDS, tmp_path)
        assert done.faults
        assert done.acked

    # Seed 33: a crash closes a call without framing in an orderly way.
    @pytest.mark.parametrize("seed", [13, 33])
    async def test_a_crashing_request_is_refused_by_all_gateways(self, tmp_path, seed):
        done = await crashing.run_seed(seed, CRASHING_SECONDS, tmp_path)
        assert done.crash_times_s

    async def test_a_crashing_part_is_refused_and_sound_prompts_served(self, tmp_path):
        done = await crashing_parts.run_seed(2, CRASHING_PARTS_SECONDS, tmp_path)
        assert done.crash_times_s

    async def test_replicas_get_no_more_than_the_limit_that_they_name(self, tmp_path):
        await limits.run_seed(2, LIMITED_SECONDS, tmp_path)

    @pytest.mark.parametrize("seed", [1, 2, 3])
    async def test_gateways_that_reach_no_replica_serve_their_callers(
        self, tmp_path, seed
    ):
        await cut_off.run_seed(seed, CUT_OFF_SECONDS, tmp_path)

    @pytest.mark.parametrize("seed", [1, 2, 3])
    async def test_brittle_replicas_are_not_felled(self, tmp_path, seed):
        await brittle.run_seed(seed, BRITTLE_SECONDS, tmp_path)

    async def test_replicas_that_ask_for_rest_get_it(self, tmp_path):
        await asking.run_seed(2, ASKING_SECONDS, tmp_path)

    # Seed 6: one of four stops while another reaches no server. Seed 25: two of three.
    @pytest.mark.parametrize("seed", [6, 25])
    async def test_planned_stops_lose_no_request(self, tmp_path, seed):
        done = await stops.run_seed(seed, STOPS_SECONDS, tmp_path)
        assert done.stops

    async def test_odd_values_of_others_are_left_out(self, tmp_path):
        await odd_values.run_seed(2, ODD_VALUES_SECONDS, tmp_path)

    # Seed 1: a snapshot that the disk refused ended the replica. Seed 2: a full disk
    # kept no room for the snapshot that frees some. Seed 3: processes ended at a start.
    @pytest.mark.parametrize("seed", [1, 2, 3])
    async def test_control_nodes_outlive_failing_disks(self, tmp_path, seed):
        done = await disks.run_seed(seed, DISKS_SECONDS, tmp_path)
        assert done.faults

    # Seed 1: all responses together had no limit. Seed 3: nor had events in part.
    @pytest.mark.parametrize("seed", [1, 3])
    async def test_memory_is_bounded_while_replicas_send_without_end(
        self, tmp_path, seed
    ):
        await endless.run_seed(seed, ENDLESS_SECONDS, tmp_path)

import pytest

from soak import soak

SECONDS = 5
# No seed has failed yet. Add each one that does, with its cause.
SEEDS = (1,)


@pytest.mark.long
class TestSoak:
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_the_invariants_hold(self, tmp_path, seed):
        done = await soak.run_seed(seed, SECONDS, tmp_path)
        assert done.faults
        assert done.acked

import pytest

from soak import soak
from upgrades import builds, upgrade_run


@pytest.mark.long
class TestUpgrade:
    async def test_old_machines_are_replaced_by_new_ones(self, tmp_path, old_checkout):
        run = upgrade_run.UpgradeRun(
            1, tmp_path, old_checkout, builds.ROOT, judged=builds.ROOT
        )
        await soak.run_to_end(run, 0)

    async def test_new_machines_are_replaced_by_old_ones(self, tmp_path, old_checkout):
        run = upgrade_run.UpgradeRun(
            2, tmp_path, builds.ROOT, old_checkout, judged=builds.ROOT
        )
        await soak.run_to_end(run, 0)

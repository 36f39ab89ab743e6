import json
import os
import pathlib
import subprocess
import sys

import pytest

from upgrades import builds, folders

SCRIPT = pathlib.Path(__file__).with_name("folders.py")


def extend_with(checkout, folder, seed, *more):
    """Let a build open a folder and append to it."""
    done = subprocess.run(
        [sys.executable, str(SCRIPT), "extend", str(folder), str(seed), *more],
        env={**os.environ, "PYTHONPATH": str(checkout / "src")},
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)


class TestDataFolders:
    @pytest.mark.parametrize("first_is_old", [True, False])
    def test_builds_read_what_the_other_one_wrote(
        self, tmp_path, old_checkout, first_is_old
    ):
        both = [old_checkout, builds.ROOT]
        order = (both if first_is_old else both[::-1]) * 2
        left = None
        for seed, checkout in enumerate(order):
            outcome = extend_with(checkout, tmp_path, seed)
            assert left is None or outcome["found"] == left, (seed, checkout)
            left = outcome["left"]
            assert left["last_index"] == (seed + 1) * folders.ENTRY_COUNT
            assert left["term"] == seed + 1

    def test_the_version_before_reads_a_folder_with_a_reserve(
        self, tmp_path, old_checkout
    ):
        ours = extend_with(builds.ROOT, tmp_path, 1)
        assert "reserve" in ours["names"]
        assert extend_with(old_checkout, tmp_path, 2)["found"] == ours["left"]

    def test_the_version_before_reads_a_folder_whose_disk_refused_a_write(
        self, tmp_path, old_checkout
    ):
        ours = extend_with(builds.ROOT, tmp_path, 1, "refused")
        assert ours["waited"], "the disk refused nothing"
        assert extend_with(old_checkout, tmp_path, 2)["found"] == ours["left"]

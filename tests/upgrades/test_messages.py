import os
import pathlib
import subprocess
import sys

from upgrades import samples

FOLDER = pathlib.Path(__file__).parent


def is_contained(old, new):
    """Return whether new content has all fields and elements of the old, unchanged."""
    if isinstance(old, dict) and isinstance(new, dict):
        return all(k in new and is_contained(old[k], new[k]) for k in old)
    if isinstance(old, list) and isinstance(new, list):
        # Fields of records that are stored as lists are added at the end.
        return len(old) <= len(new) and all(map(is_contained, old, new))
    return old == new


def decode_with(checkout, lines):
    """Return what another build makes of samples."""
    done = subprocess.run(
        [sys.executable, str(FOLDER / "samples.py"), "decode"],
        env={**os.environ, "PYTHONPATH": str(checkout / "src")},
        input="\n".join(lines),
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout.splitlines()


class TestVersionBefore:
    def test_its_messages_and_records_are_understood(self):
        for line in (FOLDER / "golden.jsonl").read_text().splitlines():
            name, data = samples.from_line(line)
            new = samples.understood(name, data)
            assert new is not None, f"{name} is gone"
            old_content = samples.content(name, data)
            new_content = samples.content(name, new)
            assert is_contained(old_content, new_content), (name, old_content)

    def test_it_understands_our_messages_and_records(self, old_checkout):
        ours = samples.all_samples()
        lines = decode_with(old_checkout, [samples.to_line(*each) for each in ours])
        for (name, data), line in zip(ours, lines, strict=True):
            _, old = samples.from_line(line)
            # A kind of message that it doesn't know is refused there as not found.
            if old is not None:
                old_content = samples.content(name, old)
                new_content = samples.content(name, data)
                assert is_contained(old_content, new_content), (name, old_content)

    def test_the_golden_samples_are_those_of_its_sources(self, old_checkout):
        done = subprocess.run(
            [sys.executable, str(FOLDER / "samples.py"), "make"],
            env={**os.environ, "PYTHONPATH": str(old_checkout / "src")},
            capture_output=True,
            text=True,
            check=True,
        )
        assert done.stdout == (FOLDER / "golden.jsonl").read_text()

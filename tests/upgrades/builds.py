"""The version before, taken from the project's own history."""

import pathlib
import subprocess

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The version that runs in production when an upgrade begins.
OLD_COMMIT = "5cd4451"


def extract_old(folder):
    """Write the sources of the version before to a folder.

    Returns
    -------
    pathlib.Path or None
        The folder, or None if the history has no such commit.
    """
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", OLD_COMMIT, "src", "platform"],
        capture_output=True,
        check=False,
    )
    if archive.returncode != 0:
        return None
    folder.mkdir(parents=True, exist_ok=True)
    subprocess.run(["tar", "x", "-C", str(folder)], input=archive.stdout, check=True)
    return folder

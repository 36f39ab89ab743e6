"""Offline, read-only check of a data folder."""

import pathlib

import msgspec
from returns import result

from quetzalpass.results import codes, failures
from quetzalpass.storage import disk as disks
from quetzalpass.storage import recovery, snapshots


class LogReport(msgspec.Struct, frozen=True):
    """Result of the check for the folder of one log.

    Attributes
    ----------
    folder : str
        Path of the folder, relative to the data folder.
    segment_count : int
        Number of valid segments.
    record_count : int
        Number of valid records in them.
    torn_bytes : int
        Bytes that a start would truncate at the end.
    snapshot_index : int or None
        Last log index that the newest snapshot covers.
    failure : failures.Failure or None
        Damage that would prevent a start.
    """

    folder: str
    segment_count: int = 0
    record_count: int = 0
    torn_bytes: int = 0
    snapshot_index: int | None = None
    failure: failures.Failure | None = None


class FolderReport(msgspec.Struct, frozen=True):
    """Result of the check for a data folder.

    Attributes
    ----------
    logs : list of LogReport
        One for each folder that holds a log.
    is_sound : bool
        Whether a replica would start on the folder.
    """

    logs: list[LogReport]
    is_sound: bool


def verify_folder(
    path: pathlib.Path,
) -> result.Result[FolderReport, failures.Failure]:
    """Check every log and snapshot under a data folder.

    Parameters
    ----------
    path : pathlib.Path
        The data folder; no process may be writing to it.

    Returns
    -------
    returns.result.Result
        The report, or ``STORAGE_FAILED`` if the folder can't be read.
    """
    if not path.is_dir():
        message = f"There is no folder {path}; specify the data folder of a replica."
        return result.Failure(failures.Failure(codes.Code.STORAGE_FAILED, message))
    folders = [path, *sorted(item for item in path.rglob("*") if item.is_dir())]
    try:
        logs = [verify_log(path, item) for item in folders if holds_log(item)]
    except OSError as error:
        message = f"The folder {path} can't be read: {error}."
        return result.Failure(failures.Failure(codes.Code.STORAGE_FAILED, message))
    is_sound = all(report.failure is None for report in logs)
    return result.Success(FolderReport(logs, is_sound))


def holds_log(path: pathlib.Path) -> bool:
    """Return whether a folder holds segments or snapshots."""
    names = disks.FolderDisk(path).names()
    prefixes = (recovery.SEGMENT_PREFIX, snapshots.SNAPSHOT_PREFIX)
    return any(name.startswith(prefixes) for name in names)


def verify_log(root: pathlib.Path, path: pathlib.Path) -> LogReport:
    """Check the log in one folder."""
    disk = disks.FolderDisk(path)
    folder = str(path.relative_to(root))
    found = recovery.read_segments(disk, lambda record: None)
    newest = snapshots.read_newest(disk)
    for outcome in (found, newest):
        if isinstance(outcome, result.Failure):
            return LogReport(folder, failure=outcome.failure())
    recovered = found.unwrap()
    snapshot = newest.unwrap()
    return LogReport(
        folder,
        len(recovered.segments),
        recovered.record_count,
        recovered.torn_bytes,
        snapshot.index if snapshot else None,
    )

"""The command ``logs``: log lines of one request from several files, by time."""

import pathlib

import msgspec

from quetzalpass.cli import exits, output
from quetzalpass.results import codes, failures


class LogEntry(msgspec.Struct, frozen=True):
    """One log line that belongs to a request.

    Attributes
    ----------
    time : str
        UTC time in ISO 8601; the sort key.
    file : str
        Name of the log file.
    text : str
        The JSON object of the line.
    """

    time: str
    file: str
    text: str


class FoundLines(msgspec.Struct, frozen=True):
    """Outcome of ``logs``."""

    request: str
    lines: tuple[LogEntry, ...]


class LineHead(msgspec.Struct, frozen=True):
    """The fields of a log line that are decoded; others are ignored."""

    time: str
    request: str = ""


def logs(request: str, *files: str, json: bool = False) -> int:
    """Print the log lines of one request in order of time.

    Parameters
    ----------
    request : str
        Id of the request.
    files : str
        Log files with JSON lines, one file per process.
    json : bool
        Print one JSON object.
    """
    found: list[LogEntry] = []
    for file in files:
        try:
            found += find_lines(pathlib.Path(file), request)
        except OSError as error:
            failure = failures.Failure(codes.Code.BAD_SETTINGS, f"{error}")
            return output.print_failure(failure, json)
    found.sort(key=entry_time)
    texts = [output.printable(f"{entry.file}: {entry.text}") for entry in found]
    if not texts:
        texts = [
            f"no line of request {output.printable(request)} in {len(files)} files"
        ]
    output.print_result(FoundLines(request, tuple(found)), texts, json)
    return exits.Exit.OK if found else exits.Exit.FAILED


def find_lines(path: pathlib.Path, request: str) -> list[LogEntry]:
    """Return the lines of a file that belong to a request.

    Text before the JSON object, such as a prefix that a platform adds, is dropped.
    """
    found = []
    with path.open(encoding="utf-8", errors="replace") as lines:
        for line in lines:
            if request not in line:
                continue
            text = line[line.find("{") :].strip()
            head = parse_line_head(text)
            if head is not None and head.request == request:
                found.append(LogEntry(head.time, path.name, text))
    return found


def parse_line_head(text: str) -> LineHead | None:
    """Decode the fields of interest; return ``None`` if it is no JSON log line."""
    try:
        return msgspec.json.decode(text, type=LineHead)
    except msgspec.MsgspecError:
        return None


def entry_time(entry: LogEntry) -> str:
    """Return the sort key of a line."""
    return entry.time

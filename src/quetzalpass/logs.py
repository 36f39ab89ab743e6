"""Log handlers for text or JSON lines, with untrusted characters escaped."""

import datetime
import sys
from typing import TextIO

import logbook
import msgspec

from quetzalpass import escaping, event_log
from quetzalpass.settings import schema

MAX_MESSAGE_LENGTH = 8_192
TRUNCATION_MARK = "..."


class Line(msgspec.Struct, frozen=True, omit_defaults=True):
    """One log line in JSON.

    Attributes
    ----------
    time : str
        UTC time in ISO 8601.
    level : str
        Level in lower case.
    part : str
        Part of the program that logs.
    message : str
        Log message.
    exception : str or None
        Traceback, if one was logged.
    """

    time: str
    level: str
    part: str
    message: str
    exception: str | None = None


class LineHandler(logbook.StreamHandler):
    """Writes each record as one line; tracebacks in text form take further lines.

    Control characters and line ends in a message are escaped: untrusted names and
    headers could otherwise forge log lines or control a terminal.

    Parameters
    ----------
    stream : TextIO
        Output stream.
    log_format : LogFormat
        Text or JSON.
    level : int
        Lowest level that is written.
    """

    def __init__(
        self,
        stream: TextIO,
        log_format: schema.LogFormat,
        level: int = logbook.INFO,
    ) -> None:
        super().__init__(stream, level=level)
        self.log_format = log_format

    def format(self, record: logbook.LogRecord) -> str:
        """Format a record as text or JSON."""
        line = make_line(record)
        if self.log_format is schema.LogFormat.JSON:
            return msgspec.json.encode(line).decode()
        return format_text(line)


def make_line(record: logbook.LogRecord) -> Line:
    """Convert a record to a line."""
    # logbook's record time has no time zone: its zone is a global setting of logbook.
    time = datetime.datetime.now(datetime.UTC)
    return Line(
        time=time.isoformat(timespec="milliseconds"),
        level=record.level_name.lower(),
        part=record.channel or "",
        message=sanitize_message(record.message),
        exception=sanitize_traceback(record.formatted_exception),
    )


def format_text(line: Line) -> str:
    """Format a line as text."""
    text = f"{line.time} {line.level.upper()} {line.message}"
    if line.exception is None:
        return text
    return "\n    ".join([text, *line.exception.split("\n")])


def sanitize_traceback(text: str | None) -> str | None:
    """Sanitize each line of a traceback; the line ends are kept."""
    if text is None:
        return None
    return "\n".join(sanitize_message(frame) for frame in text.splitlines())


def sanitize_message(message: str) -> str:
    """Return a message with control characters escaped and its length limited."""
    if len(message) > MAX_MESSAGE_LENGTH:
        message = message[:MAX_MESSAGE_LENGTH] + TRUNCATION_MARK
    return escaping.escape_control_characters(message)


def make_handler(
    log_format: schema.LogFormat, stream: TextIO | None = None
) -> LineHandler:
    """Make the log handler of a program.

    Parameters
    ----------
    log_format : LogFormat
        Text or JSON.
    stream : TextIO or None
        Output stream; standard error if not given.

    Returns
    -------
    LineHandler
        To be used as ``with logs.make_handler(...).applicationbound():``.
    """
    return LineHandler(stream or sys.stderr, log_format)


class LogLine(event_log.Event, frozen=True, tag="log"):
    """Untyped log message, as an event.

    Attributes
    ----------
    part : str
        Part of the program that logs.
    message : str
        Log message.
    exception : str or None
        Traceback, if one was logged.
    """

    part: str
    message: str
    exception: str | None = None


class EventLogHandler(logbook.Handler):
    """Writes log records to the event log of the process."""

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record; see the base class."""
        level = event_log.Level.ROUTINE
        if record.level >= logbook.WARNING:
            level = event_log.Level.NOTICE
        line = LogLine(
            record.channel or "",
            sanitize_message(record.message),
            sanitize_traceback(record.formatted_exception),
        )
        event_log.record(line, level)

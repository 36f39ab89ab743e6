"""Set-up of log output: text or JSON lines, safe against characters from outside."""

import datetime
import sys
from typing import TextIO

import logbook
import msgspec

from quetzalpass import escaping, event_log
from quetzalpass.settings import schema

MAX_MESSAGE_LENGTH = 8_192
CUT_MARK = "..."


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
        The sentence.
    exception : str or None
        Traceback, if one was logged.
    """

    time: str
    level: str
    part: str
    message: str
    exception: str | None = None


class LineHandler(logbook.StreamHandler):
    """Writes one line for each record.

    Control characters and line ends in a message are escaped: names and headers from
    outside could otherwise forge lines or steer a terminal.

    Parameters
    ----------
    stream : TextIO
        Where to write.
    log_format : LogFormat
        How to write.
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
        """Return the line of a record."""
        line = line_of(record)
        if self.log_format is schema.LogFormat.JSON:
            return msgspec.json.encode(line).decode()
        return text_of(line)


def line_of(record: logbook.LogRecord) -> Line:
    """Return the fields of a record."""
    # The time of the record is naive and its zone a global setting of logbook.
    time = datetime.datetime.now(datetime.UTC)
    return Line(
        time=time.isoformat(timespec="milliseconds"),
        level=record.level_name.lower(),
        part=record.channel or "",
        message=shortened(record.message),
        exception=safe_traceback(record.formatted_exception),
    )


def text_of(line: Line) -> str:
    """Return the text form of a line."""
    text = f"{line.time} {line.level.upper()} {line.message}"
    if line.exception is None:
        return text
    return "\n    ".join([text, *line.exception.split("\n")])


def safe_traceback(text: str | None) -> str | None:
    """Return a traceback whose lines are safe; the line ends stay."""
    if text is None:
        return None
    return "\n".join(shortened(frame) for frame in text.splitlines())


def shortened(message: str) -> str:
    """Return a message without control characters, cut where it is very long."""
    if len(message) > MAX_MESSAGE_LENGTH:
        message = message[:MAX_MESSAGE_LENGTH] + CUT_MARK
    return escaping.escape_control_characters(message)


def make_handler(
    log_format: schema.LogFormat, stream: TextIO | None = None
) -> LineHandler:
    """Return the handler of a program.

    Parameters
    ----------
    log_format : LogFormat
        Text or JSON.
    stream : TextIO or None
        Where to write; standard error if not given.

    Returns
    -------
    LineHandler
        To be used as ``with logs.make_handler(...).applicationbound():``.
    """
    return LineHandler(stream or sys.stderr, log_format)


class LogLine(event_log.Event, frozen=True, tag="log"):
    """A sentence of a part of the program, among the typed events.

    Attributes
    ----------
    part : str
        Part of the program that logs.
    message : str
        The sentence.
    exception : str or None
        Traceback, if one was logged.
    """

    part: str
    message: str
    exception: str | None = None


class EventLogHandler(logbook.Handler):
    """Puts log records into the event log of the process."""

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue one record."""
        level = event_log.Level.ROUTINE
        if record.level >= logbook.WARNING:
            level = event_log.Level.NOTICE
        line = LogLine(
            record.channel or "",
            shortened(record.message),
            safe_traceback(record.formatted_exception),
        )
        event_log.record(line, level)

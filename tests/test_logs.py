import io

import logbook
import msgspec
import pytest

from quetzalpass import logs
from quetzalpass.settings import schema

LOG = logbook.Logger("callers")


def log_output(log_format, write):
    stream = io.StringIO()
    with logs.make_handler(log_format, stream).applicationbound():
        write()
    return stream.getvalue()


def log_failure():
    try:
        raise ValueError("bad\nname")
    except ValueError:
        LOG.exception("callers: It failed.")


class TestLines:
    @pytest.mark.parametrize("log_format", schema.LogFormat)
    def test_untrusted_names_cannot_forge_lines(self, log_format):
        name = "x\n2026 ERROR forged\x1b[31m\u2028"
        text = log_output(log_format, lambda: LOG.info("callers: No model {}.", name))
        assert text.count("\n") == 1
        assert "\x1b" not in text
        assert "\u2028" not in text

    def test_json_lines_have_typed_fields(self):
        text = log_output(schema.LogFormat.JSON, lambda: LOG.warning("callers: Slow."))
        line = msgspec.json.decode(text, type=logs.Line)
        assert (line.level, line.part) == ("warning", "callers")
        assert line.message == "callers: Slow."

    def test_traceback_is_part_of_one_json_line(self):
        text = log_output(schema.LogFormat.JSON, log_failure)
        assert text.count("\n") == 1
        assert "ValueError" in msgspec.json.decode(text, type=logs.Line).exception

    def test_traceback_is_indented_in_text(self):
        first, *frames = log_output(schema.LogFormat.TEXT, log_failure).splitlines()
        assert "ERROR callers: It failed." in first
        assert all(frame.startswith("    ") for frame in frames)

    def test_very_long_messages_are_truncated(self):
        text = log_output(schema.LogFormat.TEXT, lambda: LOG.info("x" * 100_000))
        assert len(text) < 2 * logs.MAX_MESSAGE_LENGTH

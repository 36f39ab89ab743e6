import json
import os

import pytest

from quetzalpass import event_log


class Sample(event_log.Event, frozen=True, tag="sample"):
    text: str


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def lines_of(data):
    return [json.loads(line) for line in data.splitlines()]


class TestEventLog:
    def test_an_event_is_one_json_line_with_time_and_level(self, pipe):
        reader, writer = pipe
        log = event_log.EventLog(writer)
        log.record(Sample("a\nb"), event_log.Level.NOTICE)
        log.flush()
        (line,) = lines_of(os.read(reader, 10_000))
        assert line["event"] == "sample"
        assert line["text"] == "a\nb"
        assert line["level"] == "warning"
        assert line["time"].endswith("+00:00")

    def test_it_never_blocks_and_says_what_was_left_out(self, pipe):
        reader, writer = pipe
        log = event_log.EventLog(writer)
        for number in range(20_000):
            log.record(Sample(f"{number} " + "x" * 100), event_log.Level.ROUTINE)
            if number % 100 == 0:
                log.flush()
        assert len(log.lines) <= event_log.QUEUE_LINES
        data = b""
        for _ in range(200):
            log.flush()
            try:
                data += os.read(reader, 1_000_000)
            except BlockingIOError:
                break
        found = lines_of(data)
        texts = [line["text"] for line in found if line["event"] == "sample"]
        left_out = sum(line["lines"] for line in found if line["event"] == "left_out")
        assert left_out + len(texts) == 20_000

    def test_notices_find_room_when_routine_lines_do_not(self, pipe):
        log = event_log.EventLog(pipe[1])
        for _ in range(10_000):
            log.record(Sample("routine"), event_log.Level.ROUTINE)
        log.record(Sample("notice"), event_log.Level.NOTICE)
        assert b"notice" in log.lines[-1]

    def test_without_a_log_nothing_happens(self):
        event_log.EventLog.current = None
        event_log.record(Sample("x"))

    def test_text_from_outside_is_made_safe(self):
        assert "\n" not in event_log.sanitize("a\nb")
        assert len(event_log.sanitize("x" * 100_000)) < 3_000

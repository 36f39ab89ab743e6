import asyncio
import errno
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


def decode_lines(data):
    return [json.loads(line) for line in data.splitlines()]


class TestEventLog:
    def test_event_is_one_json_line_with_time_and_level(self, pipe):
        reader, writer = pipe
        log = event_log.EventLog(writer)
        log.record(Sample("a\nb"), event_log.Level.NOTICE)
        log.flush()
        (line,) = decode_lines(os.read(reader, 10_000))
        assert line["event"] == "sample"
        assert line["text"] == "a\nb"
        assert line["level"] == "warning"
        assert line["time"].endswith("+00:00")

    def test_full_queue_does_not_block_and_drops_are_reported(self, pipe):
        reader, writer = pipe
        log = event_log.EventLog(writer)
        for number in range(20_000):
            log.record(Sample(f"{number} " + "x" * 100), event_log.Level.ROUTINE)
            if number % 100 == 0:
                log.flush()
        assert len(log.lines) <= event_log.MAX_LINES
        data = b""
        for _ in range(200):
            log.flush()
            try:
                data += os.read(reader, 1_000_000)
            except BlockingIOError:
                break
        written_lines = decode_lines(data)
        texts = [line["text"] for line in written_lines if line["event"] == "sample"]
        dropped = sum(
            line["lines"] for line in written_lines if line["event"] == "left_out"
        )
        assert dropped + len(texts) == 20_000

    def test_notices_are_queued_when_routine_events_are_dropped(self, pipe):
        log = event_log.EventLog(pipe[1])
        for _ in range(10_000):
            log.record(Sample("routine"), event_log.Level.ROUTINE)
        log.record(Sample("notice"), event_log.Level.NOTICE)
        assert b"notice" in log.lines[-1]

    def test_recording_without_an_open_log_does_nothing(self):
        event_log.EventLog.current = None
        event_log.record(Sample("x"))

    def test_untrusted_text_is_escaped_and_truncated(self):
        assert "\n" not in event_log.sanitize("a\nb")
        assert len(event_log.sanitize("x" * 100_000)) < 3_000


class FailingWrite:
    """Stands in for ``os.write``: fails while ``error`` is set, and counts attempts."""

    def __init__(self, error):
        self.error = error
        self.write = os.write
        self.attempts = 0

    def __call__(self, descriptor, data):
        self.attempts += 1
        if self.error is not None:
            raise self.error
        return self.write(descriptor, data)


@pytest.mark.looptime
class TestFailedWrites:
    @pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EPIPE])
    async def test_lines_are_written_once_the_descriptor_takes_bytes_again(
        self, pipe, monkeypatch, number
    ):
        reader, writer = pipe
        failing = FailingWrite(OSError(number, os.strerror(number)))
        monkeypatch.setattr(os, "write", failing)
        log = event_log.EventLog(writer)
        running = asyncio.create_task(log.run())
        log.record(Sample("first"), event_log.Level.NOTICE)
        await asyncio.sleep(5)
        log.record(Sample("second"), event_log.Level.NOTICE)
        await asyncio.sleep(1)
        failing.error = None
        await asyncio.sleep(1)
        running.cancel()
        lines = decode_lines(os.read(reader, 10_000))
        texts = [line["text"] for line in lines if line["event"] == "sample"]
        assert texts == ["first", "second"]

    def test_the_last_flush_of_a_process_does_not_fail(self, pipe, monkeypatch):
        monkeypatch.setattr(os, "write", FailingWrite(OSError(errno.ENOSPC, "full")))
        log = event_log.EventLog(pipe[1])
        log.record(Sample("last"), event_log.Level.NOTICE)
        log.flush()
        assert log.failed_writes == 1

    async def test_memory_is_bounded_while_nothing_can_be_written(
        self, pipe, monkeypatch
    ):
        monkeypatch.setattr(os, "write", FailingWrite(OSError(errno.ENOSPC, "full")))
        log = event_log.EventLog(pipe[1])
        running = asyncio.create_task(log.run())
        for _ in range(100):
            for _ in range(200):
                log.record(Sample("x" * 100), event_log.Level.NOTICE)
            await asyncio.sleep(0.2)
        running.cancel()
        assert len(log.lines) <= event_log.MAX_LINES
        assert len(log.unwritten) <= 2 * event_log.WRITE_BLOCK_BYTES

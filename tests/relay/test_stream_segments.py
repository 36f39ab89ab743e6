"""Events that arrive in part, in many streams at once."""

import pytest

from quetzalpass.backends import held_bytes, relays
from quetzalpass.relay import stream_failures, stream_segments

BLOCK = b"data: " + b"x" * 500_000


class FakeServerResponse(relays.RelayResponse):
    def __init__(self):
        self.head = relays.ResponseHead(200, ())
        self.is_closed = False

    async def read_body(self):
        raise NotImplementedError

    async def next_chunk(self):
        raise NotImplementedError

    def close(self):
        self.is_closed = True


@pytest.fixture
def segments(monkeypatch):
    budget = held_bytes.HeldBytes(4 * 1024 * 1024, held_bytes.SMALL_RESPONSE_BYTES)
    monkeypatch.setattr(held_bytes, "RESPONSES", budget)
    return [
        stream_segments.StreamSegment(None, FakeServerResponse(), None)
        for _ in range(20)
    ]


class TestEventsWithoutEnd:
    def test_an_event_above_its_own_limit_ends_the_stream(self, segments):
        with pytest.raises(stream_failures.StreamFailedError):
            for _ in range(4):
                segments[0].split(BLOCK)

    def test_many_at_once_are_given_up_beyond_the_limit_of_all(self, segments):
        """All streams together had no limit: 1 MiB for each."""
        given_up = 0
        for each in segments:
            try:
                each.split(BLOCK)
            except stream_failures.StreamFailedError:
                given_up += 1
        held = held_bytes.RESPONSES.total
        assert held <= held_bytes.RESPONSES.limit_bytes
        closed = sum(each.server_response.is_closed for each in segments)
        assert closed >= 11
        assert given_up <= closed

    def test_events_that_are_whole_take_no_room(self, segments):
        for each in segments:
            each.split(BLOCK + b"\n\n")
        assert held_bytes.RESPONSES.total == 0

"""Reader of the relay benchmark: opens streams and records when tokens arrive.

Prints ``begin`` and ``end`` around the measured window, then one JSON object.
"""

import asyncio
import gc
import re
import sys
import time

import msgspec

TOKEN = re.compile(rb"(\d+)\.(\d{9,}) ")
OPENED_STREAMS_PER_S = 600
SETTLE_S = 1.0
OPEN_TIMEOUT_S = 10.0
MAX_EARLY_BYTES = 400
NS_PER_MS = 1e6


class ReaderReport(msgspec.Struct, frozen=True):
    """Figures of the reader in the measured window.

    Attributes
    ----------
    tokens : int
        Number of tokens that arrived.
    window_s : float
        Length of the window.
    wrong : int
        Number of tokens with an unexpected offset, plus streams that ended.
    p50_ms, p99_ms, p999_ms : float
        Quantiles of the time that the relay added to the gaps between tokens.
    cpu_s : float
        CPU time of the reader itself.
    """

    tokens: int
    window_s: float
    wrong: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    cpu_s: float


class Window:
    """Measurements between ``begin`` and ``end``."""

    def __init__(self) -> None:
        self.open = False
        self.added_ns: list[int] = []
        self.wrong = 0


class CallerStream(asyncio.Protocol):
    """One caller's connection.

    Attributes
    ----------
    next_offset : int
        Expected offset of the next token.
    early_data : bytes
        Start of the data received before the first token, for error messages.
    arrived_ns, sent_ns : int
        Times when the latest token arrived here and when the source sent it.
    """

    def __init__(self, request: bytes, window: Window) -> None:
        self.request = request
        self.window = window
        self.partial_line = b""
        self.early_data = b""
        self.next_offset = 0
        self.arrived_ns = 0
        self.sent_ns = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        """Record the tokens that arrived."""
        now_ns = time.monotonic_ns()
        if not self.next_offset:
            self.early_data = data[:MAX_EARLY_BYTES]
        data = self.partial_line + data
        end = data.rfind(b"\n") + 1
        self.partial_line = data[end:]
        for number, sent in TOKEN.findall(data, 0, end):
            self.record_token(int(number), int(sent), now_ns)

    def record_token(self, number: int, sent_ns: int, now_ns: int) -> None:
        """Record one token and the time that the relay added to the gap before it."""
        if number != self.next_offset:
            self.window.wrong += 1
        if self.window.open and self.arrived_ns:
            gap_ns = now_ns - self.arrived_ns
            self.window.added_ns.append(gap_ns - (sent_ns - self.sent_ns))
        self.next_offset = number + 1
        self.arrived_ns = now_ns
        self.sent_ns = sent_ns

    def connection_lost(self, exc: Exception | None) -> None:
        """Count a stream that ended, since streams should stay open."""
        self.window.wrong += 1


def request_bytes(key: str) -> bytes:
    """Return the encoded HTTP request that opens a stream."""
    body = b'{"model":"bench-llm","prompt":"p","max_tokens":100000,"stream":true}'
    return (
        b"POST /v1/completions HTTP/1.1\r\nHost: relay\r\n"
        b"Authorization: Bearer " + key.encode() + b"\r\n"
        b"Content-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body)
    ) + body


def quantile_ms(ordered: list[int], share: float) -> float:
    """Return a quantile of sorted nanosecond values, in milliseconds."""
    if not ordered:
        return 0.0
    position = min(len(ordered) - 1, int(len(ordered) * share))
    return ordered[position] / NS_PER_MS


async def read(
    host: str, port: int, key: str, streams: int, window_s: float
) -> ReaderReport:
    """Open all streams, wait for the first token of each, and measure."""
    loop = asyncio.get_running_loop()
    window = Window()
    request = request_bytes(key)
    callers: list[CallerStream] = []
    for _ in range(streams):
        caller = CallerStream(request, window)
        await loop.create_connection(lambda protocol=caller: protocol, host, port)
        callers.append(caller)
        await asyncio.sleep(1 / OPENED_STREAMS_PER_S)
    opened_s = loop.time()
    while waiting := [each for each in callers if not each.next_offset]:
        if loop.time() > opened_s + OPEN_TIMEOUT_S:
            print(f"{len(waiting)} streams have no token: {waiting[0].early_data!r}")
            raise TimeoutError("some streams deliver no tokens")
        await asyncio.sleep(0.05)
    await asyncio.sleep(SETTLE_S)
    gc.freeze()
    print("begin", flush=True)
    cpu_s = time.process_time()
    begin_s = loop.time()
    window.open = True
    await asyncio.sleep(window_s)
    window.open = False
    print("end", flush=True)
    ordered = sorted(window.added_ns)
    return ReaderReport(
        tokens=len(ordered),
        window_s=loop.time() - begin_s,
        wrong=window.wrong,
        p50_ms=quantile_ms(ordered, 0.5),
        p99_ms=quantile_ms(ordered, 0.99),
        p999_ms=quantile_ms(ordered, 0.999),
        cpu_s=time.process_time() - cpu_s,
    )


if __name__ == "__main__":
    report = asyncio.run(
        read(
            sys.argv[1],
            int(sys.argv[2]),
            sys.argv[3],
            int(sys.argv[4]),
            float(sys.argv[5]),
        )
    )
    print(msgspec.json.encode(report).decode(), flush=True)

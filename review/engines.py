"""A model replica or plain replica of the platform, as a process of its own.

Usage: ``engines.py OPTIONS`` with a JSON object: ``name``, ``service``, ``address``,
``record`` (file), and what the functions below read of it. It answers as the pages say
and does nothing else: a request for another instance gets 421, one without an id 400.
"""

import asyncio
import collections
import json
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import lab  # noqa: E402


def event(number):
    """Return one whole event."""
    return b"id: %d\ndata: %s-%d\n\n" % (number, b"x" * 40, number)


def expected_stream(events):
    """Return the body of a complete stream."""
    return b"".join(event(number) for number in range(1, events + 1))


def part_ids(request):
    """Return the ids of the parts of a prompt, the request's own one included."""
    entries = (request.header("X-Prompt-Prefix") or "").split(",")
    return [each.partition(":")[0].strip() for each in entries]


class Replica:
    """One start of a replica."""

    def __init__(self, options):
        self.options = options
        self.name = options["name"]
        self.born = time.time_ns() // 1_000_000
        self.file = open(options["record"], "a")
        self.answers = 0
        self.unframed = 0
        self.runs = collections.Counter()
        self.writers = set()
        self.running = set()
        self.stopped = set()
        self.is_leaving = False

    def write(self, text):
        since_s = time.monotonic() - self.options["begun_s"]
        self.file.write(f"{since_s:9.3f} s  {self.name}: {text}\n")
        self.file.flush()

    async def run(self):
        host, _, port = self.options["address"].rpartition(":")
        server = await asyncio.start_server(self.serve, host, int(port))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        loop.add_signal_handler(signal.SIGUSR1, self.leave)
        self.write(f"start, born {self.born}")
        async with server:
            await server.serve_forever()

    def leave(self):
        """Say in all answers from now on that this replica leaves."""
        self.is_leaving = True

    def stop(self):
        """End as a process that is told to: close the channels, then exit."""
        self.write(f"stops, with {len(self.writers)} channels")
        for writer in list(self.writers):
            writer.close()
        delay_s = self.options.get("exit_after_s", 0.0)
        asyncio.get_running_loop().call_later(delay_s, os._exit, 0)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await lab.read_head(reader)
                await lab.read_body(reader, request)
                if not await self.respond(request, writer):
                    return
        except (EOFError, OSError, ValueError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, request, writer):
        """Answer one request; return whether the connection stays open."""
        method, path, _ = request.first_line.split()
        if path.startswith("/v1/") or path == "/health":
            await self.respond_to_query(request, method, path, writer)
            return True
        request_id = request.header("X-Request-Id")
        if request.header("X-Target-Instance") not in (None, self.name):
            self.refuse(writer, request_id, 421)
            return True
        if request_id is None:
            self.refuse(writer, request_id, 400)
            return True
        if request.header("Kv-From") is not None:
            self.refuse(writer, request_id, 503)
            return True
        self.runs[request_id] += 1
        if self.options["service"] == "model":
            return await self.send_stream(request, request_id, writer)
        await asyncio.sleep(0.01)
        body = request.body * 3
        writer.write(self.head(request_id, [f"Content-Length: {len(body)}"]) + body)
        await writer.drain()
        return True

    def head(self, request_id, lines, status=200):
        """Return the head of an answer that counts as run."""
        leaving = ["Server-Leaving: 1"] if self.is_leaving else []
        return "\r\n".join(
            [
                f"HTTP/1.1 {status} Whatever",
                *leaving,
                f"X-Request-Id: {request_id}",
                f"X-Response-Signature: sig.{self.name}.{request_id}",
                *lines,
                "\r\n",
            ]
        ).encode()

    def refuse(self, writer, request_id, status):
        """Answer that the request has not run."""
        lines = [f"HTTP/1.1 {status} Whatever", "X-Not-Executed: 1"]
        if request_id is not None:
            lines.append(f"X-Request-Id: {request_id}")
        writer.write("\r\n".join([*lines, "Content-Length: 0", "\r\n"]).encode())

    def is_unframed(self, events):
        """Return whether an answer has neither a length nor chunks.

        At most the given share of this replica's answers has none.
        """
        share = self.options.get("unframed_share", 0.0)
        if events < self.options.get("unframed_from_events", 0) or not share:
            return False
        return self.unframed + 1 <= share * self.answers

    async def send_stream(self, request, request_id, writer):
        """Send as many events as the request allows output tokens."""
        prompt, _, output = request.header("X-Token-Usage").partition(",")
        events = int(output) // 4
        unframed = self.is_unframed(events)
        self.answers += 1
        self.unframed += unframed
        if self.options.get("crashing_part") in part_ids(request):
            await asyncio.sleep(self.options.get("interval_s", 0.02))
            self.write(f"crashes as it begins to answer {request_id}")
            os._exit(1)
        lines = ["Content-Type: text/event-stream"]
        lines.append("Connection: close" if unframed else "Transfer-Encoding: chunked")
        if events > 10:
            how = "unframed" if unframed else "chunked"
            self.write(f"runs {request_id}, {events} events, {how}")
        writer.write(self.head(request_id, lines))
        self.running.add(request_id)
        try:
            is_whole = await self.send_events(request_id, events, unframed, writer)
        finally:
            self.running.discard(request_id)
        if events > 10 and is_whole:
            self.write(f"{request_id} ends after event {events}")
        return is_whole and not unframed

    async def send_events(self, request_id, events, unframed, writer):
        """Send the events of a stream and its end, unless the run is stopped."""
        for number in range(1, events + 1):
            await asyncio.sleep(self.options.get("interval_s", 0.02))
            if request_id in self.stopped:
                return False
            data = event(number)
            writer.write(data if unframed else b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            if writer.is_closing():
                return False
        if not unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def respond_to_move(self, order):
        """Answer an order to move a run: there is never room elsewhere.

        The last order of a run stops it first, and its memory is kept.
        """
        if order["id"] not in self.running:
            return 404, {}
        if not order.get("last"):
            return 503, {}
        self.stopped.add(order["id"])
        self.write(f"{order['id']} is stopped by an order")
        return 503, {"handle": f"h-{order['id']}", "made": 0}

    async def respond_to_query(self, request, method, path, writer):
        """Answer a status check, a report, cache events, or an order to move."""
        status, answer = 200, {"born": self.born}
        if path.startswith("/v1/report"):
            state = "draining" if self.is_leaving else "ready"
            answer |= {"stage": "unified", "state": state, "busy": False, "seq": 0}
            answer |= {"models": [{"name": "m", "version": 1, "adapters": []}]}
            answer |= {"queued": 0, "running": 0, "kv_used": 0, "kv_total": 34304}
            answer |= {"handles": 0, "pinned": 0, "held": 0, "next": 0, "runs": []}
        elif path.startswith("/v1/kv-events"):
            await asyncio.sleep(float(request.header("Wait-Ms") or 0) / 1000)
            answer |= {"epoch": 1, "next": 1, "lost": 0, "events": []}
        elif path.startswith("/v1/kv-move"):
            status, moved = self.respond_to_move(json.loads(request.body))
            answer |= moved
        elif path.startswith("/v1/hold-take") or (
            path == "/health" and self.is_leaving
        ):
            status = 503
        lines = [f"HTTP/1.1 {status} Whatever", f"X-Instance-Id: {self.name}"]
        body = json.dumps(answer).encode()
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        writer.write("\r\n".join([*lines, "\r\n"]).encode() + body)
        await writer.drain()


if __name__ == "__main__":
    asyncio.run(Replica(json.loads(sys.argv[1])).run())

"""Stand-in of one replica as a process: ``replica.py IP:PORT ID KIND EVENTS GAP_S LOG``.

KIND is ``unframed`` (a stream without a length or chunks, which ends with its channel),
``chunked``, or ``keeping`` (chunked; a request whose channel closes is not dropped). The
last two copy a run's memory on ``kv-move`` and go on from a copy (``Kv-From``); pieces
depend on their number only, so that a copy needs no content here. SIGUSR1: it leaves from now on, and says so in all its answers. Each
request that it runs, and each end, is a line of LOG.
"""

import asyncio
import json
import signal
import sys
import time

import harness

BORN_MS = time.time_ns() // 1_000_000


class Replica:
    def __init__(self, address, replica_id, kind, events, gap_s, log):
        self.ip, port = address.split(":")
        self.port = int(port)
        self.id = replica_id
        self.kind = kind
        self.events = events
        self.gap_s = gap_s
        self.log = open(log, "a", encoding="utf-8", buffering=1)
        self.is_leaving = False
        # Newest piece of each running request, and the requests that were stopped.
        self.made = {}
        self.stopped = set()
        self.handles = 0

    def note(self, **fields):
        self.log.write(json.dumps({"at": time.monotonic(), **fields}) + "\n")

    def leave(self):
        self.is_leaving = True
        self.note(event="leaving")

    def own_headers(self):
        return ["Server-Leaving: 1"] if self.is_leaving else []

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await harness.read_request(reader)
                if await self.respond(first, headers, body, writer):
                    return
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def respond(self, first, headers, body, writer):
        """Respond to one request; return whether the channel ends with it."""
        method, path, _ = first.split()
        if path.startswith("/v1/report"):
            report = {"stage": "unified", "state":
                      "draining" if self.is_leaving else "ready", "busy": False,
                      "seq": 1, "queued": 0, "running": 1, "kv_used": 0,
                      "kv_total": 34304, "handles": 0, "born": BORN_MS,
                      "models": [{"name": "m", "version": 1, "adapters": []}]}
            await self.send(writer, harness.http(
                200, self.own_headers(), json.dumps(report).encode()))
            return False
        if path.startswith("/v1/kv-events"):
            await asyncio.sleep(float(headers.get("wait-ms", "0")) / 1000)
            events = {"epoch": 1, "next": 1, "lost": False, "events": [],
                      "born": BORN_MS}
            await self.send(writer, harness.http(
                200, self.own_headers(), json.dumps(events).encode()))
            return False
        if path == "/v1/kv-move" and self.kind != "unframed":
            await self.send(writer, self.move(json.loads(body)))
            return False
        if path.startswith("/v1/kv-handle/"):
            await self.send(writer, harness.http(200, self.own_headers()))
            return False
        if path.startswith("/v1/"):
            await self.send(writer, harness.http(404, self.own_headers()))
            return False
        request_id = headers.get("x-request-id", "")
        if headers.get("x-target-instance") != self.id:
            await self.send(writer, harness.http(
                421, [f"X-Request-Id: {request_id}", "X-Not-Executed: 1"]))
            return False
        begin = int(headers.get("last-event-id", "0")) if "kv-from" in headers else 0
        self.note(event="run", id=request_id, path=path, method=method,
                  kv_from=headers.get("kv-from"), after=begin)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 f"X-Request-Id: {request_id}", "X-Response-Signature: 3e1b.1",
                 *self.own_headers()]
        is_chunked = self.kind != "unframed"
        lines.append("Transfer-Encoding: chunked" if is_chunked else "Connection: close")
        await self.send(writer, "\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(begin + 1, self.events + 1):
            event = b"id: %d\ndata: piece-%d\n\n" % (number, number)
            if is_chunked:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            # A whole event in one write: what follows it is the end of the channel.
            await self.send_piece(writer, event)
            self.made[request_id] = number
            self.note(event="piece", id=request_id, number=number)
            await asyncio.sleep(self.gap_s)
            if request_id in self.stopped:
                # Stopped by a move: the stream is closed without its end.
                self.note(event="stopped", id=request_id)
                return True
        if is_chunked:
            await self.send_piece(writer, b"0\r\n\r\n")
        self.note(event="end", id=request_id)
        return not is_chunked

    def move(self, order):
        """Return the response to a move, which copies at once."""
        request_id = order["id"]
        if request_id not in self.made:
            return harness.http(404, self.own_headers())
        if order.get("last"):
            self.stopped.add(request_id)
        self.handles += 1
        moved = {"handle": f"h{self.handles}", "made": self.made[request_id],
                 "born": BORN_MS}
        self.note(event="move", id=request_id, to=order["to"], last=order.get("last"),
                  made=moved["made"])
        return harness.http(200, self.own_headers(), json.dumps(moved).encode())

    async def send_piece(self, writer, data):
        """Send a piece; a replica that keeps requests goes on if the channel is closed."""
        if self.kind == "keeping" and writer.is_closing():
            return
        try:
            await self.send(writer, data)
        except OSError:
            if self.kind != "keeping":
                raise

    async def send(self, writer, data):
        writer.write(data)
        await writer.drain()


async def main():
    address, replica_id, kind, events, gap_s, log = sys.argv[1:7]
    replica = Replica(address, replica_id, kind, int(events), float(gap_s), log)
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, replica.leave)
    server = await asyncio.start_server(replica.serve, replica.ip, replica.port)
    replica.note(event="listening")
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())

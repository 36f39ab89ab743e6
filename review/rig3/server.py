"""Stand-in of one replica of a plain service, as a process of its own.

Usage: ``server.py ADDRESS ID RUNS_FILE``. A request says in its query how it is
answered: ``pieces`` parts of the body with ``pause_ms`` between two of them, without a
length if ``unframed`` is given. Each run is appended to the file.
"""

import asyncio
import pathlib
import sys
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig3 import http1  # noqa: E402

PIECE_BYTES = 100


def body_of(request_id, pieces):
    """Return the parts of the body with which a request is answered."""
    return [
        f"{request_id} part {number} of {pieces} ".encode().ljust(PIECE_BYTES, b".")
        for number in range(1, pieces + 1)
    ]


class Server:
    """The replica."""

    def __init__(self, name, runs_file):
        self.name = name
        self.runs = open(runs_file, "a")

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while True:
                await self.respond(await http1.read_message(reader), writer)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.close()

    async def respond(self, request, writer):
        """Respond to one request."""
        request_id = request.header("x-request-id")
        if request.target == "/health":
            self.send(writer, "200 OK", [("X-Instance-Id", self.name)])
            return
        if not request_id:
            self.send(writer, "400 Bad Request", [("X-Not-Executed", "1")])
            return
        headers = [("X-Request-Id", request_id)]
        if request.header("x-target-instance", self.name) != self.name:
            self.send(writer, "421 Misdirected", [*headers, ("X-Not-Executed", "1")])
            return
        self.runs.write(f"{self.name} {request_id} {request.method} {request.target}\n")
        self.runs.flush()
        query = urllib.parse.urlsplit(request.target).query
        options = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        parts = body_of(request_id, int(options.get("pieces", 1)))
        headers.append(("X-Response-Signature", f"{self.name}.{request_id}"))
        headers.append(("X-Served-By", self.name))
        if "unframed" in options:
            headers.append(("Connection", "close"))
        else:
            headers.append(("Content-Length", sum(len(each) for each in parts)))
        writer.write(http1.encode("HTTP/1.1 200 OK", headers))
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(int(options.get("pause_ms", 20)) / 1000)
        if "unframed" in options:
            raise EOFError

    def send(self, writer, status, headers):
        """Send a response without a body."""
        headers = [*headers, ("Content-Length", 0)]
        writer.write(http1.encode(f"HTTP/1.1 {status}", headers))


async def main():
    """Serve until the process is ended."""
    address, name, runs_file = sys.argv[1:4]
    host, _, port = address.rpartition(":")
    server = Server(name, runs_file)
    listening = await asyncio.start_server(server.serve, host, int(port))
    print("ready", flush=True)
    async with listening:
        await listening.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())

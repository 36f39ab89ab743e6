"""Stand-in for the outer platform on raw sockets: server list, replicas, caller."""

import asyncio
import json

HOST = "127.0.0.1"


class Message:
    """An HTTP request or response, read from a raw socket."""

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first_line.split()[1])

    def header(self, name):
        values = [value for key, value in self.headers if key.lower() == name.lower()]
        return values[0] if values else None


async def read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = [tuple(line.split(": ", 1)) for line in head[1:] if line]
    message = Message(head[0], headers, b"")
    if message.header("Transfer-Encoding") == "chunked":
        message.body = await read_chunks(reader)
    elif message.header("Content-Length"):
        message.body = await reader.readexactly(int(message.header("Content-Length")))
    return message


async def read_chunks(reader):
    body = b""
    while True:
        size = int(await reader.readline(), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


def response_bytes(request, status=200, body=b"bytes", extra=()):
    lines = [
        f"HTTP/1.1 {status} Whatever",
        f"X-Request-Id: {request.header('X-Request-Id')}",
        "X-Response-Signature: sig.1",
        f"Content-Length: {len(body)}",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_head(request, extra=()):
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        f"X-Request-Id: {request.header('X-Request-Id')}",
        "X-Response-Signature: sig.s",
        "Transfer-Encoding: chunked",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class RawServer:
    """Records all requests; ``respond`` writes arbitrary bytes for each of them."""

    def __init__(self, respond):
        self.respond = respond
        self.requests = []
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                request = await read_message(reader)
                self.requests.append(request)
                await self.respond(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def stop(self):
        self.server.close()


class Platform:
    """Serves the list of replicas."""

    def __init__(self):
        self.entries = []
        self.list = RawServer(self.respond_list)

    async def respond_list(self, request, writer):
        body = json.dumps({"instances": self.entries, "next": None}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    def add(self, server, name, service="ledger", **changes):
        entry = {
            "service": service,
            "addr": server.address,
            "zone": "flx-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_ms": 0,
            "id": name,
        }
        self.entries.append({**entry, **changes})


async def exchange(port, data):
    """Send raw bytes on a new connection and return the first response."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    try:
        async with asyncio.timeout(5):
            return await read_message(reader)
    finally:
        writer.close()


def request_bytes(path, headers=(), body=b"", method="POST", request_id="q-1"):
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: desk.example",
        f"X-Request-Id: {request_id}",
        "X-Deadline-Ms: 1500",
        "Authorization: Bearer key-1",
        *headers,
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


STATE = {
    "version": 7,
    "routes": [
        {
            "name": "r-once",
            "host": "desk.example",
            "prefix": "/once/",
            "kind": "non_idempotent",
            "timeout_ms": 800,
            "goal_ms": 150,
            "priority": 2,
            "service": "ledger",
            "attempts": 1,
            "public": False,
        },
        {
            "name": "r-reads",
            "host": "desk.example",
            "prefix": "/reads/",
            "kind": "idempotent",
            "timeout_ms": 800,
            "goal_ms": 150,
            "priority": 2,
            "split": [{"service": "ledger", "weight": 90}],
            "attempts": 2,
            "public": False,
        },
        {
            "name": "r-drafts",
            "host": "desk.example",
            "prefix": "/drafts/",
            "kind": "streaming",
            "timeout_ms": 39000,
            "goal_ms": 1800,
            "priority": 0,
            "service": "model",
            "attempts": 1,
            "public": False,
            "sticky": True,
            "resumable": False,
            "gap_target_ms": 180,
        },
    ],
    "services": [
        {"name": "ledger", "health_path": "/health", "max_conns": 110, "tls": False},
        {
            "name": "model",
            "health_path": "/health",
            "max_conns": 282,
            "engine": {
                "slots": 24,
                "kv_capacity_tokens": 34304,
                "kv_token_bytes": 35136,
                "link_mbps": 5100.0,
                "migrations": True,
                "backups": True,
                "stride": 4,
                "most": 12,
                "handle_s": 5.0,
                "models": [{"name": "m"}],
            },
        },
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "huka", "keys": ["key-1", "key-2"], "priority": 1}],
}


def state(**changes):
    return json.dumps({**STATE, **changes}).encode()

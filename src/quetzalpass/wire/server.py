"""Server side of the peer protocol, to be added to an aiohttp application."""

import asyncio
import errno
import hmac
import socket
import ssl
from collections.abc import Callable

import logbook
from aiohttp import web
from returns import result

from quetzalpass import background
from quetzalpass.results import codes, failures
from quetzalpass.wire import handlers, messages, transport

LOG = logbook.Logger("wire")

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
FLUSH_POLL_S = 0.02
# For requests that have reached this VM when its listener closes.
LAST_REQUESTS_S = 0.1
# For the TLS handshakes of connections that the listener accepts last.
LAST_HANDSHAKE_S = 1.0
# The process before may still hold the port. It is short, as a stop waits for it too.
BIND_TIMEOUT_S = 3.0
BIND_RETRY_S = 0.1
RECEIVE_BUFFER_BYTES = 32_768
# Connections that a listener accepts before it closes those above its limit.
ACCEPTS_PER_TURN = 16
# Connections that the kernel queues until they are accepted.
QUEUED_CONNECTIONS = 1024
PASSING_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)


async def listen(
    runner: web.BaseRunner, address: str, timeout_s: float = BIND_TIMEOUT_S
) -> None:
    """Set up a runner and start listening at ``host:port``; see :func:`open_site`."""
    await runner.setup()
    host, _, port = address.rpartition(":")
    await open_site(lambda: make_site(runner, host, int(port)), timeout_s)


def make_site(
    runner: web.BaseRunner,
    host: str,
    port: int,
    ssl_context: ssl.SSLContext | None = None,
) -> web.TCPSite:
    """Return a site that accepts a few connections in each turn of the event loop.

    asyncio accepts as many connections in one turn as the site's backlog. Those above
    the limit of a listener are closed only in a later turn.
    """
    return web.TCPSite(
        runner, host, port, ssl_context=ssl_context, backlog=ACCEPTS_PER_TURN
    )


async def open_site(
    make: Callable[[], web.TCPSite], timeout_s: float = BIND_TIMEOUT_S
) -> None:
    """Start listening, as soon as the address is free and there are descriptors.

    Parameters
    ----------
    make : callable
        Makes the site for each attempt.
    timeout_s : float
        Maximum wait for the address, in seconds.

    Raises
    ------
    OSError
        If the address can't be used, or not within the time.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    failure_log = background.FailureLog()
    while True:
        site = make()
        try:
            await site.start()
            queue_connections(site)
            return limit_receive_buffers(site)
        except OSError as error:
            await site.stop()
            is_late = loop.time() + BIND_RETRY_S >= deadline_s
            if error.errno not in PASSING_ERRORS or is_late:
                raise
            failure_log.record(f"Can't listen at {site.name} yet", error)
        await asyncio.sleep(BIND_RETRY_S)


def queue_connections(site: web.TCPSite) -> None:
    """Let the kernel queue more connections than are accepted in one turn."""
    for listening in site._server.sockets:
        with listening.dup() as same_socket:
            same_socket.listen(QUEUED_CONNECTIONS)


def limit_receive_buffers(site: web.TCPSite) -> None:
    """Limit what the kernel keeps for each connection until this process reads it.

    The connections inherit the limit of the socket that accepts them.
    """
    for listening in site._server.sockets:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


async def stop_listening(runner: web.BaseRunner) -> None:
    """Accept the connections that have reached this VM, and no others from now on.

    The open ones stay. Closing the socket alone would reset those that it has queued.
    """
    for site in list(runner.sites):
        # A duplicate keeps the queue when the site closes its own.
        listening = [duplicate(each) for each in site._server.sockets]
        await site.stop()
        accepted = [
            connection
            for queue in listening
            if queue is not None
            for connection in accept_queued(queue)
        ]
        loop = asyncio.get_running_loop()
        context = site._ssl_context
        opening = (
            loop.connect_accepted_socket(
                runner.server,
                each,
                ssl=context,
                ssl_handshake_timeout=LAST_HANDSHAKE_S if context else None,
            )
            for each in accepted
        )
        for outcome in await asyncio.gather(*opening, return_exceptions=True):
            if isinstance(outcome, OSError):
                LOG.info("wire: A new connection failed at the stop: {!r}.", outcome)


def duplicate(listening: socket.socket) -> socket.socket | None:
    """Return a duplicate of a listening socket; ``None`` if there is none to be had."""
    try:
        return listening.dup()
    except OSError as error:
        LOG.warning("wire: Queued connections are lost at the stop: {!r}.", error)
        return None


def accept_queued(listening: socket.socket) -> list[socket.socket]:
    """Accept all queued connections of a listening socket, and close it."""
    accepted = []
    with listening:
        listening.setblocking(False)
        while True:
            try:
                connection, _ = listening.accept()
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                continue
            except OSError as error:
                LOG.warning(
                    "wire: Queued connections are lost at the stop: {!r}.", error
                )
                break
            connection.setblocking(False)
            accepted.append(connection)
    return accepted


async def finish_requests(runner: web.BaseRunner, timeout_s: float) -> None:
    """Wait until each request that arrives in a moment from now has its response.

    Parameters
    ----------
    runner : web.BaseRunner
        Accepts no connections any more.
    timeout_s : float
        Maximum wait.
    """
    if runner.server is None:
        return
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    await asyncio.sleep(LAST_REQUESTS_S)
    while loop.time() < deadline_s and any(
        is_busy(each) for each in runner.server.connections
    ):
        await asyncio.sleep(FLUSH_POLL_S)


def is_busy(connection: web.RequestHandler) -> bool:
    """Return whether a connection has a request whose response isn't complete."""
    task = connection._task_handler
    if task is None or task.done():
        return False
    return connection._waiter is None or bool(connection._messages)


async def close(
    runner: web.BaseRunner, response_timeout_s: float, flush_timeout_s: float
) -> None:
    """Stop listening, respond to what was read, flush it, and close all connections.

    Parameters
    ----------
    runner : web.BaseRunner
        The listener's runner.
    response_timeout_s : float
        Maximum wait for responses.
    flush_timeout_s : float
        Maximum wait for callers to read them.
    """
    await stop_listening(runner)
    await finish_requests(runner, response_timeout_s)
    await flush(runner, flush_timeout_s)
    await runner.cleanup()


async def flush(runner: web.BaseRunner, timeout_s: float) -> None:
    """Wait until the kernel has accepted all written data, or the time is up."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while unsent_bytes(runner) and loop.time() < deadline_s:
        await asyncio.sleep(FLUSH_POLL_S)


def unsent_bytes(runner: web.BaseRunner) -> int:
    """Return the number of bytes in the write buffers of all connections."""
    if runner.server is None:
        return 0
    return sum(
        each.transport.get_write_buffer_size()
        for each in runner.server.connections
        if each.transport is not None
    )


async def send_continue(request: web.Request) -> None:
    """Ask for the body of a request that has ``Expect: 100-continue``."""
    await request.writer.write(CONTINUE)
    # The interim response is no part of the response proper.
    request.writer.output_size = 0


class PeerGuard:
    """Recognises requests of other VMs of the system.

    Parameters
    ----------
    cluster_key : str
        Secret key that all VMs of the system share.
    """

    def __init__(self, cluster_key: str) -> None:
        self.cluster_key = encode_key(cluster_key)

    def is_peer(self, request: web.Request) -> bool:
        """Return whether a request carries the cluster's key."""
        key = request.headers.get(transport.CLUSTER_KEY_HEADER, "")
        return hmac.compare_digest(encode_key(key), self.cluster_key)


class PeerServer:
    """Serves the requests of peers.

    Parameters
    ----------
    table : handlers.HandlerTable
        Handlers; more may be added later.
    cluster_key : str
        Secret key that all VMs of the system share.
    """

    def __init__(self, table: handlers.HandlerTable, cluster_key: str) -> None:
        self.table = table
        self.guard = PeerGuard(cluster_key)

    def add_routes(self, application: web.Application) -> None:
        """Add the peer protocol's route to an application.

        Parameters
        ----------
        application : web.Application
            Must have been created with ``client_max_size=messages.MAX_MESSAGE_BYTES``.
        """
        path = transport.PATH_PREFIX + "{name}"
        application.router.add_post(path, self.handle)

    async def handle(self, request: web.Request) -> web.Response:
        """Handle one HTTP request of a peer."""
        if not self.guard.is_peer(request):
            message = "The cluster key is wrong; compare the key files of the VMs."
            return failure_response(failures.Failure(codes.Code.UNKNOWN_KEY, message))
        try:
            data = await request.read()
        except web.HTTPRequestEntityTooLarge:
            message = f"The message exceeds {messages.MAX_MESSAGE_BYTES} bytes."
            return failure_response(
                failures.Failure(codes.Code.BODY_TOO_LARGE, message)
            )
        outcome = await self.table.handle(request.match_info["name"], data)
        if isinstance(outcome, result.Failure):
            return failure_response(outcome.failure())
        body = messages.encode(outcome.unwrap())
        return web.Response(body=body, content_type="application/json")


def encode_key(key: str) -> bytes:
    """Encode a key as bytes, even if a header had a key that isn't valid UTF-8."""
    return key.encode("utf-8", "surrogateescape")


def failure_response(failure: failures.Failure) -> web.Response:
    """Return the response for a failure."""
    return web.Response(
        status=codes.spec_of(failure.code).http_status,
        body=messages.encode(failure),
        content_type="application/json",
    )


def new_application() -> web.Application:
    """Create an application with the message size limit of the peer protocol."""
    return web.Application(client_max_size=messages.MAX_MESSAGE_BYTES)

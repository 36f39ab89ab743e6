"""HTTP client sessions that never retry a request by themselves."""

import asyncio

import aiohttp

from quetzalpass.backends import connections, held_bytes
from quetzalpass.settings import schema

TIME_LEFT_HEADER = "Quetzalpass-Timeout-Ms"
BODILESS_STATUSES = frozenset({204, 304})

# Larger than any response that is held in memory; a broken server may send without end.
MAX_BODY_BYTES = 8 * 1024 * 1024


# A process that ends closes its connections and its listening socket one after the
# other, in any order. A connection that it did not accept any more is reset by then.
PROCESS_EXIT_S = 0.01
# One that leaves may end later after its connections.
LEAVING_EXIT_S = 0.25


class BodyTooLargeError(ValueError):
    """Raised if a response body exceeds ``MAX_BODY_BYTES``."""


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Read a whole response body that isn't kept for long; see ``read_held_body``."""
    return (await read_held_body(response)).data


async def read_held_body(response: aiohttp.ClientResponse) -> held_bytes.HeldBody:
    """Read a whole response body.

    It counts against the limit of all responses while the result is referenced.

    Raises
    ------
    BodyTooLargeError
        If it is larger than ``MAX_BODY_BYTES``.
    held_bytes.NoRoomError
        If all bodies together are too large, and this was the largest that arrived.
    """
    holding = held_bytes.RESPONSES.open(response.close)
    try:
        async for part in response.content.iter_any():
            if holding.size + len(part) > MAX_BODY_BYTES:
                response.close()
                text = f"the body is larger than {MAX_BODY_BYTES} bytes"
                raise BodyTooLargeError(text)
            holding.add(part)
        return holding.complete()
    except aiohttp.ClientError as error:
        if holding.is_given_up:
            raise held_bytes.NoRoomError("given up while it arrived") from error
        raise
    finally:
        holding.stop_arriving()


def open_session(limits: schema.Limits, reuse: bool) -> aiohttp.ClientSession:
    """Open a session for one backend server.

    Parameters
    ----------
    limits : schema.Limits
        Limits of header sizes and the connect timeout.
    reuse : bool
        Whether connections are kept alive. Calls that must not run twice use a new
        connection each: if a write on a kept-alive connection fails, it is unknown
        whether the server has read the request.
    """
    connector = connections.EngineConnector(limit=0, force_close=not reuse)
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=limits.connect_timeout_s, sock_read=None
    )
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        max_line_size=limits.line_bytes,
        max_field_size=limits.header_bytes,
        # Headers that the caller has not set must not be added.
        skip_auto_headers=("User-Agent", "Content-Type"),
    )
    # aiohttp sends GET, PUT and DELETE a second time if the server closes the
    # connection without a response, and has no public option to disable that. A test
    # closes the connection after reading the request and counts the requests received.
    session._retry_connection = False
    return session


def is_chunked(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response is sent in chunks, the last of which ends its body."""
    return "chunked" in response.headers.get("Transfer-Encoding", "").lower()


def ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    """Return whether only the end of the connection marks the end of the body.

    A crash of the server closes the connection too.
    """
    if response.status in BODILESS_STATUSES or response.method == "HEAD":
        return False
    return not is_chunked(response) and "Content-Length" not in response.headers


async def accepts_connection(host: str, port: int, timeout_s: float) -> bool:
    """Return whether a server accepts a new connection."""
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


async def still_runs(
    host: str, port: int, timeout_s: float, exit_s: float = PROCESS_EXIT_S
) -> bool:
    """Return whether a server runs that has just closed a connection.

    Its process may end up to ``exit_s`` after its connections.

    A new connection opens, and another one a moment later, also if a server with too
    many connections resets the first. One that ends does not open the other.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return False
    closes_s = asyncio.get_running_loop().time() + exit_s
    try:
        async with asyncio.timeout_at(closes_s):
            await reader.read(1)
    except (OSError, TimeoutError):
        pass
    finally:
        writer.close()
    await asyncio.sleep(max(0.0, closes_s - asyncio.get_running_loop().time()))
    return await accepts_connection(host, port, timeout_s)


async def responds_on_new_connection(
    url: str, limits: schema.Limits, timeout_s: float
) -> bool:
    """Return whether a GET on a new connection gets a response other than an error.

    A kept-alive connection proves nothing about the server, as the connection itself
    may have failed.
    """
    session = open_session(limits, reuse=False)
    try:
        async with asyncio.timeout(timeout_s):
            response = await session.get(url)
            response.release()
            return response.ok
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False
    finally:
        await session.close()

"""HTTP client sessions that never repeat a request on their own."""

import asyncio

import aiohttp

from quetzalpass.backends import connections
from quetzalpass.settings import schema

TIME_LEFT_HEADER = "Quetzalpass-Timeout-Ms"


def open_session(limits: schema.Limits, reuse: bool) -> aiohttp.ClientSession:
    """Return a session for one backend server.

    Parameters
    ----------
    limits : schema.Limits
        Caps on header sizes and the connect timeout.
    reuse : bool
        Whether connections are kept. Calls that may not run twice use a fresh
        connection each: a failed write on a kept connection cannot be told from one
        that the server has read.
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
        # A body that the caller has not declared must not be added.
        skip_auto_headers=("User-Agent", "Content-Type"),
    )
    # aiohttp sends GET, PUT and DELETE a second time when the server closes the
    # connection without an answer. There is no public switch for it; a test closes
    # the connection after reading the request and counts what arrives.
    session._retry_connection = False
    return session


async def answers_on_new_connection(
    url: str, limits: schema.Limits, timeout_s: float
) -> bool:
    """Return whether a GET on a fresh connection is answered without an error.

    A kept connection may be the broken part, so that it proves nothing about the
    server.
    """
    session = open_session(limits, reuse=False)
    try:
        async with asyncio.timeout(timeout_s):
            answer = await session.get(url)
            answer.release()
            return answer.ok
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False
    finally:
        await session.close()

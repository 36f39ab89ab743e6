"""Reading of callers' bodies within the limit of all bodies of this process."""

import asyncio

from aiohttp import web

from quetzalpass.backends import held_bytes
from quetzalpass.results import codes, failures

RETRY_AFTER_MS = 1_000


async def read_body(request: web.BaseRequest, max_bytes: int) -> held_bytes.HeldBody:
    """Return the whole body of a request.

    It counts against the limit of all callers' bodies while the result is referenced.

    Raises
    ------
    web.HTTPRequestEntityTooLarge
        If it is larger than ``max_bytes``.
    held_bytes.NoRoomError
        If all bodies together are too large, and this was the largest that arrived.
    """
    loop = asyncio.get_running_loop()
    timer = asyncio.timeout(None)
    holding = held_bytes.REQUESTS.open(lambda: timer.reschedule(loop.time()))
    try:
        async with timer:
            async for part in request.content.iter_any():
                size = holding.size + len(part)
                if size > max_bytes:
                    raise web.HTTPRequestEntityTooLarge(max_bytes, size)
                holding.add(part)
            return holding.complete()
    except TimeoutError as error:
        if holding.is_given_up:
            raise held_bytes.NoRoomError("given up while it arrived") from error
        raise
    finally:
        holding.stop_arriving()


def no_room_failure() -> failures.Failure:
    """Return the failure of a request whose body was given up."""
    return failures.Failure(
        codes.Code.QUEUE_FULL,
        "the bodies of all callers together are too large",
        codes.Execution.NOT_RUN,
        RETRY_AFTER_MS,
    )

"""Reading of request bodies within the limit of all bodies of this process."""

import asyncio

from aiohttp import web

from quetzalpass.backends import held_bytes
from quetzalpass.inbound import rules
from quetzalpass.results import failures

# Longest time without a part of an operator's declaration.
DECLARATION_IDLE_S = 5.0


class BodyLateError(TimeoutError):
    """Raised if a body has not arrived in time."""


async def read_body(
    request: web.BaseRequest,
    max_bytes: int,
    *,
    budget: held_bytes.HeldBytes = held_bytes.REQUESTS,
    idle_s: float | None = None,
    deadline_s: float | None = None,
) -> held_bytes.HeldBody:
    """Return the whole body of a request.

    It counts against the limit of all bodies while the result is referenced.

    Parameters
    ----------
    request : web.BaseRequest
        The request.
    max_bytes : int
        Largest body.
    budget : held_bytes.HeldBytes
        Limit on all bodies together.
    idle_s : float or None
        Longest time without a part of it, in seconds.
    deadline_s : float or None
        Loop time at which it must be whole.

    Raises
    ------
    web.HTTPRequestEntityTooLarge
        If it is larger than ``max_bytes``.
    held_bytes.NoRoomError
        If all bodies together are too large, and this one made room for others.
    BodyLateError
        If it is late.
    """
    loop = asyncio.get_running_loop()
    timer = asyncio.timeout(None)
    holding = budget.open(lambda: timer.reschedule(loop.time()))
    try:
        async with timer:
            timer.reschedule(next_deadline_s(idle_s, deadline_s))
            async for part in request.content.iter_any():
                size = holding.size + len(part)
                if size > max_bytes:
                    raise web.HTTPRequestEntityTooLarge(max_bytes, size)
                holding.add(part)
                timer.reschedule(next_deadline_s(idle_s, deadline_s))
            return holding.complete()
    except TimeoutError as error:
        if holding.is_given_up:
            raise held_bytes.NoRoomError("given up while it arrived") from error
        if timer.expired():
            raise BodyLateError("the body is late") from error
        raise
    finally:
        holding.stop_arriving()


async def read_declaration(
    request: web.BaseRequest, max_bytes: int
) -> held_bytes.HeldBody:
    """Return the body of an operator's request.

    Raises
    ------
    failures.FailureError
        If there is no room for it beside others, or if it is late.
    """
    try:
        return await read_body(
            request,
            max_bytes,
            budget=held_bytes.DECLARATIONS,
            idle_s=DECLARATION_IDLE_S,
        )
    except (held_bytes.NoRoomError, BodyLateError) as error:
        raise failures.FailureError(rules.no_room_failure()) from error


def next_deadline_s(idle_s: float | None, deadline_s: float | None) -> float | None:
    """Return the loop time by which the next part of a body must arrive."""
    if idle_s is None:
        return deadline_s
    idle_end_s = asyncio.get_running_loop().time() + idle_s
    return idle_end_s if deadline_s is None else min(idle_end_s, deadline_s)

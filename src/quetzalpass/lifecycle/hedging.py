"""Second tries of slow repeatable requests, for classes that declare it.

The first of the two to answer is used alone; the other is cancelled. Tokens of two
generations are never mixed, as the choice is made before the first is delivered.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.lifecycle import generations
from quetzalpass.results import failures

Answer = TypeVar("Answer")
HEDGE_SUFFIX = "-hedge"


async def first_success(
    first: Awaitable[result.Result[Answer, failures.Failure]],
    make_second: Callable[[], Awaitable[result.Result[Answer, failures.Failure]]],
    delay_s: float,
    may_hedge: Callable[[], bool],
) -> result.Result[Answer, failures.Failure]:
    """Return the first success of two tries, the second started after a delay.

    Parameters
    ----------
    first : awaitable
        The first try.
    make_second : callable
        Starts the second try.
    delay_s : float
        Wait before the second try, in seconds.
    may_hedge : callable
        Asked once when the delay has passed.
    """
    tries = {asyncio.ensure_future(first)}
    try:
        done, _ = await asyncio.wait(tries, timeout=delay_s)
        if not done and may_hedge():
            tries.add(asyncio.ensure_future(make_second()))
        answered = None
        pending = tries
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            answered = done.pop().result()
            if isinstance(answered, result.Success):
                return answered
        assert answered is not None
        return answered
    finally:
        for each in tries:
            each.cancel()


async def open_generation(
    generation: generations.Generation,
) -> result.Result[generations.Generation, failures.Failure]:
    """Open a generation, twice if its class is hedged and the first token is late.

    Returns
    -------
    Result
        The generation whose first tokens came first, which holds them ready; or the
        numbered failure that ends the request.
    """
    request = generation.request
    delay_s = request.priority_class.hedge_after_s
    suspect = generation.gateway.quarantine.is_suspect(generation.fingerprint)
    if delay_s is None or suspect or not generation.hedges:
        opened = await generation.open()
        return opened.map(lambda _: generation)
    second_request = msgspec.structs.replace(
        request, request_id=ids.RequestId(request.request_id + HEDGE_SUFFIX)
    )
    second = generations.Generation(generation.gateway, second_request)

    def open_second() -> Awaitable[
        result.Result[generations.Generation, failures.Failure]
    ]:
        second.failed_server = generation.server_id
        return open_until_first_tokens(second)

    return await first_success(
        open_until_first_tokens(generation),
        open_second,
        delay_s,
        lambda: generation.gateway.retries.spend(
            request.organisation.id, request.model.name
        ),
    )


async def open_until_first_tokens(
    generation: generations.Generation,
) -> result.Result[generations.Generation, failures.Failure]:
    """Open a generation and keep its first tokens ready; cancel it with the task."""
    try:
        opened = await generation.open()
        if isinstance(opened, result.Failure):
            return opened
        received = await generation.next_batch()
    except asyncio.CancelledError:
        generation.gateway.spawn(generation.cancel())
        raise
    if isinstance(received, result.Failure):
        return received
    generation.ready_batch = received.unwrap()
    return result.Success(generation)

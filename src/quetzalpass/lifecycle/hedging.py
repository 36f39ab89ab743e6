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

ResultT = TypeVar("Answer")
HEDGE_SUFFIX = "-hedge"


async def first_success(
    first: Awaitable[result.Result[ResultT, failures.Failure]],
    start_second: Callable[[], Awaitable[result.Result[ResultT, failures.Failure]]],
    delay_s: float,
    may_hedge: Callable[[], bool],
) -> result.Result[ResultT, failures.Failure]:
    """Return the first success of two tries, the second started after a delay.

    Parameters
    ----------
    first : awaitable
        The first try.
    start_second : callable
        Starts the second try.
    delay_s : float
        Wait before the second try, in seconds.
    may_hedge : callable
        Asked once when the delay has passed.
    """
    tasks = {asyncio.ensure_future(first)}
    try:
        done, _ = await asyncio.wait(tasks, timeout=delay_s)
        if not done and may_hedge():
            tasks.add(asyncio.ensure_future(start_second()))
        completed = None
        pending = tasks
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            completed = done.pop().result()
            if isinstance(completed, result.Success):
                return completed
        assert completed is not None
        return completed
    finally:
        for each in tasks:
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
    if delay_s is None or suspect or not generation.supports_hedging:
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
        return open_and_buffer_first_tokens(second)

    return await first_success(
        open_and_buffer_first_tokens(generation),
        open_second,
        delay_s,
        lambda: generation.gateway.retry_budgets.try_withdraw(
            request.organisation.id, request.model.name
        ),
    )


async def open_and_buffer_first_tokens(
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
    generation.buffered_batch = received.unwrap()
    return result.Success(generation)

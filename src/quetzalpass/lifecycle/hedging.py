"""Hedging: a second attempt of a slow idempotent request, if its class declares it.

The first attempt to succeed is used; the other is cancelled. Tokens of the two are
never mixed, because the choice is made before the first token is delivered.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.lifecycle import generations
from quetzalpass.results import failures

ResultT = TypeVar("ResultT")
HEDGE_SUFFIX = "-hedge"


async def first_success(
    first: Awaitable[result.Result[ResultT, failures.Failure]],
    start_second: Callable[[], Awaitable[result.Result[ResultT, failures.Failure]]],
    delay_s: float,
    may_hedge: Callable[[], bool],
) -> result.Result[ResultT, failures.Failure]:
    """Return the first success of two attempts, the second started after a delay.

    If both fail, the last failure is returned.

    Parameters
    ----------
    first : awaitable
        The first attempt.
    start_second : callable
        Starts the second attempt.
    delay_s : float
        Delay before the second attempt, in seconds.
    may_hedge : callable
        Whether the second attempt may start; called once, after the delay.
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
    """Open a generation; hedge it if its class declares so and its tokens are late.

    Returns
    -------
    Result
        The generation whose first tokens arrived first, which buffers them if it was
        hedged; or the failure that ends the request.
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
    """Open a generation and buffer its first tokens.

    If the task is cancelled, the generation is cancelled at its engine too.
    """
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

"""How a request's class decides its wait in the gateway's queue."""

import asyncio

import msgspec
from returns import result

from quetzalpass.declarations import schema
from quetzalpass.membership import configuration
from quetzalpass.results import codes, failures
from quetzalpass.routing import admission, work

MS_PER_S = 1000
MIN_RETRY_AFTER_MS = 500


def queue_priority(
    config: configuration.Configuration, priority_class: schema.PriorityClass
) -> int:
    """Return the priority as the routing counts it: 0 for the most urgent class.

    Streams that go on after a move are placed right behind that class.
    """
    return max(0, config.highest_priority - priority_class.priority)


async def acquire_within_class(
    admission_queue: admission.Admission,
    item: work.WorkItem,
    priority_class: schema.PriorityClass,
) -> result.Result[admission.Slot, failures.Failure]:
    """Wait for a place, no longer than the class declares.

    A class that must not drop, and a stream that goes on, wait until their deadline.

    Returns
    -------
    Result
        The place, or why there is none; ``QUEUE_FULL`` if the class's time is over.
    """
    unbounded = priority_class.must_not_drop or item.generated_tokens > 0
    if unbounded:
        return await admission_queue.acquire(item)
    loop = asyncio.get_running_loop()
    queue_deadline_s = loop.time() + priority_class.queue_timeout_s
    if item.deadline_s is not None and item.deadline_s <= queue_deadline_s:
        return await admission_queue.acquire(item)
    acquired = await admission_queue.acquire(
        msgspec.structs.replace(item, deadline_s=queue_deadline_s)
    )
    return acquired.alt(lambda failure: queue_failure(failure, priority_class))


def queue_failure(
    failure: failures.Failure, priority_class: schema.PriorityClass
) -> failures.Failure:
    """Return the failure of a wait that the class, not the caller, has bounded."""
    if failure.code is not codes.Code.DEADLINE_BEFORE_START:
        return failure
    return failures.Failure(
        codes.Code.QUEUE_FULL,
        f"no place became free within {priority_class.queue_timeout_s:g} s",
        retry_after_ms=max(MIN_RETRY_AFTER_MS, failure.retry_after_ms or 0),
    )

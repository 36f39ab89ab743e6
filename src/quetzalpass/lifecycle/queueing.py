"""Waiting in the gateway's queue, as a request's priority class declares it."""

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
    """Return the priority in the order of the routing: 0 for the most urgent class.

    The routing queues streams that continue after a move right behind that class.
    """
    return max(0, config.highest_priority - priority_class.priority)


async def acquire_within_class(
    admission_queue: admission.Admission,
    item: work.WorkItem,
    priority_class: schema.PriorityClass,
) -> result.Result[admission.Reservation, failures.Failure]:
    """Wait for a reservation on a server, no longer than the class declares.

    Requests of must-not-drop classes, and streams that continue, wait until their
    deadline.

    Returns
    -------
    Result
        The reservation, or why there is none; ``QUEUE_FULL`` if the declared queue
        timeout of the class has passed.
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
    """Return the failure of a wait that was bounded by the class's queue timeout."""
    if failure.code is not codes.Code.DEADLINE_BEFORE_START:
        return failure
    return failures.Failure(
        codes.Code.QUEUE_FULL,
        f"no server had capacity within {priority_class.queue_timeout_s:g} s",
        retry_after_ms=max(MIN_RETRY_AFTER_MS, failure.retry_after_ms or 0),
    )

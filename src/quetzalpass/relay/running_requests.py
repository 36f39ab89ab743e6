"""The requests that a gateway serves now, and how they end when it shuts down."""

import asyncio
import contextlib
from collections.abc import Iterator

from quetzalpass.lifecycle import interruptions
from quetzalpass.relay import drain_schedule, relay_requests
from quetzalpass.results import codes, failures

# Any other gateway serves a request that is refused during a drain, so it may come at
# once.
RETRY_WHEN_DRAINING_MS = 10


class RunningRequests:
    """The running requests of one gateway, for whose end a graceful shutdown waits.

    Attributes
    ----------
    count : int
        Number of running requests, those that are still being received among them.
    drain : drain_schedule.DrainSchedule or None
        Schedule of the graceful shutdown; ``None`` before it.
    is_stopping : bool
        Whether the drain is over, so that all requests are refused.
    durations : drain_schedule.RouteDurations
        How long the calls of each route took lately.
    interruptions : interruptions.Interruptions
        Ends the routed requests at the end of the drain.
    """

    def __init__(self) -> None:
        self.count = 0
        self.drain: drain_schedule.DrainSchedule | None = None
        self.is_stopping = False
        self.durations = drain_schedule.RouteDurations()
        self.interruptions = interruptions.Interruptions()

    @property
    def is_draining(self) -> bool:
        """Return whether this gateway is draining before a stop."""
        return self.drain is not None

    @contextlib.contextmanager
    def counted(self) -> Iterator[None]:
        """Count a request while it is being received or served."""
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1

    def begin_drain(self, duration_s: float) -> drain_schedule.DrainSchedule:
        """Refuse requests from now on that can't end within a duration."""
        now_s = asyncio.get_running_loop().time()
        self.drain = drain_schedule.DrainSchedule(now_s, now_s + duration_s)
        return self.drain

    def end_drain(self) -> int:
        """Refuse everything from now on, and interrupt what still runs.

        An interrupted request gets a response, unless its response has begun.

        Returns
        -------
        int
            The number of requests that were interrupted.
        """
        self.is_stopping = True
        self.interruptions.interrupt()
        return len(self.interruptions.running)

    def find_refusal(
        self, routed: relay_requests.RoutedRequest
    ) -> failures.Failure | None:
        """Return why a request that has not run must not run here, or ``None``."""
        if self.drain is None:
            return None
        now_s = asyncio.get_running_loop().time()
        if not self.is_stopping and self.drain.may_serve(
            now_s,
            routed.request.arrived_s,
            routed.deadline_s,
            self.expected_s(routed, now_s),
        ):
            return None
        return draining_failure(
            f"this gateway stops in {self.drain.ends_s - now_s:.3f} s"
        )

    def expected_s(self, routed: relay_requests.RoutedRequest, now_s: float) -> float:
        """Return how long a request may be expected to run, in seconds."""
        if routed.request.size is not None:
            return routed.request.size.max_duration_s()
        return self.durations.expected_s(routed.route.name, now_s)

    def observe_duration(self, routed: relay_requests.RoutedRequest) -> None:
        """Record how long a call took that has its response now."""
        now_s = asyncio.get_running_loop().time()
        duration_s = now_s - routed.request.arrived_s
        self.durations.observe(routed.route.name, duration_s, now_s)


def draining_failure(
    message: str, execution: codes.Execution = codes.Execution.NOT_RUN
) -> failures.Failure:
    """Return the failure of a request that a gateway does not serve, as it stops."""
    retry_after_ms = None
    if execution is codes.Execution.NOT_RUN:
        retry_after_ms = RETRY_WHEN_DRAINING_MS
    return failures.Failure(codes.Code.DRAINING, message, execution, retry_after_ms)


def interrupted_failure(routed: relay_requests.RoutedRequest) -> failures.Failure:
    """Return the failure of a request that the end of the drain interrupts."""
    if routed.progress.is_sent or routed.request.earlier_runs:
        return draining_failure(
            "this gateway stops, and the request may have run",
            codes.Execution.MAY_HAVE_RUN,
        )
    return draining_failure("this gateway stops")

"""Places a generation on a backend server and starts it there."""

import asyncio
import math

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.lifecycle import attempts, queueing, requests
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.membership import in_flight_requests, quarantine
from quetzalpass.metrics import metering
from quetzalpass.results import codes, failures
from quetzalpass.routing import admission, work

LOG = logbook.Logger("lifecycle")

MAX_ATTEMPTS = 4
MS_PER_S = 1000
MAX_CONSECUTIVE_RESUMES = 2
RESUME_TIMEOUT_S = 3.0


class StartingGeneration:
    """Base of a generation: starts it on a server, and again after each move.

    Parameters
    ----------
    gateway : gateways.Gateway
        State shared by all requests of this gateway.
    request : requests.GenerationRequest
        The caller's request.

    Attributes
    ----------
    id : GenerationId
        Changes only when the generation restarts before any token is delivered.
    code : codes.Code
        Result code of the response if the generation succeeds.
    tokens : list of str
        Tokens received so far.
    first_offset : int
        Offset of the first of these; above 0 only if a caller resumed.
    delivered : int
        Number of tokens that the caller has received and that can't be retracted.
    finish_reason : str or None
        Set once the last token has arrived.
    execution : codes.Execution
        Whether any attempt so far ran.
    server_id : ServerId or None
        Server that runs the generation.
    start_offset, started_s : int, float
        Number of tokens, and loop time, at the last start.
    move_requested : bool
        Whether a move to another server has been requested.
    max_wait_s : float
        Longest wait for a reservation, in seconds, if that is before the deadline.
    failed_server : ServerId or None
        Server of the last failed attempt; the next one avoids it if possible.
    buffered_batch : base.TokenBatch or None
        Tokens that were received while the generation was being opened.
    """

    supports_hedging = True

    def __init__(
        self, gateway: gateways.Gateway, request: requests.GenerationRequest
    ) -> None:
        self.gateway = gateway
        self.request = request
        self.id = ids.GenerationId("")
        self.code = codes.Code.OK
        self.tokens: list[str] = []
        self.first_offset = 0
        self.delivered = 0
        self.finish_reason: str | None = None
        self.execution = codes.Execution.NOT_RUN
        self.server_id: ids.ServerId | None = None
        self.failed_server: ids.ServerId | None = None
        self.reservation: admission.Reservation | None = None
        self.stream: base.TokenStream | None = None
        self.attempts = 0
        series = gateway.recorder.get_series(
            request.organisation.id, request.priority_class.name
        )
        self.loop = asyncio.get_running_loop()
        self.meter = metering.StreamMeter(series, self.loop.time())
        self.consecutive_resumes = 0
        self.lost_connections = 0
        self.cancel_task: asyncio.Task[None] | None = None
        self.start_offset = 0
        self.started_s = 0.0
        self.move_requested = False
        self.max_wait_s = math.inf
        self.restarted = False
        self.fingerprint = request.fingerprint()
        self.parts = request.shared_parts()
        self.in_flight_request = in_flight_requests.InFlightRequest(self.fingerprint)
        self.buffered_batch: base.TokenBatch | None = None
        self.unreported_tokens = 0

    def next_offset(self) -> int:
        """Return the offset of the next token."""
        return self.first_offset + len(self.tokens)

    async def open(self) -> result.Result[None, failures.Failure]:
        """Start the generation on a backend server; retry if that may be done.

        Returns
        -------
        Result
            Nothing, or the failure that ends the request.
        """
        while True:
            started = await self.attempt()
            if isinstance(started, result.Success):
                return started
            failure = started.failure()
            if not self.may_retry(failure) or not self.try_withdraw_retry():
                return result.Failure(self.final_failure(failure))
            max_delay_s = attempts.max_backoff_s(self.attempts)
            await asyncio.sleep(self.gateway.rng.uniform(0.0, max_delay_s))

    def may_retry(self, failure: failures.Failure) -> bool:
        """Return whether another attempt may be made after a failure."""
        if self.attempts >= MAX_ATTEMPTS:
            return False
        if failure.code not in (codes.Code.SERVER_FAILED, codes.Code.REFUSED_BY_SERVER):
            return False
        if self.request.idempotency_key is None:
            return True
        return self.execution is codes.Execution.NOT_RUN

    def try_withdraw_retry(self) -> bool:
        """Withdraw one retry from the budget; return ``False`` if none remains."""
        request = self.request
        return self.gateway.retry_budgets.try_withdraw(
            request.organisation.id, request.model.name
        )

    def final_failure(self, failure: failures.Failure) -> failures.Failure:
        """Return the failure of the whole request, given that of the last attempt."""
        if self.execution is codes.Execution.NOT_RUN:
            return failure
        if failure.code is codes.Code.DEADLINE_BEFORE_START:
            return self.deadline_failure()
        return attempts.with_execution(failure, self.execution)

    async def attempt(self) -> result.Result[None, failures.Failure]:
        """Make one attempt at one backend server."""
        self.attempts += 1
        reserved = await self.reserve()
        if isinstance(reserved, result.Failure):
            return reserved
        assert self.reservation is not None
        self.meter.record_placement(asyncio.get_running_loop().time())
        self.server_id = self.reservation.server_id
        self.in_flight_request = self.gateway.quarantine.add_request(
            self.server_id, self.request.request_id, self.fingerprint, self.parts
        )
        self.in_flight_request.tokens = len(self.tokens)
        self.gateway.drains.watch(self.server_id, self)
        self.start_offset = len(self.tokens)
        self.started_s = asyncio.get_running_loop().time()
        if not self.tokens:
            self.id = self.gateway.new_generation_id(self.request.organisation.id)
        if self.cancel_task is not None:
            # It may be for the same generation on this server, and would then stop the
            # new run if it arrived later.
            await asyncio.wait((self.cancel_task,))
        if self.remaining_s() <= 0:
            self.leave_server(work.ReservationOutcome.CANCELLED)
            return result.Failure(
                failures.Failure(
                    codes.Code.DEADLINE_BEFORE_START,
                    "the deadline passed before the generation could start",
                )
            )
        return await self.start()

    async def reserve(self) -> result.Result[None, failures.Failure]:
        """Wait for a reservation under which the generation may be sent now.

        It may become a suspect, or be refused, while it waits.
        """
        suspects = self.gateway.quarantine
        while True:
            await suspects.wait_for_other_copy(
                self.fingerprint, self.request.deadline_s
            )
            if suspects.is_suspect(self.fingerprint):
                await asyncio.sleep(
                    self.gateway.rng.uniform(0.0, quarantine.RESTART_JITTER_S)
                )
            refusal = self.refusal()
            if refusal is not None:
                return result.Failure(refusal)
            acquired = await self.acquire_reservation()
            if isinstance(acquired, result.Failure):
                return acquired
            self.reservation = acquired.unwrap()
            if self.may_be_sent(self.reservation):
                return result.Success(None)
            self.leave_server(work.ReservationOutcome.CANCELLED)

    def refusal(self) -> failures.Failure | None:
        """Return why the generation must not be sent to any server now, or ``None``."""
        return self.gateway.quarantine.refusal_of_request(
            self.fingerprint, self.parts, self.request.request_id
        )

    def may_be_sent(self, reservation: admission.Reservation) -> bool:
        """Return whether a reservation still fits what is known of the request."""
        suspects = self.gateway.quarantine
        if self.refusal() is not None:
            return False
        if not suspects.is_suspect(self.fingerprint):
            return True
        return reservation.item.suspect and not suspects.has_other_copy(
            self.fingerprint
        )

    async def start(self) -> result.Result[None, failures.Failure]:
        """Send the generation to the chosen server."""
        timeout_s = min(self.remaining_s(), self.gateway.limits.silent_stream_s)
        engine = self.engine()
        try:
            started = await engine.start(self.call(), timeout_s)
        except asyncio.CancelledError:
            self.leave_server(work.ReservationOutcome.CANCELLED)
            self.gateway.spawn(engine.cancel(self.id))
            raise
        if isinstance(started, result.Failure):
            return await self.on_start_failed(started.failure())
        self.stream = started.unwrap()
        self.in_flight_request.opened = True
        self.restarted = False
        self.execution = codes.Execution.RAN
        return result.Success(None)

    def cancel_previous_run(self) -> None:
        """Cancel the generation that may still run on the server being left."""
        self.cancel_task = self.gateway.spawn(self.engine().cancel(self.id))

    async def acquire_reservation(
        self,
    ) -> result.Result[admission.Reservation, failures.Failure]:
        """Wait for a reservation; at first only on servers that need not be avoided."""
        excluded = self.servers_to_avoid()
        if excluded:
            now_s = asyncio.get_running_loop().time()
            deadline_s = min(
                self.request.deadline_s, now_s + attempts.AVOID_SERVER_TIMEOUT_S
            )
            item = self.work_item(deadline_s, excluded)
            acquired = await self.gateway.admission_queue.acquire(item)
            if isinstance(acquired, result.Success):
                return acquired
        unreached = self.gateway.find_unreached(
            ids.ServiceName(self.request.model.name)
        )
        if unreached is not None and not self.tokens:
            return result.Failure(unreached)
        now_s = asyncio.get_running_loop().time()
        deadline_s = min(self.request.deadline_s, now_s + self.max_wait_s)
        return await queueing.acquire_within_class(
            self.gateway.admission_queue,
            self.work_item(deadline_s, frozenset()),
            self.request.priority_class,
        )

    def servers_to_avoid(self) -> frozenset[ids.ServerId]:
        """Return the server that failed and those that peers use for their suspects."""
        excluded: frozenset[ids.ServerId] = frozenset()
        if self.failed_server is not None:
            excluded = frozenset((self.failed_server,))
            self.failed_server = None
        if self.gateway.quarantine.is_suspect(self.fingerprint):
            model = self.request.model.name
            excluded |= self.gateway.servers_for_peer_suspects(model)
        return excluded

    def work_item(
        self, deadline_s: float, excluded: frozenset[ids.ServerId]
    ) -> work.WorkItem:
        """Return the description of this generation that the routing needs."""
        request = self.request
        prompt = request.prompt_text()
        return work.WorkItem(
            request_id=request.request_id,
            organisation=request.organisation.id,
            class_name=request.priority_class.name,
            model=request.model.name,
            adapter=request.adapter,
            prompt_tokens=requests.estimate_prompt_tokens(prompt),
            prefix_hashes=requests.hash_prefix_blocks(prompt),
            priority=queueing.queue_priority(
                request.configuration, request.priority_class
            ),
            must_not_drop=request.priority_class.must_not_drop,
            deadline_s=deadline_s,
            max_tokens=request.max_tokens,
            generated_tokens=len(self.tokens),
            suspect=self.gateway.quarantine.is_suspect(self.fingerprint),
            excluded=excluded,
        )

    def call(self) -> base.GenerationCall:
        """Return the engine call that starts or continues this generation."""
        request = self.request
        return base.GenerationCall(
            generation_id=self.id,
            request_id=request.request_id,
            model=request.model.name,
            version=request.model.version,
            adapter=request.adapter,
            prompt=request.prompt,
            messages=request.messages,
            max_tokens=request.max_tokens,
            priority=request.priority_class.priority,
            tokens_so_far=tuple(self.tokens),
            parameters=request.parameters,
            time_left_ms=int(self.remaining_s() * MS_PER_S),
        )

    def engine(self) -> base.ModelEngine:
        """Return the adapter of the engine that runs this generation."""
        assert self.server_id is not None
        backend = self.gateway.get_backend(self.server_id, self.request.configuration)
        assert isinstance(backend, base.ModelEngine)
        return backend

    def remaining_s(self) -> float:
        """Return the time left until the deadline, in seconds."""
        return self.request.deadline_s - asyncio.get_running_loop().time()

    async def on_start_failed(
        self, failure: base.AttemptFailure
    ) -> result.Result[None, failures.Failure]:
        """Try to resume after a failed start, or release the server.

        This gateway chose the id of the generation. So if the response to the start was
        lost, a new connection shows whether the engine has received the request.
        """
        assert self.server_id is not None
        LOG.warning(
            "lifecycle: Start of {} on {} failed: {}.",
            self.request.request_id,
            self.server_id,
            failure.message,
        )
        target = ids.ServiceName(self.request.model.name)
        self.gateway.on_attempt_failure(target, failure)
        execution = attempts.execution_of(failure)
        self.execution = attempts.combined_execution(self.execution, execution)
        if execution is codes.Execution.MAY_HAVE_RUN:
            if await self.resume_on_same_server():
                return result.Success(None)
            await self.on_server_lost()
            self.cancel_previous_run()
        self.failed_server = self.server_id
        self.leave_server(attempts.reservation_outcome(failure))
        rejected = failure.kind is base.FailureKind.REJECTED
        if rejected and self.tokens and not self.delivered:
            # This replica does not accept the other's tokens: restart without them.
            self.tokens.clear()
            return await self.attempt()
        return result.Failure(attempts.caller_failure(failure))

    async def resume_on_same_server(self) -> bool:
        """Open a new connection to the running generation; return whether it opened."""
        timeout_s = min(RESUME_TIMEOUT_S, self.remaining_s())
        if timeout_s <= 0:
            return False
        opened = await self.engine().resume(self.id, self.next_offset(), timeout_s)
        if isinstance(opened, result.Failure):
            if opened.failure().kind is base.FailureKind.UNKNOWN_GENERATION:
                self.consecutive_resumes = MAX_CONSECUTIVE_RESUMES
                self.restarted = self.stream is not None
            return False
        self.stream = opened.unwrap()
        self.execution = codes.Execution.RAN
        return True

    async def on_server_lost(self) -> None:
        """Record a crash in the quarantine if the server is down."""
        assert self.server_id is not None
        await self.gateway.on_server_lost(
            self.server_id,
            self.request.request_id,
            self.request.configuration,
            self.restarted,
        )

    def deadline_failure(self) -> failures.Failure:
        """Return the failure of a generation whose deadline has passed."""
        return failures.Failure(
            codes.Code.DEADLINE_EXCEEDED,
            f"the deadline passed after {len(self.tokens)} tokens",
            codes.Execution.RAN if self.tokens else None,
        )

    def leave_server(self, outcome: work.ReservationOutcome) -> None:
        """Release the reservation and stop tracking the generation on its server."""
        if self.reservation is not None:
            server_id = self.reservation.server_id
            self.gateway.quarantine.remove_request(server_id, self.request.request_id)
            self.gateway.drains.unwatch(server_id, self)
            self.reservation.release(outcome)
            self.reservation = None

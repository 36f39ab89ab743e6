"""How a generation finds a backend server and starts there."""

import asyncio
import math

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.lifecycle import attempts, queueing, requests
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.membership import quarantine
from quetzalpass.metrics import metering
from quetzalpass.results import codes, failures
from quetzalpass.routing import admission, work

LOG = logbook.Logger("lifecycle")

MAX_ATTEMPTS = 4
MS_PER_S = 1000
MAX_RESUMES_IN_A_ROW = 2
RESUME_TIMEOUT_S = 3.0


class StartingGeneration:
    """A generation up to its first token, and again after each move.

    Parameters
    ----------
    gateway : gateways.Gateway
        Shared parts.
    request : requests.GenerationRequest
        What the caller asked for.

    Attributes
    ----------
    id : GenerationId
        Changes only when the generation starts anew with nothing delivered.
    code : codes.Code
        Code of the answer if it succeeds.
    tokens : list of str
        Tokens received so far.
    first_offset : int
        Offset of the first of these; above 0 only where a caller came back.
    delivered : int
        Tokens that have been handed to the caller and can't be taken back.
    finish_reason : str or None
        Set once the last token has arrived.
    execution : codes.Execution
        What is known of all attempts so far.
    server_id : ServerId or None
        Where it runs.
    start_offset, started_s : int, float
        Tokens that existed, and the loop's time, at the last start.
    moving : bool
        It has been asked to move to another server.
    longest_wait_s : float
        Longest wait for a place, in seconds, where that is less than the deadline.
    failed_server : ServerId or None
        Where the last attempt failed; the next one avoids it if it can.
    ready_batch : base.TokenBatch or None
        Tokens that were received while the generation was being opened.
    """

    hedges = True

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
        counted = gateway.recorder.get_series(
            request.organisation.id, request.priority_class.name
        )
        self.loop = asyncio.get_running_loop()
        self.meter = metering.StreamMeter(counted, self.loop.time())
        self.resumes = 0
        self.links_lost = 0
        self.cancelling: asyncio.Task[None] | None = None
        self.start_offset = 0
        self.started_s = 0.0
        self.moving = False
        self.longest_wait_s = math.inf
        self.restarted = False
        self.fingerprint = request.fingerprint()
        self.in_flight_request = quarantine.InFlightRequest(self.fingerprint)
        self.ready_batch: base.TokenBatch | None = None
        self.unreported = 0

    def next_offset(self) -> int:
        """Return the offset of the next token."""
        return self.first_offset + len(self.tokens)

    async def open(self) -> result.Result[None, failures.Failure]:
        """Find a backend server and start there.

        Returns
        -------
        Result
            Nothing, or the numbered failure that ends the request.
        """
        while True:
            started = await self.attempt()
            if isinstance(started, result.Success):
                return started
            failure = started.failure()
            if not self.may_try_again(failure) or not self.spend_retry():
                return result.Failure(self.final_failure(failure))
            longest_s = attempts.longest_backoff_s(self.attempts)
            await asyncio.sleep(self.gateway.rng.uniform(0.0, longest_s))

    def may_try_again(self, failure: failures.Failure) -> bool:
        """Return whether another attempt may be made after a failure."""
        if self.attempts >= MAX_ATTEMPTS:
            return False
        if failure.code not in (codes.Code.SERVER_FAILED, codes.Code.REFUSED_BY_SERVER):
            return False
        if self.request.idempotency_key is None:
            return True
        return self.execution is codes.Execution.NOT_RUN

    def spend_retry(self) -> bool:
        """Take one retry from the budget; return whether there was one left."""
        request = self.request
        return self.gateway.retries.spend(request.organisation.id, request.model.name)

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
        deadline_s = self.request.deadline_s
        suspects = self.gateway.quarantine
        await suspects.wait_for_other_copy(self.fingerprint, deadline_s)
        if suspects.is_suspect(self.fingerprint):
            await asyncio.sleep(
                self.gateway.rng.uniform(0.0, quarantine.RESTART_JITTER_S)
            )
        refusal = suspects.refusal(self.fingerprint)
        if refusal is not None:
            return result.Failure(refusal)
        acquired = await self.acquire_reservation()
        if isinstance(acquired, result.Failure):
            return acquired
        self.reservation = acquired.unwrap()
        self.meter.record_placement(asyncio.get_running_loop().time())
        self.server_id = self.reservation.server_id
        if suspects.is_suspect(self.fingerprint) and not self.reservation.item.suspect:
            # It became a suspect while it waited: choose anew.
            self.leave_server(work.ReservationOutcome.CANCELLED)
            return await self.attempt()
        self.in_flight_request = suspects.add_request(
            self.server_id, self.request.request_id, self.fingerprint
        )
        self.in_flight_request.tokens = len(self.tokens)
        self.gateway.drains.watch(self.server_id, self)
        self.start_offset = len(self.tokens)
        self.started_s = asyncio.get_running_loop().time()
        if not self.tokens:
            self.id = self.gateway.new_generation_id(self.request.organisation.id)
        if self.cancelling is not None:
            # It may name the same generation on the same server.
            await asyncio.wait((self.cancelling,))
        if self.remaining_s() <= 0:
            self.leave_server(work.ReservationOutcome.CANCELLED)
            return result.Failure(
                failures.Failure(
                    codes.Code.DEADLINE_BEFORE_START, "no time was left to start"
                )
            )
        return await self.start()

    async def start(self) -> result.Result[None, failures.Failure]:
        """Send the generation to the server that was chosen."""
        timeout_s = min(self.remaining_s(), self.gateway.limits.silent_stream_s)
        engine = self.engine()
        try:
            started = await engine.start(self.call(), timeout_s)
        except asyncio.CancelledError:
            self.leave_server(work.ReservationOutcome.CANCELLED)
            self.gateway.spawn(engine.cancel(self.id))
            raise
        if isinstance(started, result.Failure):
            return await self.note_failed_start(started.failure())
        self.stream = started.unwrap()
        self.in_flight_request.opened = True
        self.restarted = False
        self.execution = codes.Execution.RAN
        return result.Success(None)

    def cancel_behind(self) -> None:
        """Cancel what may still run on the server that is being left."""
        self.cancelling = self.gateway.spawn(self.engine().cancel(self.id))

    async def acquire_reservation(
        self,
    ) -> result.Result[admission.Reservation, failures.Failure]:
        """Wait for a place, for a while only on other servers than the failed one."""
        excluded = self.servers_to_avoid()
        if excluded:
            now_s = asyncio.get_running_loop().time()
            deadline_s = min(self.request.deadline_s, now_s + attempts.AVOID_WAIT_S)
            item = self.work_item(deadline_s, excluded)
            acquired = await self.gateway.slots.acquire(item)
            if isinstance(acquired, result.Success):
                return acquired
        now_s = asyncio.get_running_loop().time()
        deadline_s = min(self.request.deadline_s, now_s + self.longest_wait_s)
        return await queueing.acquire_within_class(
            self.gateway.slots,
            self.work_item(deadline_s, frozenset()),
            self.request.priority_class,
        )

    def servers_to_avoid(self) -> frozenset[ids.ServerId]:
        """Return the server that failed, and those of the peers' suspects."""
        excluded: frozenset[ids.ServerId] = frozenset()
        if self.failed_server is not None:
            excluded = frozenset((self.failed_server,))
            self.failed_server = None
        if self.gateway.quarantine.is_suspect(self.fingerprint):
            model = self.request.model.name
            excluded |= self.gateway.servers_for_peers_suspects(model)
        return excluded

    def work_item(
        self, deadline_s: float, excluded: frozenset[ids.ServerId]
    ) -> work.WorkItem:
        """Return what the routing needs to know of this generation."""
        request = self.request
        prompt = request.prompt_text()
        return work.WorkItem(
            request_id=request.request_id,
            organisation=request.organisation.id,
            class_name=request.priority_class.name,
            model=request.model.name,
            adapter=request.adapter,
            prompt_tokens=requests.estimate_prompt_tokens(prompt),
            prefix_hashes=requests.prefix_hashes_of(prompt),
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
        """Return the call that starts this generation, or continues it."""
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
        backend = self.gateway.backend_of(self.server_id, self.request.configuration)
        assert isinstance(backend, base.ModelEngine)
        return backend

    def remaining_s(self) -> float:
        """Return the time left until the deadline, in seconds."""
        return self.request.deadline_s - asyncio.get_running_loop().time()

    async def note_failed_start(
        self, failure: base.AttemptFailure
    ) -> result.Result[None, failures.Failure]:
        """Go on after a start without an answer, or leave the server.

        The engine knows the generation by the id that this gateway chose. So after a
        lost answer a new connection tells whether the request had arrived.
        """
        assert self.server_id is not None
        LOG.warning(
            "lifecycle: Start of {} on {} failed: {}.",
            self.request.request_id,
            self.server_id,
            failure.message,
        )
        execution = attempts.execution_of(failure)
        self.execution = attempts.stronger(self.execution, execution)
        if execution is codes.Execution.MAY_HAVE_RUN:
            if await self.resume_on_same_server():
                return result.Success(None)
            await self.note_lost_server()
            self.cancel_behind()
        self.failed_server = self.server_id
        self.leave_server(attempts.reservation_outcome(failure))
        rejected = failure.kind is base.FailureKind.REJECTED
        if rejected and self.tokens and not self.delivered:
            # This replica does not accept the tokens of the other: start anew.
            self.tokens.clear()
            return await self.attempt()
        return result.Failure(attempts.numbered_failure_of(failure))

    async def resume_on_same_server(self) -> bool:
        """Open a new link to the running generation; return whether it opened."""
        timeout_s = min(RESUME_TIMEOUT_S, self.remaining_s())
        if timeout_s <= 0:
            return False
        opened = await self.engine().resume(self.id, self.next_offset(), timeout_s)
        if isinstance(opened, result.Failure):
            if opened.failure().kind is base.FailureKind.UNKNOWN_GENERATION:
                self.resumes = MAX_RESUMES_IN_A_ROW
                self.restarted = self.stream is not None
            return False
        self.stream = opened.unwrap()
        self.execution = codes.Execution.RAN
        return True

    async def note_lost_server(self) -> None:
        """Let the quarantine know if the server died under this generation."""
        assert self.server_id is not None
        await self.gateway.note_lost_server(
            self.server_id,
            self.request.request_id,
            self.request.configuration,
            self.restarted,
        )

    def deadline_failure(self) -> failures.Failure:
        """Return the failure of a generation whose time is over."""
        return failures.Failure(
            codes.Code.DEADLINE_EXCEEDED,
            f"the deadline passed after {len(self.tokens)} tokens",
            codes.Execution.RAN if self.tokens else None,
        )

    def leave_server(self, outcome: work.ReservationOutcome) -> None:
        """Give the place on the server back."""
        if self.reservation is not None:
            server_id = self.reservation.server_id
            self.gateway.quarantine.remove_request(server_id, self.request.request_id)
            self.gateway.drains.forget(server_id, self)
            self.reservation.release(outcome)
            self.reservation = None

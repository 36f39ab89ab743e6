"""Simulation of an engine with continuous batching, without a clock of its own.

A driver calls ``step`` whenever the engine is not idle and waits for the returned
duration before the next call; the tokens of a step exist at its end. The benchmark
advances a simulated clock with an event heap; the HTTP stand-in sleeps.
"""

import collections
import heapq
import math
import random

import msgspec

from quetzalpass import ids
from quetzalpass.routing import reports
from quetzalpass.standin import memory, parameters

STEP_MEAN_WEIGHT = 0.1
MAX_SNAPSHOTS = 256


class EngineRequest(msgspec.Struct, frozen=True):
    """Request to run one generation on an engine.

    Attributes
    ----------
    generation_id : ids.GenerationId
        Unique among the generations on the engine.
    prompt_tokens : int
        Length of the prompt.
    output_tokens : int
        Length of the whole output, which only the engine model knows.
    prefix_hashes : tuple of int
        Hashes of the leading full blocks of the prompt.
    priority : int
        A lower number is served first and preempted last.
    adapter : ids.AdapterName or None
        Adapter that must be loaded before the request can run.
    start_offset : int
        Number of output tokens that another server has already generated. They are
        prefilled with the prompt and not emitted again.
    """

    generation_id: ids.GenerationId
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    priority: int = 0
    adapter: ids.AdapterName | None = None
    start_offset: int = 0


class EmittedToken(msgspec.Struct, frozen=True):
    """One output token of a generation; the first one has offset 0."""

    generation_id: ids.GenerationId
    offset: int


class StepOutcome(msgspec.Struct):
    """Result of one step.

    Attributes
    ----------
    duration_s : float
        Time that the step takes.
    decoded : int
        Number of sequences that were decoding before the step and got a token.
    joined : list of ids.GenerationId
        Sequences whose prefill ended in this step. Each also got one token.
    preempted, finished : list of ids.GenerationId
        Sequences that were preempted for lack of memory, and that are complete.
    emitted : list of EmittedToken
        All tokens of the step if ``list_tokens`` was set, else empty.
    """

    duration_s: float
    decoded: int = 0
    joined: list[ids.GenerationId] = []
    preempted: list[ids.GenerationId] = []
    finished: list[ids.GenerationId] = []
    emitted: list[EmittedToken] = []


class Sequence:
    """A request on the engine and its progress."""

    def __init__(self, request: EngineRequest, arrival: int) -> None:
        self.request = request
        self.arrival = arrival
        self.generated = request.start_offset
        self.prefill_left = 0
        self.joined_step: int | None = None
        self.private_blocks = 0
        self.shared_hashes: tuple[int, ...] = ()

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key of the queue; the highest rank is preempted first."""
        return (self.request.priority, self.arrival)

    @property
    def context_tokens(self) -> int:
        """Length of the context in tokens when the sequence entered the batch."""
        return self.request.prompt_tokens + self.generated

    def generated_at(self, step: int) -> int:
        """Return the number of tokens generated before the given step."""
        if self.joined_step is None:
            return self.generated
        return self.generated + step - self.joined_step


class EngineModel:
    """Simulated engine with limited memory.

    The computing time of a step depends only on what changes (admissions, prefill,
    completions, preemptions), not on the size of the batch, unless the caller asks for
    a list of the tokens.

    Parameters
    ----------
    settings : parameters.EngineParameters
        Size and speed.
    rng : random.Random
        Random numbers that decide which cache events are lost.
    """

    def __init__(
        self, settings: parameters.EngineParameters, rng: random.Random
    ) -> None:
        self.settings = settings
        self.memory = memory.BlockMemory(settings, rng)
        self.sequences: dict[ids.GenerationId, Sequence] = {}
        # A heap for each adapter, ordered by rank.
        self.waiting: dict[
            ids.AdapterName | None, list[tuple[tuple[int, int], Sequence]]
        ] = {}
        self.prefilling: list[Sequence] = []
        self.decoding: dict[ids.GenerationId, Sequence] = {}
        self.context_tokens = 0
        self.step_number = 0
        self.arrivals = 0
        self.preemptions = 0
        self.step_mean_s = settings.step_base_s
        # Number of decoding sequences that need a new block in a step, indexed by the
        # step number modulo the block size.
        self.block_phases = [0] * settings.block_tokens
        self.sequences_by_end: dict[int, list[Sequence]] = {}
        self.adapters: dict[ids.AdapterName, float] = {}
        self.ready_s = 0.0
        self.next_admission_s = 0.0
        self.snapshots: collections.deque[reports.LoadReport] = collections.deque(
            maxlen=MAX_SNAPSHOTS
        )

    @property
    def idle(self) -> bool:
        """Whether there are no requests, queued or running."""
        return not self.sequences

    def fits(self, request: EngineRequest) -> bool:
        """Return whether a request fits into the memory when it runs alone."""
        tokens = request.prompt_tokens + request.output_tokens
        return tokens <= self.settings.memory_blocks * self.settings.block_tokens

    def load_model(self, now_s: float) -> float:
        """Reload the model's weights and return the time when they are ready.

        Nothing is admitted before that time, and the prefix cache is cleared. The
        engine must be idle.
        """
        assert self.idle
        self.memory = memory.BlockMemory(self.settings, self.memory.rng)
        self.adapters.clear()
        self.ready_s = now_s + self.settings.model_load_s
        return self.ready_s

    def submit(self, request: EngineRequest) -> None:
        """Add a request to the engine's queue."""
        assert request.generation_id not in self.sequences
        assert request.start_offset < request.output_tokens
        assert self.fits(request)
        self.arrivals += 1
        sequence = Sequence(request, self.arrivals)
        self.sequences[request.generation_id] = sequence
        self.enqueue(sequence)

    def cancel(self, generation_id: ids.GenerationId) -> None:
        """Cancel a request; an unknown or complete one is ignored."""
        sequence = self.sequences.pop(generation_id, None)
        if sequence is None:
            return
        if sequence in self.prefilling or generation_id in self.decoding:
            self.remove_from_batch(sequence)
        else:
            queue = self.waiting[sequence.request.adapter]
            queue.remove((sequence.rank, sequence))
            heapq.heapify(queue)

    def step(self, now_s: float, list_tokens: bool = False) -> StepOutcome:
        """Run one step.

        Parameters
        ----------
        now_s : float
            Start time of the step, in seconds.
        list_tokens : bool
            Whether to fill ``emitted``, at a cost that grows with the batch.

        Returns
        -------
        StepOutcome
            Result, valid at the end of the step.
        """
        outcome = StepOutcome(0.0)
        self.admit(now_s)
        self.allocate_decode_blocks(now_s, outcome)
        outcome.decoded = len(self.decoding)
        if list_tokens:
            self.append_decoded_tokens(outcome)
        self.context_tokens += outcome.decoded
        prefilled = self.prefill(outcome, list_tokens)
        outcome.duration_s = self.settings.step_s(
            len(self.decoding), self.context_tokens, prefilled
        )
        self.step_number += 1
        self.remove_finished(outcome)
        self.step_mean_s += STEP_MEAN_WEIGHT * (outcome.duration_s - self.step_mean_s)
        self.record_snapshot(now_s + outcome.duration_s)
        return outcome

    def enqueue(self, sequence: Sequence) -> None:
        """Add a sequence to the queue of its adapter."""
        self.retry_admission()
        queue = self.waiting.setdefault(sequence.request.adapter, [])
        heapq.heappush(queue, (sequence.rank, sequence))

    def admit(self, now_s: float) -> None:
        """Move requests from the queues into the batch until memory runs out.

        Requests whose adapter is not loaded are skipped.
        """
        if now_s < self.next_admission_s:
            return
        blocked: set[ids.AdapterName | None] = set()
        while len(self.prefilling) + len(self.decoding) < self.settings.batch_limit:
            queue_heads = [
                (queue[0][0], adapter)
                for adapter, queue in self.waiting.items()
                if queue and adapter not in blocked
            ]
            if not queue_heads:
                break
            adapter = min(queue_heads, key=lambda head: head[0])[1]
            if not self.adapter_ready(adapter, now_s):
                blocked.add(adapter)
                continue
            sequence = self.waiting[adapter][0][1]
            if not self.allocate_prompt(sequence, now_s):
                break
            heapq.heappop(self.waiting[adapter])
            self.prefilling.append(sequence)
        # Nothing more can be admitted until a request is added or ends or an adapter
        # is loaded; a check in every step took a third of the benchmark's time.
        loading = [ready_s for ready_s in self.adapters.values() if ready_s > now_s]
        self.next_admission_s = min(loading, default=math.inf)

    def retry_admission(self) -> None:
        """Check the queues again in the next step, once the model is loaded."""
        self.next_admission_s = self.ready_s

    def allocate_prompt(self, sequence: Sequence, now_s: float) -> bool:
        """Allocate the blocks of a prompt; return False if memory is short."""
        hashes = sequence.request.prefix_hashes
        cached = self.memory.count_cached_blocks(hashes)
        block_tokens = self.settings.block_tokens
        private_tokens = sequence.context_tokens - len(hashes) * block_tokens
        private_count = -(-private_tokens // block_tokens)
        new_shared_count = sum(
            block not in self.memory.reference_counts for block in hashes
        )
        if private_count + new_shared_count > self.memory.available_blocks:
            return False
        self.memory.acquire_prefix(hashes, now_s)
        allocated = self.memory.allocate(private_count, now_s)
        assert allocated
        sequence.private_blocks = private_count
        sequence.shared_hashes = hashes
        # The last position is always computed, as its result is the next token.
        uncached = sequence.context_tokens - cached * block_tokens
        sequence.prefill_left = max(1, uncached)
        return True

    def adapter_ready(self, adapter: ids.AdapterName | None, now_s: float) -> bool:
        """Return whether an adapter is loaded; if not, load it into a free slot.

        An adapter that no running sequence uses is evicted when no slot is free.
        """
        if adapter is None:
            return True
        if adapter in self.adapters:
            ready_s = self.adapters.pop(adapter)
            self.adapters[adapter] = ready_s
            return ready_s <= now_s
        if len(self.adapters) >= self.settings.adapter_slots:
            running = [*self.prefilling, *self.decoding.values()]
            used = {sequence.request.adapter for sequence in running}
            idle = [name for name in self.adapters if name not in used]
            if not idle:
                return False
            del self.adapters[idle[0]]
        self.adapters[adapter] = now_s + self.settings.adapter_load_s
        return False

    def allocate_decode_blocks(self, now_s: float, outcome: StepOutcome) -> None:
        """Allocate the blocks for the next tokens; preempt when memory is full."""
        phase = self.step_number % self.settings.block_tokens
        while not self.memory.allocate(self.block_phases[phase], now_s):
            running = [*self.prefilling, *self.decoding.values()]
            victim = max(running, key=lambda sequence: sequence.rank)
            self.remove_from_batch(victim)
            self.preemptions += 1
            self.enqueue(victim)
            outcome.preempted.append(victim.request.generation_id)
        if self.block_phases[phase] == 0:
            return
        for sequence in self.decoding.values():
            if self.block_phase(sequence) == phase:
                sequence.private_blocks += 1

    def block_phase(self, sequence: Sequence) -> int:
        """Return the step, modulo the block size, in which a sequence needs a block."""
        first_decode = sequence.joined_step + 1
        return (first_decode - sequence.context_tokens) % self.settings.block_tokens

    def prefill(self, outcome: StepOutcome, list_tokens: bool) -> int:
        """Prefill up to one chunk of tokens; return the number prefilled."""
        budget = self.settings.prefill_chunk_tokens
        ready = 0
        for sequence in self.prefilling:
            if budget == 0:
                break
            computed = min(budget, sequence.prefill_left)
            sequence.prefill_left -= computed
            budget -= computed
            if sequence.prefill_left == 0:
                ready += 1
                self.start_decoding(sequence, outcome, list_tokens)
        del self.prefilling[:ready]
        return self.settings.prefill_chunk_tokens - budget

    def start_decoding(
        self, sequence: Sequence, outcome: StepOutcome, list_tokens: bool
    ) -> None:
        """Start to decode a prefilled sequence, which gets its next token here."""
        generation_id = sequence.request.generation_id
        outcome.joined.append(generation_id)
        if list_tokens:
            token = EmittedToken(generation_id, sequence.generated)
            outcome.emitted.append(token)
        self.context_tokens += sequence.context_tokens
        # The token that ends the prefill is written to memory in the next step.
        sequence.joined_step = self.step_number
        left = sequence.request.output_tokens - sequence.generated
        self.sequences_by_end.setdefault(self.step_number + left, []).append(sequence)
        self.decoding[generation_id] = sequence
        self.block_phases[self.block_phase(sequence)] += 1

    def append_decoded_tokens(self, outcome: StepOutcome) -> None:
        """Append the next token of each decoding sequence to the outcome."""
        for generation_id, sequence in self.decoding.items():
            offset = sequence.generated_at(self.step_number)
            outcome.emitted.append(EmittedToken(generation_id, offset))

    def remove_finished(self, outcome: StepOutcome) -> None:
        """Remove the complete sequences from the engine."""
        for sequence in self.sequences_by_end.get(self.step_number, []).copy():
            generation_id = sequence.request.generation_id
            self.remove_from_batch(sequence)
            del self.sequences[generation_id]
            outcome.finished.append(generation_id)
        self.sequences_by_end.pop(self.step_number, None)

    def remove_from_batch(self, sequence: Sequence) -> None:
        """Remove a sequence from the batch and free its memory."""
        self.retry_admission()
        self.memory.release(sequence.private_blocks, sequence.shared_hashes)
        sequence.private_blocks = 0
        sequence.shared_hashes = ()
        if sequence.joined_step is None:
            self.prefilling.remove(sequence)
            return
        del self.decoding[sequence.request.generation_id]
        self.block_phases[self.block_phase(sequence)] -= 1
        end = sequence.joined_step + sequence.request.output_tokens
        self.sequences_by_end[end - sequence.generated].remove(sequence)
        generated = sequence.generated_at(self.step_number)
        sequence.generated, sequence.joined_step = generated, None
        # The newest token is not in memory yet.
        self.context_tokens -= sequence.context_tokens - 1

    def generated_tokens(self, generation_id: ids.GenerationId) -> int:
        """Return the number of tokens generated for a generation on this engine."""
        return self.sequences[generation_id].generated_at(self.step_number)

    def record_snapshot(self, now_s: float) -> None:
        """Record a load report if the report interval has passed."""
        if self.snapshots:
            due_s = self.snapshots[-1].taken_at_s + self.settings.report_interval_s
            if now_s < due_s:
                return
        waiting = [entry[1] for queue in self.waiting.values() for entry in queue]
        waiting_tokens = sum(sequence.context_tokens for sequence in waiting)
        self.snapshots.append(
            reports.LoadReport(
                taken_at_s=now_s,
                running=len(self.prefilling) + len(self.decoding),
                waiting=len(waiting),
                memory_blocks=self.settings.memory_blocks,
                held_blocks=self.memory.held_blocks,
                block_tokens=self.settings.block_tokens,
                prefill_tokens=waiting_tokens
                + sum(sequence.prefill_left for sequence in self.prefilling),
                step_s=self.step_mean_s,
                preemptions=self.preemptions,
                adapters=tuple(self.adapters),
            )
        )

    def load_report(self, now_s: float) -> reports.LoadReport | None:
        """Return the newest load report whose publication delay has passed."""
        self.record_snapshot(now_s)
        published_s = now_s - self.settings.report_lag_s
        while len(self.snapshots) > 1 and self.snapshots[1].taken_at_s <= published_s:
            self.snapshots.popleft()
        if self.snapshots[0].taken_at_s > published_s:
            return None
        return self.snapshots[0]

    def cache_events(self, now_s: float) -> list[reports.CacheEvent]:
        """Return the newly published cache events; each is returned once."""
        return self.memory.due_events(now_s)

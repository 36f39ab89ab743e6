"""Model of an engine with continuous batches, in explicit steps without a clock.

A driver calls ``step`` whenever the engine is not idle and lets the returned duration
pass before the next call; the tokens of a step exist at its end. The benchmark passes
the time on an event heap, the HTTP stand-in by sleeping.
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
SNAPSHOT_LIMIT = 256


class EngineRequest(msgspec.Struct, frozen=True):
    """One generation that an engine is asked to run.

    Attributes
    ----------
    generation_id : ids.GenerationId
        Name of the generation; unique among those on the engine.
    prompt_tokens : int
        Length of the prompt.
    output_tokens : int
        Length of the whole output, known to the engine model only.
    prefix_hashes : tuple of int
        Hashes of the leading full blocks of the prompt.
    priority : int
        A lower number is served first and preempted last.
    adapter : ids.AdapterName or None
        Adapter that must be loaded.
    start_offset : int
        Tokens that were generated elsewhere; they are prefilled, not emitted again.
    """

    generation_id: ids.GenerationId
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    priority: int = 0
    adapter: ids.AdapterName | None = None
    start_offset: int = 0


class EmittedToken(msgspec.Struct, frozen=True):
    """One token of one generation; the first has offset 0."""

    generation_id: ids.GenerationId
    offset: int


class StepOutcome(msgspec.Struct):
    """What one step did.

    Attributes
    ----------
    duration_s : float
        Time that the step takes.
    decoded : int
        Sequences that were in the batch before and got their next token.
    joined : list of ids.GenerationId
        Sequences whose prefill ended here, each with its first token since then.
    preempted, finished : list of ids.GenerationId
        Sequences that were put out for lack of memory, and that are complete.
    emitted : list of EmittedToken
        All tokens of the step, where the caller asked for them.
    """

    duration_s: float
    decoded: int = 0
    joined: list[ids.GenerationId] = []
    preempted: list[ids.GenerationId] = []
    finished: list[ids.GenerationId] = []
    emitted: list[EmittedToken] = []


class Sequence:
    """A request on the engine and how far it has come."""

    def __init__(self, request: EngineRequest, arrival: int) -> None:
        self.request = request
        self.arrival = arrival
        self.generated = request.start_offset
        self.prefill_left = 0
        self.joined_step: int | None = None
        self.private_blocks = 0
        self.shared: tuple[int, ...] = ()

    @property
    def rank(self) -> tuple[int, int]:
        """Order of service; the highest is preempted first."""
        return (self.request.priority, self.arrival)

    @property
    def context_tokens(self) -> int:
        """Tokens of context when the sequence (re)starts."""
        return self.request.prompt_tokens + self.generated

    def generated_at(self, step: int) -> int:
        """Return the tokens generated before the given step."""
        if self.joined_step is None:
            return self.generated
        return self.generated + step - self.joined_step


class EngineModel:
    """An engine with limited memory, driven step by step.

    A step costs time only in what changes (admissions, prefill, ends, preemptions),
    not in the size of the batch, unless the caller asks for each token.

    Parameters
    ----------
    settings : parameters.EngineParameters
        Size and speed.
    generator : random.Random
        Decides which cache events are lost.
    """

    def __init__(
        self, settings: parameters.EngineParameters, generator: random.Random
    ) -> None:
        self.settings = settings
        self.memory = memory.BlockMemory(settings, generator)
        self.sequences: dict[ids.GenerationId, Sequence] = {}
        # A queue for each adapter, by rank.
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
        # Decoding sequences that need a block at a step, by step modulo block size.
        self.block_phases = [0] * settings.block_tokens
        self.ends: dict[int, list[Sequence]] = {}
        self.adapters: dict[ids.AdapterName, float] = {}
        self.ready_s = 0.0
        self.next_admission_s = 0.0
        self.snapshots: collections.deque[reports.LoadReport] = collections.deque(
            maxlen=SNAPSHOT_LIMIT
        )

    @property
    def idle(self) -> bool:
        """Whether there is nothing to run."""
        return not self.sequences

    def fits(self, request: EngineRequest) -> bool:
        """Return whether a request would ever fit in the memory, alone."""
        tokens = request.prompt_tokens + request.output_tokens
        return tokens <= self.settings.memory_blocks * self.settings.block_tokens

    def load_model(self, now_s: float) -> float:
        """Load weights anew and return when that is done; nothing is admitted before.

        The driver empties the engine first; the prefix cache is gone.
        """
        assert self.idle
        self.memory = memory.BlockMemory(self.settings, self.memory.generator)
        self.adapters.clear()
        self.ready_s = now_s + self.settings.model_load_s
        return self.ready_s

    def submit(self, request: EngineRequest) -> None:
        """Put a request into the engine's queue."""
        assert request.generation_id not in self.sequences
        assert request.start_offset < request.output_tokens
        assert self.fits(request)
        self.arrivals += 1
        sequence = Sequence(request, self.arrivals)
        self.sequences[request.generation_id] = sequence
        self.enqueue(sequence)

    def cancel(self, generation_id: ids.GenerationId) -> None:
        """Drop a request; one that is unknown or complete is ignored."""
        sequence = self.sequences.pop(generation_id, None)
        if sequence is None:
            return
        if sequence in self.prefilling or generation_id in self.decoding:
            self.leave_batch(sequence)
        else:
            queue = self.waiting[sequence.request.adapter]
            queue.remove((sequence.rank, sequence))
            heapq.heapify(queue)

    def step(self, now_s: float, list_tokens: bool = False) -> StepOutcome:
        """Run one step that begins now.

        Parameters
        ----------
        now_s : float
            Time at the beginning of the step, in seconds.
        list_tokens : bool
            Whether to fill ``emitted``, which takes time for each sequence.

        Returns
        -------
        StepOutcome
            What is true at the end of the step.
        """
        outcome = StepOutcome(0.0)
        self.admit(now_s)
        self.make_room(now_s, outcome)
        outcome.decoded = len(self.decoding)
        if list_tokens:
            self.list_decoded(outcome)
        self.context_tokens += outcome.decoded
        prefilled = self.prefill(outcome, list_tokens)
        outcome.duration_s = self.settings.step_s(
            len(self.decoding), self.context_tokens, prefilled
        )
        self.step_number += 1
        self.finish(outcome)
        self.step_mean_s += STEP_MEAN_WEIGHT * (outcome.duration_s - self.step_mean_s)
        self.record_snapshot(now_s + outcome.duration_s)
        return outcome

    def enqueue(self, sequence: Sequence) -> None:
        """Put a sequence into the queue of its adapter."""
        self.allow_admission()
        queue = self.waiting.setdefault(sequence.request.adapter, [])
        heapq.heappush(queue, (sequence.rank, sequence))

    def admit(self, now_s: float) -> None:
        """Move requests from the queue into the batch while memory lasts.

        Requests whose adapter is not loaded are passed over.
        """
        if now_s < self.next_admission_s:
            return
        blocked: set[ids.AdapterName | None] = set()
        while len(self.prefilling) + len(self.decoding) < self.settings.batch_limit:
            heads = [
                (queue[0][0], adapter)
                for adapter, queue in self.waiting.items()
                if queue and adapter not in blocked
            ]
            if not heads:
                break
            adapter = min(heads, key=lambda head: head[0])[1]
            if not self.adapter_ready(adapter, now_s):
                blocked.add(adapter)
                continue
            sequence = self.waiting[adapter][0][1]
            if not self.take_memory(sequence, now_s):
                break
            heapq.heappop(self.waiting[adapter])
            self.prefilling.append(sequence)
        # Nothing more can be admitted until a request comes or goes or an adapter is
        # loaded; to look again at each step took a third of the benchmark's time.
        loading = [ready_s for ready_s in self.adapters.values() if ready_s > now_s]
        self.next_admission_s = min(loading, default=math.inf)

    def allow_admission(self) -> None:
        """Look at the queue again in the next step, once the model is loaded."""
        self.next_admission_s = self.ready_s

    def take_memory(self, sequence: Sequence, now_s: float) -> bool:
        """Allocate the blocks of a prompt; return False if there's no room."""
        hashes = sequence.request.prefix_hashes
        cached = self.memory.count_cached_blocks(hashes)
        block_tokens = self.settings.block_tokens
        private_tokens = sequence.context_tokens - len(hashes) * block_tokens
        private = -(-private_tokens // block_tokens)
        fresh = sum(block not in self.memory.users for block in hashes)
        if private + fresh > self.memory.available_blocks:
            return False
        self.memory.share(hashes, now_s)
        allocated = self.memory.allocate(private, now_s)
        assert allocated
        sequence.private_blocks = private
        sequence.shared = hashes
        # The last position is always computed, as its result is the next token.
        uncached = sequence.context_tokens - cached * block_tokens
        sequence.prefill_left = max(1, uncached)
        return True

    def adapter_ready(self, adapter: ids.AdapterName | None, now_s: float) -> bool:
        """Return whether an adapter is loaded; start to load it if there's a slot."""
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

    def make_room(self, now_s: float, outcome: StepOutcome) -> None:
        """Allocate the blocks that decoding needs, preempting when memory is full."""
        phase = self.step_number % self.settings.block_tokens
        while not self.memory.allocate(self.block_phases[phase], now_s):
            running = [*self.prefilling, *self.decoding.values()]
            victim = max(running, key=lambda sequence: sequence.rank)
            self.leave_batch(victim)
            self.preemptions += 1
            self.enqueue(victim)
            outcome.preempted.append(victim.request.generation_id)
        if self.block_phases[phase] == 0:
            return
        for sequence in self.decoding.values():
            if self.phase_of(sequence) == phase:
                sequence.private_blocks += 1

    def phase_of(self, sequence: Sequence) -> int:
        """Return the step, modulo block size, at which a sequence needs a block."""
        first_decode = sequence.joined_step + 1
        return (first_decode - sequence.context_tokens) % self.settings.block_tokens

    def prefill(self, outcome: StepOutcome, list_tokens: bool) -> int:
        """Compute prompt tokens up to the chunk; return how many."""
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
                self.join(sequence, outcome, list_tokens)
        del self.prefilling[:ready]
        return self.settings.prefill_chunk_tokens - budget

    def join(self, sequence: Sequence, outcome: StepOutcome, list_tokens: bool) -> None:
        """Begin to decode a sequence whose prompt is computed, with its next token."""
        generation_id = sequence.request.generation_id
        outcome.joined.append(generation_id)
        if list_tokens:
            token = EmittedToken(generation_id, sequence.generated)
            outcome.emitted.append(token)
        self.context_tokens += sequence.context_tokens
        # The token that ends the prefill is in memory only from the next step on.
        sequence.joined_step = self.step_number
        left = sequence.request.output_tokens - sequence.generated
        self.ends.setdefault(self.step_number + left, []).append(sequence)
        self.decoding[generation_id] = sequence
        self.block_phases[self.phase_of(sequence)] += 1

    def list_decoded(self, outcome: StepOutcome) -> None:
        """Add the next token of each decoding sequence to the outcome."""
        for generation_id, sequence in self.decoding.items():
            offset = sequence.generated_at(self.step_number)
            outcome.emitted.append(EmittedToken(generation_id, offset))

    def finish(self, outcome: StepOutcome) -> None:
        """Take the complete sequences out of the batch."""
        for sequence in self.ends.get(self.step_number, []).copy():
            generation_id = sequence.request.generation_id
            self.leave_batch(sequence)
            del self.sequences[generation_id]
            outcome.finished.append(generation_id)
        self.ends.pop(self.step_number, None)

    def leave_batch(self, sequence: Sequence) -> None:
        """Take a sequence out of the batch and free its memory."""
        self.allow_admission()
        self.memory.release(sequence.private_blocks, sequence.shared)
        sequence.private_blocks = 0
        sequence.shared = ()
        if sequence.joined_step is None:
            self.prefilling.remove(sequence)
            return
        del self.decoding[sequence.request.generation_id]
        self.block_phases[self.phase_of(sequence)] -= 1
        end = sequence.joined_step + sequence.request.output_tokens
        self.ends[end - sequence.generated].remove(sequence)
        generated = sequence.generated_at(self.step_number)
        sequence.generated, sequence.joined_step = generated, None
        # The newest token was not yet written to memory.
        self.context_tokens -= sequence.context_tokens - 1

    def generated_tokens(self, generation_id: ids.GenerationId) -> int:
        """Return how many tokens of a generation on this engine exist."""
        return self.sequences[generation_id].generated_at(self.step_number)

    def record_snapshot(self, now_s: float) -> None:
        """Record the present state if the report interval has passed."""
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
        """Return the newest state that is old enough to be published, if any."""
        self.record_snapshot(now_s)
        published_s = now_s - self.settings.report_lag_s
        while len(self.snapshots) > 1 and self.snapshots[1].taken_at_s <= published_s:
            self.snapshots.popleft()
        if self.snapshots[0].taken_at_s > published_s:
            return None
        return self.snapshots[0]

    def cache_events(self, now_s: float) -> list[reports.CacheEvent]:
        """Return the cache events that are published by now, each once."""
        return self.memory.due_events(now_s)

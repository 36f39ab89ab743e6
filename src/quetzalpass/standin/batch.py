"""Runs the engine model in real time on the event loop."""

import asyncio
import collections
import random

from quetzalpass import ids
from quetzalpass.lifecycle import requests
from quetzalpass.routing import reports
from quetzalpass.standin import engine, generations, parameters, settings, weights

BLOCK_TOKENS = 16
MAX_RETAINED_EVENTS = 4_096


def model_parameters(config: settings.StandinSettings) -> parameters.EngineParameters:
    """Convert the settings of a stand-in to parameters of the engine model.

    Step durations are scaled so that a sequence that runs alone gets one token every
    ``token_s`` seconds.
    """
    standard = parameters.EngineParameters()
    return parameters.EngineParameters(
        block_tokens=BLOCK_TOKENS,
        memory_blocks=config.memory_tokens // BLOCK_TOKENS,
        batch_limit=config.max_batch,
        report_lag_s=config.report_lag_s,
        event_lag_s=config.event_lag_s,
        event_loss=config.event_loss,
        adapter_load_s=config.load_s * weights.ADAPTER_LOAD_SHARE,
        slowdown=config.token_s / standard.step_s(1, 0, 0),
    )


class BatchRunner:
    """Runs the steps of the engine model and passes its tokens to the generations.

    Parameters
    ----------
    config : settings.StandinSettings
        Size and speed. The id seeds the random loss of cache events.

    Attributes
    ----------
    active_generations : dict of GenerationId to RunningGeneration
        Generations that are queued or in the batch.
    events : deque of reports.CacheEvent
        The most recently published cache events.
    """

    def __init__(self, config: settings.StandinSettings) -> None:
        self.model = engine.EngineModel(
            model_parameters(config), random.Random(str(config.id))
        )
        self.active_generations: dict[
            ids.GenerationId, generations.RunningGeneration
        ] = {}
        self.events: collections.deque[reports.CacheEvent] = collections.deque(
            maxlen=MAX_RETAINED_EVENTS
        )
        self.submitted = asyncio.Event()

    def submit(
        self,
        generation: generations.RunningGeneration,
        priority: int,
        adapter: ids.AdapterName | None,
    ) -> bool:
        """Queue a generation; return False if it can never fit into the memory.

        Parameters
        ----------
        generation : generations.RunningGeneration
            Generation to run; nothing is queued if it is complete.
        priority : int
            A higher number is served first.
        adapter : AdapterName or None
            Adapter that must be loaded before the generation can run.
        """
        self.cancel(generation.id)
        if generation.finished():
            return True
        request = engine.EngineRequest(
            generation.id,
            requests.estimate_prompt_tokens(generation.prompt),
            generation.length,
            requests.hash_prefix_blocks(generation.prompt),
            -priority,
            adapter,
            generation.produced,
        )
        if not self.model.fits(request):
            return False
        self.model.submit(request)
        self.active_generations[generation.id] = generation
        self.submitted.set()
        return True

    def cancel(self, generation_id: ids.GenerationId) -> None:
        """Cancel a generation; an unknown or complete one is ignored."""
        self.active_generations.pop(generation_id, None)
        self.model.cancel(generation_id)

    async def run(self) -> None:
        """Run steps while there is work, sleeping for the duration of each."""
        loop = asyncio.get_running_loop()
        while True:
            while self.model.idle:
                self.submitted.clear()
                await self.submitted.wait()
            started_s = loop.time()
            outcome = self.model.step(started_s, list_tokens=True)
            generations_in_step = dict(self.active_generations)
            ends_s = started_s + outcome.duration_s
            await asyncio.sleep(max(0.0, ends_s - loop.time()))
            for token in outcome.emitted:
                self.deliver_token(token, generations_in_step)
            for generation_id in outcome.finished:
                if self.active_generations.get(
                    generation_id
                ) is generations_in_step.get(generation_id):
                    self.active_generations.pop(generation_id, None)

    def deliver_token(
        self,
        token: engine.EmittedToken,
        generations_in_step: dict[ids.GenerationId, generations.RunningGeneration],
    ) -> None:
        """Add a token to its generation, unless that was cancelled during the step."""
        generation = self.active_generations.get(token.generation_id)
        if (
            generation is None
            or generation is not generations_in_step[token.generation_id]
        ):
            return
        assert token.offset == generation.produced
        generation.produce(1)

    def load_report(self, now_s: float) -> reports.LoadReport | None:
        """Return the newest load report whose publication delay has passed."""
        return self.model.load_report(now_s)

    def cache_events(self, now_s: float, after: int) -> tuple[reports.CacheEvent, ...]:
        """Return the published cache events after a sequence number."""
        self.events.extend(self.model.cache_events(now_s))
        return tuple(each for each in self.events if each.sequence > after)

"""The engine model, driven by the clock of the running loop."""

import asyncio
import collections
import random

from quetzalpass import ids
from quetzalpass.lifecycle import requests
from quetzalpass.routing import reports
from quetzalpass.standin import engine, generations, parameters, settings, weights

BLOCK_TOKENS = 16
KEPT_EVENTS = 4_096


def parameters_of(config: settings.StandinSettings) -> parameters.EngineParameters:
    """Return the engine model's parameters for the settings of a stand-in.

    All durations of a step are scaled so that a sequence that runs alone gets a token
    every ``token_s``.
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


class Batch:
    """Runs the engine model and gives its tokens to the generations.

    Parameters
    ----------
    config : settings.StandinSettings
        Size and speed; the id seeds the loss of cache events.

    Attributes
    ----------
    members : dict of GenerationId to RunningGeneration
        Generations that are not complete.
    events : deque of reports.CacheEvent
        The latest published cache events.
    """

    def __init__(self, config: settings.StandinSettings) -> None:
        self.model = engine.EngineModel(
            parameters_of(config), random.Random(str(config.id))
        )
        self.members: dict[ids.GenerationId, generations.RunningGeneration] = {}
        self.events: collections.deque[reports.CacheEvent] = collections.deque(
            maxlen=KEPT_EVENTS
        )
        self.arrived = asyncio.Event()

    def submit(
        self,
        generation: generations.RunningGeneration,
        priority: int,
        adapter: ids.AdapterName | None,
    ) -> bool:
        """Queue a generation; return whether it fits into the memory at all.

        Parameters
        ----------
        generation : generations.RunningGeneration
            What to run; nothing is queued if it is complete.
        priority : int
            Larger goes first.
        adapter : AdapterName or None
            Adapter that must be loaded.
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
        self.members[generation.id] = generation
        self.arrived.set()
        return True

    def cancel(self, generation_id: ids.GenerationId) -> None:
        """Take a generation out; one that is unknown or complete is ignored."""
        self.members.pop(generation_id, None)
        self.model.cancel(generation_id)

    async def run(self) -> None:
        """Run steps while there is work, each for as long as the model says."""
        loop = asyncio.get_running_loop()
        while True:
            while self.model.idle:
                self.arrived.clear()
                await self.arrived.wait()
            started_s = loop.time()
            outcome = self.model.step(started_s, list_tokens=True)
            stepping = dict(self.members)
            ends_s = started_s + outcome.duration_s
            await asyncio.sleep(max(0.0, ends_s - loop.time()))
            for token in outcome.emitted:
                self.give(token, stepping)
            for generation_id in outcome.finished:
                if self.members.get(generation_id) is stepping.get(generation_id):
                    self.members.pop(generation_id, None)

    def give(
        self,
        token: engine.EmittedToken,
        stepping: dict[ids.GenerationId, generations.RunningGeneration],
    ) -> None:
        """Give a token to its generation, unless that was cancelled meanwhile."""
        generation = self.members.get(token.generation_id)
        if generation is None or generation is not stepping[token.generation_id]:
            return
        assert token.offset == generation.produced
        generation.produce(1)

    def load_report(self, now_s: float) -> reports.LoadReport | None:
        """Return the newest state that is old enough to be published, if any."""
        return self.model.load_report(now_s)

    def cache_events(self, now_s: float, after: int) -> tuple[reports.CacheEvent, ...]:
        """Return the published cache events behind a sequence number."""
        self.events.extend(self.model.cache_events(now_s))
        return tuple(each for each in self.events if each.sequence > after)

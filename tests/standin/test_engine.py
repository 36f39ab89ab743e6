import random

import hypothesis
import msgspec
from hypothesis import strategies

from quetzalpass import ids
from quetzalpass.standin import engine, parameters

SMALL_ENGINE = parameters.EngineParameters(
    block_tokens=4, memory_blocks=20, batch_limit=8, prefill_chunk_tokens=8
)


def request(name, prompt=8, output=10, **rest):
    return engine.EngineRequest(ids.GenerationId(name), prompt, output, **rest)


def run(model, now_s=0.0, limit=5000):
    tokens, preempted = {}, 0
    for _ in range(limit):
        if model.idle:
            break
        outcome = model.step(now_s, list_tokens=True)
        assert outcome.decoded + len(outcome.joined) == len(outcome.emitted)
        check_memory(model)
        preempted += len(outcome.preempted)
        now_s += outcome.duration_s
        for token in outcome.emitted:
            tokens.setdefault(token.generation_id, []).append(token.offset)
    assert model.idle
    return tokens, preempted


def check_memory(model):
    blocks = model.settings.block_tokens
    assert 0 <= model.memory.held_blocks <= model.settings.memory_blocks
    private = sum(item.private_blocks for item in model.sequences.values())
    assert private == model.memory.private_blocks
    context = 0
    for item in model.decoding.values():
        # The newest token is written to memory in the next step.
        written = item.request.prompt_tokens
        written += item.generated_at(model.step_number) - 1
        context += written
        held = (item.private_blocks + len(item.shared_hashes)) * blocks
        assert written <= held < written + blocks
    assert context == model.context_tokens


class TestTokens:
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 30),
                strategies.integers(1, 40),
                strategies.integers(0, 2),
                strategies.integers(0, 7),
            ),
            min_size=1,
            max_size=12,
        )
    )
    @hypothesis.settings(max_examples=60, deadline=None)
    def test_every_offset_is_emitted_once_and_in_order(self, shapes):
        model = engine.EngineModel(SMALL_ENGINE, random.Random(1))
        for number, (prompt, output, priority, shared) in enumerate(shapes):
            hashes = tuple(range(min(shared, prompt // 4)))
            model.submit(
                request(
                    str(number), prompt, output, priority=priority, prefix_hashes=hashes
                )
            )
        tokens, _ = run(model)
        for number, (_, output, _, _) in enumerate(shapes):
            assert tokens[str(number)] == list(range(output))
        assert model.memory.held_blocks == 0

    def test_resume_emits_only_missing_tokens(self):
        model = engine.EngineModel(SMALL_ENGINE, random.Random(1))
        model.submit(request("a", output=9, start_offset=6))
        assert run(model)[0] == {"a": [6, 7, 8]}

    def test_cancel_frees_memory(self):
        model = engine.EngineModel(SMALL_ENGINE, random.Random(1))
        for name in "abcdef":
            model.submit(request(name, prompt=12, output=40))
        for _ in range(5):
            model.step(0.0)
        for name in "fedcba":
            model.cancel(name)
            check_memory(model)
        assert model.idle
        assert model.memory.held_blocks == 0


class TestMemory:
    def test_lowest_priority_is_preempted_when_decoding_fills_memory(self):
        model = engine.EngineModel(SMALL_ENGINE, random.Random(1))
        model.submit(request("urgent", prompt=8, output=60, priority=0))
        model.submit(request("late", prompt=8, output=60, priority=5))
        preempted = []
        while not model.idle:
            preempted += model.step(0.0).preempted
        assert set(preempted) == {"late"}

    def test_cached_prefix_shortens_the_step(self):
        model = engine.EngineModel(SMALL_ENGINE, random.Random(1))
        model.submit(request("a", output=1, prefix_hashes=(1,)))
        cold = model.step(0.0).duration_s
        model.submit(request("b", output=1, prefix_hashes=(1,)))
        assert model.step(0.0).duration_s < cold


class TestReports:
    def test_report_and_events_are_delayed_and_events_are_lost(self):
        settings = msgspec.structs.replace(SMALL_ENGINE, event_loss=0.5)
        model = engine.EngineModel(settings, random.Random(1))
        for number in range(40):
            model.submit(request(str(number), output=2, prefix_hashes=(number,)))
        now_s = 0.0
        assert model.load_report(now_s) is None
        assert model.cache_events(now_s) == []
        while not model.idle:
            now_s += model.step(now_s).duration_s
        report = model.load_report(now_s)
        assert report.taken_at_s <= now_s - settings.report_lag_s
        assert report.waiting > 0
        sequences = [event.sequence for event in model.cache_events(now_s + 1)]
        assert sequences == sorted(set(sequences))
        assert len(sequences) < sequences[-1]

    def test_requests_wait_until_model_and_adapter_are_loaded(self):
        model = engine.EngineModel(SMALL_ENGINE, random.Random(1))
        ready_s = model.load_model(0.0)
        model.submit(request("a", output=1, adapter=ids.AdapterName("x")))
        now_s = 0.0
        while not model.idle:
            now_s += model.step(now_s).duration_s
        assert now_s >= ready_s + SMALL_ENGINE.adapter_load_s

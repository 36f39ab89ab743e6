import asyncio
import itertools
import pathlib
import socket

import pytest
from hypothesis import given, settings, strategies

from quetzalpass import background
from quetzalpass.declarations import schema
from quetzalpass.metrics import buckets, flusher, labels, recorder, sender, series
from quetzalpass.results import codes
from quetzalpass.settings import schema as settings_schema


def make_declaration(count, classes=("drafts",)):
    return schema.Declaration(
        organisations=tuple(
            schema.Organisation(f"o{index}", (), tokens_per_s=float(index + 1))
            for index in range(count)
        ),
        classes=tuple(schema.PriorityClass(name) for name in classes),
    )


class RecordingSender(sender.Sender):
    def __init__(self):
        self.sent = []

    def send(self, flushed_series, results, preemptions):
        series_labels = (flushed_series.organisation, flushed_series.class_name)
        self.sent.append(
            (series_labels, flushed_series.summaries, results, preemptions)
        )

    def close(self):
        pass


class FailingSender(RecordingSender):
    """Raises each of its errors once."""

    def __init__(self, errors):
        super().__init__()
        self.errors = errors

    def send(self, flushed_series, results, preemptions):
        if self.errors:
            raise self.errors.pop(0)
        super().send(flushed_series, results, preemptions)


class TestDurationBuckets:
    @settings(derandomize=True, max_examples=300)
    @given(strategies.floats(0.0, buckets.MAX_DURATION_S))
    def test_bucket_midpoint_is_within_two_per_cent(self, seconds):
        durations = buckets.DurationBuckets()
        durations.observe(seconds)
        index = durations.counts.index(1)
        expected_us = int(seconds * 1e6)
        assert (
            abs(buckets.bucket_midpoint_us(index) - expected_us) <= 0.02 * expected_us
        )

    @pytest.mark.parametrize("seconds", [-5.0, -0.001, 0.0])
    def test_negative_durations_count_as_zero(self, seconds):
        durations = buckets.DurationBuckets()
        durations.observe(seconds)
        assert durations.counts[0] == 1

    def test_durations_above_the_maximum_count_as_the_maximum(self):
        durations = buckets.DurationBuckets()
        durations.observe(1e9, 3)
        target = buckets.make_histogram()
        durations.flush_into(target)
        assert target.get_total_count() == 3
        assert target.get_max_value() >= 0.98 * buckets.MAX_DURATION_US
        assert sum(durations.counts) == 0


class TestLabels:
    def test_only_the_largest_organisations_have_own_labels(self):
        metric_labels = labels.Labels(make_declaration(3_000), max_organisations=50)
        assert metric_labels.organisation("o2999") == "o2999"
        assert metric_labels.organisation("o2949") == labels.OTHER
        assert len(metric_labels.organisations) == 50

    def test_unsafe_names_are_sanitized(self):
        assert labels.safe_name("a.b:1|c\nd") == "a_b_1_c_d"
        assert len(labels.safe_name("x" * 1_000)) == labels.MAX_NAME_LENGTH

    def test_undeclared_class_has_no_own_label(self):
        metric_labels = labels.Labels(make_declaration(1))
        assert metric_labels.priority_class("drafts") == "drafts"
        assert metric_labels.priority_class("made-up") == labels.OTHER


class TestRecorder:
    def test_number_of_series_is_bounded(self):
        metrics_recorder = recorder.Recorder(max_organisations=5)
        metrics_recorder.use_declaration(make_declaration(100))
        for index in range(1_000):
            metrics_recorder.observe_queue_time(f"o{index}", f"class-{index}", 0.1)
        assert len(metrics_recorder.series_by_labels) == 6
        assert len(metrics_recorder.series_by_caller) == 5

    def test_snapshot_contains_percentiles_and_counts(self):
        metrics_recorder = recorder.Recorder()
        metrics_recorder.use_declaration(make_declaration(1))
        for _ in range(99):
            metrics_recorder.observe_token_gap("o0", "drafts", 0.062)
        metrics_recorder.observe_token_gap("o0", "drafts", 2.0)
        metrics_recorder.count_preemption("o0", "drafts")
        metrics_recorder.count_result("o0", "drafts", codes.Code.OK)
        list(metrics_recorder.get_series("o0", "drafts").summarise())
        (recorded,) = metrics_recorder.snapshot().series
        (summary,) = recorded.summaries
        assert summary.duration is series.Duration.TOKEN_GAP
        assert summary.count == 100
        assert summary.p50_ms == pytest.approx(62, rel=0.03)
        assert summary.p999_ms == pytest.approx(2_000, rel=0.03)
        assert recorded.preemptions == 1
        assert recorded.results == (series.ResultCount(codes.Code.OK, 1),)


@pytest.mark.looptime
class TestFlusher:
    async def test_each_interval_is_sent_once(self):
        metrics_recorder = recorder.Recorder()
        metrics_recorder.use_declaration(make_declaration(1))
        target = RecordingSender()
        task = asyncio.create_task(flusher.Flusher(metrics_recorder, target).run())
        metrics_recorder.observe_queue_time("o0", "drafts", 0.5)
        metrics_recorder.count_result("o0", "drafts", codes.Code.OK)
        await asyncio.sleep(flusher.FLUSH_INTERVAL_S + 1)
        await asyncio.sleep(flusher.FLUSH_INTERVAL_S)
        task.cancel()
        first, second = target.sent
        assert first[0] == ("o0", "drafts")
        assert first[1][0].count == 1
        assert first[2] == (series.ResultCount(codes.Code.OK, 1),)
        assert second[1:] == ((), (), 0)

    async def test_flushes_go_on_after_the_sender_has_failed(self):
        metrics_recorder = recorder.Recorder()
        metrics_recorder.use_declaration(make_declaration(1))
        target = FailingSender([OSError("no descriptors"), RuntimeError("no thread")])
        flushing = flusher.Flusher(metrics_recorder, target)
        task = background.start("metrics", flushing.run)
        for _ in range(3):
            metrics_recorder.count_result("o0", "drafts", codes.Code.OK)
            await asyncio.sleep(flusher.FLUSH_INTERVAL_S + 2)
        task.cancel()
        assert not target.errors
        assert target.sent

    async def test_undeclared_series_are_dropped_when_idle(self):
        metrics_recorder = recorder.Recorder()
        metrics_recorder.use_declaration(make_declaration(1))
        metrics_recorder.observe_queue_time("o0", "drafts", 0.5)
        metrics_recorder.use_declaration(make_declaration(0))
        flush = flusher.Flusher(metrics_recorder, RecordingSender()).flush
        await flush()
        assert len(metrics_recorder.series_by_labels) == 1
        await flush()
        assert metrics_recorder.series_by_labels == {}

    async def test_costly_flushes_are_less_frequent(self, monkeypatch):
        metrics_recorder = recorder.Recorder()
        clock = itertools.count(0, 0.1)
        monkeypatch.setattr(flusher.time, "thread_time", lambda: next(clock))
        metrics_recorder.observe_queue_time("o0", "drafts", 0.5)
        target = RecordingSender()
        cost_s = await flusher.Flusher(metrics_recorder, target).flush()
        task = asyncio.create_task(flusher.Flusher(metrics_recorder, target).run())
        await asyncio.sleep(
            flusher.FLUSH_INTERVAL_S + cost_s / flusher.MAX_CPU_SHARE - 1
        )
        assert len(target.sent) == 2
        await asyncio.sleep(2)
        task.cancel()
        assert len(target.sent) == 3


class TestStatsdSender:
    def test_datagrams_carry_names_and_values(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(("127.0.0.1", 0))
            receiver.settimeout(5.0)
            port = receiver.getsockname()[1]
            target = sender.make_sender(settings_schema.Statsd("127.0.0.1", port))
            flushed_series = series.Series("kade", "drafts")
            flushed_series.queue_time.observe(0.1)
            list(flushed_series.summarise())
            results = (series.ResultCount(codes.Code.QUEUE_FULL, 2),)
            target.send(flushed_series, results, 1)
            lines = receiver.recv(1_000).decode().split("\n")
            target.close()
        assert "quetzalpass.kade.drafts.queue_time.count:1|c" in lines
        assert "quetzalpass.kade.drafts.result.202:2|c" in lines
        assert "quetzalpass.kade.drafts.preemptions:1|c" in lines


class TestMetricsPage:
    def test_page_lists_all_durations_and_limits(self):
        text = (pathlib.Path(__file__).parents[2] / "docs/metrics.md").read_text()
        for duration in series.Duration:
            assert f"`{duration.value}.*`" in text
        assert f"{labels.MAX_ORGANISATIONS} organisations" in text
        assert f"first {labels.MAX_CLASSES} classes" in text
        assert f"every {flusher.FLUSH_INTERVAL_S:g} seconds" in text

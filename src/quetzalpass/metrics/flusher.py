"""Periodic flush: counts into histograms, and their percentiles to statsd."""

import asyncio
import time

import logbook

from quetzalpass.metrics import recorder, sender, series

LOG = logbook.Logger("metrics")

FLUSH_INTERVAL_S = 10.0
MAX_CPU_SHARE = 0.005


class Flusher:
    """Flushes a recorder at intervals.

    If a flush is costly, the next one is delayed, so that flushes take no more than
    ``MAX_CPU_SHARE`` of a core.

    Parameters
    ----------
    source : recorder.Recorder
        Recorder to flush.
    target : sender.Sender
        Sender of the flushed metrics.
    interval_s : float
        Minimum time between two flushes, in seconds.
    """

    def __init__(
        self,
        source: recorder.Recorder,
        target: sender.Sender,
        interval_s: float = FLUSH_INTERVAL_S,
    ) -> None:
        self.source = source
        self.target = target
        self.interval_s = interval_s

    async def run(self) -> None:
        """Flush forever; log a flush that fails and continue with the next one."""
        cost_s = 0.0
        while True:
            await asyncio.sleep(max(self.interval_s, cost_s / MAX_CPU_SHARE))
            try:
                cost_s = await self.flush()
            except OSError as error:
                LOG.warning("metrics: A flush failed: {}.", error)

    async def flush(self) -> float:
        """Flush every series once.

        Yields to the event loop after each histogram: computing all of them without
        a pause would delay the streams' tokens.

        Returns
        -------
        float
            CPU time of the flush itself, in seconds.
        """
        cost_s = 0.0
        for flushed_series in list(self.source.series_by_labels.values()):
            started_s = time.thread_time()
            for _ in flushed_series.summarise():
                cost_s += time.thread_time() - started_s
                await asyncio.sleep(0)
                started_s = time.thread_time()
            self.send(flushed_series)
            cost_s += time.thread_time() - started_s
        return cost_s

    def send(self, flushed_series: series.Series) -> None:
        """Send one series; drop it if it had no activity and is no longer declared."""
        results = flushed_series.new_results()
        preemptions = flushed_series.new_preemptions()
        self.target.send(flushed_series, results, preemptions)
        if not (flushed_series.summaries or results or preemptions):
            self.source.drop_if_undeclared(flushed_series)

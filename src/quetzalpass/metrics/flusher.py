"""Periodic flush: buckets into histograms, percentiles to statsd."""

import asyncio
import time

import logbook

from quetzalpass.metrics import recorder, sender, series

LOG = logbook.Logger("metrics")

INTERVAL_S = 10.0
MAX_CPU_SHARE = 0.005


class Flusher:
    """Flushes a recorder at intervals.

    A gateway with many busy series waits longer between two flushes, so that they
    take no more than ``MAX_CPU_SHARE`` of a core.

    Parameters
    ----------
    source : recorder.Recorder
        What to flush.
    target : sender.Sender
        Where to send.
    interval_s : float
        Shortest time between two flushes, in seconds.
    """

    def __init__(
        self,
        source: recorder.Recorder,
        target: sender.Sender,
        interval_s: float = INTERVAL_S,
    ) -> None:
        self.source = source
        self.target = target
        self.interval_s = interval_s

    async def run(self) -> None:
        """Flush for ever; a flush that fails is logged and the next one tried."""
        cost_s = 0.0
        while True:
            await asyncio.sleep(max(self.interval_s, cost_s / MAX_CPU_SHARE))
            try:
                cost_s = await self.flush()
            except OSError as error:
                LOG.warning("metrics: A flush has failed: {}.", error)

    async def flush(self) -> float:
        """Flush every series once.

        The loop gets a turn after each histogram: folding all of them in one go would
        hold up the streams' tokens.

        Returns
        -------
        float
            Processor time of the flush itself, in seconds.
        """
        cost_s = 0.0
        for counted in list(self.source.known.values()):
            started_s = time.thread_time()
            for _ in counted.summarise():
                cost_s += time.thread_time() - started_s
                await asyncio.sleep(0)
                started_s = time.thread_time()
            self.send(counted)
            cost_s += time.thread_time() - started_s
        return cost_s

    def send(self, counted: series.Series) -> None:
        """Send one series, and drop it if it is idle and no longer declared."""
        results = counted.new_results()
        preemptions = counted.new_preemptions()
        self.target.send(counted, results, preemptions)
        if not (counted.summaries or results or preemptions):
            self.source.forget_undeclared(counted)

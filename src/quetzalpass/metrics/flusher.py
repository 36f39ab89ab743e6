"""Periodic flush: buckets into histograms, percentiles to statsd."""

import asyncio

import logbook

from quetzalpass.metrics import recorder, sender

LOG = logbook.Logger("metrics")

INTERVAL_S = 10.0


class Flusher:
    """Flushes a recorder at a fixed interval.

    Parameters
    ----------
    source : recorder.Recorder
        What to flush.
    target : sender.Sender
        Where to send.
    interval_s : float
        Time between two flushes, in seconds.
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
        while True:
            await asyncio.sleep(self.interval_s)
            try:
                await self.flush()
            except OSError as error:
                LOG.warning("metrics: A flush has failed: {}.", error)

    async def flush(self) -> None:
        """Flush every series once.

        The loop gets a turn after each series: folding all of them in one go would
        hold up the streams' tokens.
        """
        for counted in list(self.source.known.values()):
            counted.summarise()
            results = counted.new_results()
            preemptions = counted.new_preemptions()
            self.target.send(counted, results, preemptions)
            if not (counted.summaries or results or preemptions):
                self.source.forget_undeclared(counted)
            await asyncio.sleep(0)

"""Soak test of gateways that lose the path to all replicas for some seconds.

Gateways in two data centres and three control nodes run as processes. Callers, the
control nodes and the other gateways still reach the gateways that are cut off. In some
runs another gateway fails meanwhile. Run manually with
``make soak-cut-off SEED=1 COUNT=10 SECONDS=10``.
"""

import asyncio
import random
import signal

from soak import proxies, soak

# The platform's rule: from 3 s after the cut began, first attempts at gateways that are
# cut off are served at least two thirds as often as those at the others, or no more
# than 10 and 1 in 50 of all fail there.
CONTACT_S = 3.0
MIN_SHARE_OF_OTHERS = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50
CALM_S = 3.0
AFTER_S = 3.0
REQUESTS_PER_S = 30
# A gateway that a fault has stopped counts again this long after its restart.
RESTART_S = 1.0
KINDS = ("reads", "once", "drafts")
GATEWAY_FAULTS = (None, None, "kill", "stop", "pause")


class Outcome:
    """A first attempt as its caller saw it."""

    def __init__(self, gateway, sent_s, elapsed_s, status):
        self.gateway = gateway
        self.sent_s = sent_s
        self.elapsed_s = elapsed_s
        self.status = status

    @property
    def is_served(self):
        return self.status == soak.STATUS_OK


class CutOffSoak(soak.Soak):
    """One run; the seed chooses the kind of request, the cut and the fault.

    Attributes
    ----------
    cut_gateways : list of Node
        Gateways that lose the path to all replicas.
    outcomes : list of Outcome
        What callers saw.
    disturbed : list
        Gateway, start and end of each fault of a gateway.
    """

    def __init__(self, seed, folder, gateways=4):
        super().__init__(seed, folder, gateways)
        rng = random.Random(f"cut-off-{seed}")
        self.kind = KINDS[seed % len(KINDS)]
        self.how = rng.choice(list(proxies.Cut))
        self.fault = rng.choice(GATEWAY_FAULTS)
        nodes = self.cluster.gateways
        for node in nodes[gateways // 2 :]:
            node.zone = "flx-b"
        # At least one gateway is left; the first ones are most of a data centre.
        self.cut_gateways = nodes[: rng.randint(1, gateways - 1)]
        self.cuts = proxies.Cuts()
        self.outcomes = []
        self.disturbed = []

    async def add_replica(self, service, number):
        await super().add_replica(service, number)
        for each in self.fleet.replicas.values():
            each.link.cuts = self.cuts

    async def send_repeatedly(self, stop):
        number = 0
        while not stop.is_set():
            gateway = self.cluster.gateways[number % len(self.cluster.gateways)]
            number += 1
            self.spawn(self.send_one(gateway))
            await asyncio.sleep(1.0 / REQUESTS_PER_S)

    async def send_one(self, gateway):
        sent_s = self.now_s()
        caller = soak.Caller(self, gateway=gateway)
        status = await self.send(self.kind, caller)
        caller.close()
        self.outcomes.append(Outcome(gateway, sent_s, self.now_s() - sent_s, status))

    async def run(self, seconds):
        await self.start()
        stop = asyncio.Event()
        sending = asyncio.create_task(self.send_repeatedly(stop))
        await asyncio.sleep(CALM_S)
        self.cut_from_s = self.now_s()
        for each in self.cut_gateways:
            self.cuts.cut(each.ip, self.how)
        await asyncio.sleep(seconds / 2)
        await self.cause_gateway_fault()
        await asyncio.sleep(seconds / 2)
        self.cut_until_s = self.now_s()
        self.cuts.nodes.clear()
        await asyncio.sleep(AFTER_S)
        stop.set()
        await sending
        await self.finish_tasks()
        self.check_served()
        await self.check_invariants()

    async def cause_gateway_fault(self):
        """Make a gateway fail that is not cut off, if another one is left."""
        others = [e for e in self.cluster.gateways if e not in self.cut_gateways]
        if self.fault is None or len(others) < 2:
            return
        self.faults.append(f"{self.fault} gateway")
        node, start_s = others[0], self.now_s()
        if self.fault == "pause":
            node.pause()
            await asyncio.sleep(1.5)
            node.resume()
        else:
            kill = self.fault == "kill"
            await node.stop(signal.SIGKILL if kill else signal.SIGTERM)
            await node.start()
        self.disturbed.append((node, start_s, self.now_s() + RESTART_S))

    def is_disturbed(self, outcome):
        return any(
            node is outcome.gateway and start_s - 1.0 <= outcome.sent_s <= end_s
            for node, start_s, end_s in self.disturbed
        )

    def counted(self, is_cut):
        from_s = self.cut_from_s + CONTACT_S
        return [
            each
            for each in self.outcomes
            if from_s <= each.sent_s < self.cut_until_s
            and (each.gateway in self.cut_gateways) is is_cut
            and not self.is_disturbed(each)
        ]

    def check_served(self):
        cut, others = self.counted(True), self.counted(False)
        failed = sum(not each.is_served for each in cut)
        allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * (len(cut) + len(others))
        share = served_share(cut)
        if failed > allowed and share < MIN_SHARE_OF_OTHERS * served_share(others):
            raise self.violation(f"cut off callers served worse: {self.summary()}", "")

    def summary(self):
        cut, others = self.counted(True), self.counted(False)
        after = [e for e in self.outcomes if e.sent_s >= self.cut_until_s + 1.0]
        delays_s = sorted(e.elapsed_s for e in cut) or [0.0]
        others_s = sorted(e.elapsed_s for e in others) or [0.0]
        return (
            f"{self.kind}, {len(self.cut_gateways)} of {len(self.cluster.gateways)} "
            f"cut, {self.how.value}, {self.faults}; served there "
            f"{sum(e.is_served for e in cut)} of {len(cut)}, others "
            f"{sum(e.is_served for e in others)} of {len(others)}, after "
            f"{served_share(after):.2f}; p50 and p99 there {quantiles(delays_s)}, "
            f"others {quantiles(others_s)}"
        )


def served_share(outcomes):
    return sum(each.is_served for each in outcomes) / max(1, len(outcomes))


def quantiles(delays_s):
    """Return the median and the 0.99 quantile of sorted delays, for the summary."""
    p50_s, p99_s = delays_s[len(delays_s) // 2], delays_s[len(delays_s) * 99 // 100]
    return f"{p50_s:.3f} and {p99_s:.3f} s"


async def run_seed(seed, seconds, folder, **options):
    """Run one seed, stop its processes and return the finished soak test."""
    return await soak.run_to_end(CutOffSoak(seed, folder, **options), seconds)


if __name__ == "__main__":
    soak.run_seeds("soak-cut-off", run_seed)

"""Soak test of replicas that say that they are brittle.

All replicas of a service take few requests at once for some seconds, let none wait, and
fall over if they have to refuse too many. Run manually with
``make soak-brittle SEED=1 COUNT=10 SECONDS=12``.
"""

import asyncio
import signal

from soak import backends, limits, soak

# The platform's rule: the replicas of a service fall over no more often than 2 and a
# tenth of their number while they are brittle.
ALLOWED_FALLS = 2
CONTACT_S = 3.0
# Goals: how much of the room is used, how soon callers are refused, and how much is
# served again some seconds after the last word of it.
MIN_USED_SHARE = 0.7
MAX_REFUSAL_S = 0.5
FORGOTTEN_AFTER_S = 3.0
MIN_SHARE_AFTER = 0.9
CALM_S = 3.0
AFTER_S = 7.0
REQUESTS_PER_S = 40
RUN_S = {"reads": backends.BRITTLE_SERVICE_TIME_S, "once": 0.25, "drafts": 0.85}
SERVICES = {"reads": "ledger", "once": "ledger", "drafts": "model"}


class BrittleSoak(soak.Soak):
    """One run; the seed chooses the kind of request, the limit and the fault.

    Attributes
    ----------
    outcomes : list of Outcome
        What callers saw.
    """

    def __init__(self, seed, folder, gateways=4):
        super().__init__(seed, folder, gateways)
        self.kind = list(SERVICES)[seed % len(SERVICES)]
        self.limit_per_s = self.rng.choice((3, 5, 8))
        self.fault = self.rng.choice((None, None, "kill gateway", "pause control"))
        self.outcomes = []

    def replicas(self):
        service = SERVICES[self.kind]
        return [e for e in self.fleet.replicas.values() if e.service == service]

    async def send_repeatedly(self, stop):
        per_s = REQUESTS_PER_S if self.kind != "drafts" else REQUESTS_PER_S / 3
        while not stop.is_set():
            self.spawn(self.send_one())
            await asyncio.sleep(1.0 / per_s)

    async def send_one(self):
        sent_s = self.now_s()
        caller = soak.Caller(self, gateway=self.rng.choice(self.cluster.gateways))
        status = await self.send(self.kind, caller)
        caller.close()
        self.outcomes.append(limits.Outcome(sent_s, self.now_s() - sent_s, status))

    async def run(self, seconds):
        await self.start()
        stop = asyncio.Event()
        sending = asyncio.create_task(self.send_repeatedly(stop))
        await asyncio.sleep(CALM_S)
        self.enforced_s = self.now_s() + CONTACT_S
        self.brittleness = backends.Brittleness(self.limit_per_s, self.enforced_s)
        for each in self.replicas():
            each.brittleness = self.brittleness
        await asyncio.sleep(CONTACT_S + seconds / 2)
        await self.cause_node_fault()
        await asyncio.sleep(seconds / 2)
        self.ended_s = self.now_s()
        for each in self.replicas():
            each.brittleness = None
        await asyncio.sleep(AFTER_S)
        stop.set()
        await sending
        await self.finish_tasks()
        self.check()
        await self.check_invariants()

    async def cause_node_fault(self):
        if self.fault is None:
            return
        self.faults.append(self.fault)
        if self.fault == "kill gateway":
            node = self.rng.choice(self.cluster.gateways)
            await node.stop(signal.SIGKILL)
            await node.start()
            return
        node = self.rng.choice(self.cluster.controls)
        node.pause()
        await asyncio.sleep(2.0)
        node.resume()

    def served(self, from_s, until_s):
        return sum(
            from_s <= each.sent_s < until_s and each.status == soak.STATUS_OK
            for each in self.outcomes
        )

    def used_share(self):
        """Return how much of the room was used after the first second of it."""
        from_s = self.enforced_s + 1.0
        room = len(self.replicas()) * backends.BRITTLE_ROOM
        could_run = room * (self.ended_s - from_s) / RUN_S[self.kind]
        return self.served(from_s, self.ended_s) / could_run

    def share_after(self):
        from_s = self.ended_s + FORGOTTEN_AFTER_S
        until_s = from_s + AFTER_S - FORGOTTEN_AFTER_S - 1.0
        sent = [e for e in self.outcomes if from_s <= e.sent_s < until_s]
        return self.served(from_s, until_s) / max(1, len(sent))

    def slowest_refusal_s(self):
        refused = [e for e in self.outcomes if e.status in soak.NOT_RUN]
        return max((each.elapsed_s for each in refused), default=0.0)

    def check(self):
        allowed = ALLOWED_FALLS + len(self.replicas()) // 10
        if len(self.brittleness.falls_s) > allowed:
            raise self.violation(f"brittle replicas fell over: {self.summary()}", "")
        if self.share_after() < MIN_SHARE_AFTER:
            raise self.violation(f"not forgotten: {self.summary()}", "")
        if self.fault is not None:
            return
        if self.used_share() < MIN_USED_SHARE:
            raise self.violation(f"room left idle: {self.summary()}", "")
        if self.slowest_refusal_s() > MAX_REFUSAL_S:
            raise self.violation(f"refused late: {self.summary()}", "")

    def summary(self):
        falls = [f"{each - self.enforced_s:.1f}" for each in self.brittleness.falls_s]
        return (
            f"{self.kind}, brittle {self.limit_per_s}, {self.fault}; fell over "
            f"{len(falls)} times ({', '.join(falls)}), {self.used_share():.2f} of the "
            f"room used, refused within {self.slowest_refusal_s():.2f} s, "
            f"{self.share_after():.2f} served after"
        )


async def run_seed(seed, seconds, folder, **options):
    """Run one seed, stop its processes and return the finished soak test."""
    return await soak.run_to_end(BrittleSoak(seed, folder, **options), seconds)


if __name__ == "__main__":
    soak.run_seeds("soak-brittle", run_seed)

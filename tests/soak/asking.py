"""Soak test of replicas that ask for rest, or say that they leave.

Gateways and three control nodes run as processes. One replica of a service, or all of
them, ask for rest in each refusal, or one says in each answer that it leaves while the
platform list shows it as ready. Run manually with
``make soak-asking SEED=1 COUNT=10 SECONDS=10``.
"""

import asyncio
import signal

from soak import limits, soak

# The platform's rules: from half a second after an answer with a rest to the end of it,
# two requests of the gateway that got it; none that a caller sent later than 3 s after
# a gateway had passed on the word that a replica leaves.
GRACE_S = 0.5
MAX_IN_REST = 2
DRAIN_S = 3.0
# Goal with other replicas free: callers notice nothing.
MIN_SHARE_WITH_OTHERS = 0.97
CALM_S = 3.0
REQUESTS_PER_S = 30
RESTS_S = (1.0, 2.0, 3.0)
WAYS = ("one rests", "all rest", "one leaves")
FAULTS = (None, None, "kill gateway", "kill control")


class AskingSoak(soak.Soak):
    """One run; the seed chooses the kind of request, the way and the fault.

    Attributes
    ----------
    gateway_of : dict of str to Node
        Gateway to which each request was sent.
    sent_s : dict of str to float
        Loop time at which the caller sent each request.
    outcomes : list of limits.Outcome
        What callers saw.
    restarted_s : dict of Node to float
        Loop time of the restart of a gateway.
    """

    def __init__(self, seed, folder, gateways=4):
        super().__init__(seed, folder, gateways)
        self.kind = list(limits.SERVICES)[seed % len(limits.SERVICES)]
        self.way = self.rng.choice(WAYS)
        self.rest_s = self.rng.choice(RESTS_S)
        self.fault = self.rng.choice(FAULTS)
        self.gateway_of = {}
        self.sent_s = {}
        self.outcomes = []
        self.restarted_s = {}

    def asking_replicas(self):
        service = limits.SERVICES[self.kind]
        found = [e for e in self.fleet.replicas.values() if e.service == service]
        return found if self.way == "all rest" else found[:1]

    async def send_repeatedly(self, stop):
        while not stop.is_set():
            self.spawn(self.send_one())
            await asyncio.sleep(1.0 / REQUESTS_PER_S)

    async def send_one(self):
        gateway = self.rng.choice(self.cluster.gateways)
        request_id = self.new_request_id()
        self.gateway_of[request_id] = gateway
        sent_s = self.sent_s[request_id] = self.now_s()
        caller = soak.Caller(self, gateway=gateway)
        status = await self.send(self.kind, caller, request_id)
        caller.close()
        self.outcomes.append(limits.Outcome(sent_s, self.now_s() - sent_s, status))

    async def run(self, seconds):
        await self.start()
        stop = asyncio.Event()
        sending = asyncio.create_task(self.send_repeatedly(stop))
        await asyncio.sleep(CALM_S)
        self.from_s = self.now_s()
        for each in self.asking_replicas():
            each.says_leaving = self.way == "one leaves"
            each.rest_s = None if each.says_leaving else self.rest_s
        await asyncio.sleep(seconds / 2)
        await self.cause_node_fault()
        await asyncio.sleep(seconds / 2)
        self.until_s = self.now_s()
        stop.set()
        await sending
        await self.finish_tasks()
        self.check()

    async def cause_node_fault(self):
        if self.fault is None:
            return
        self.faults.append(self.fault)
        nodes = self.cluster.gateways
        if self.fault == "kill control":
            nodes = self.cluster.controls
        node = self.rng.choice(nodes)
        await node.stop(signal.SIGKILL)
        await node.start()
        self.restarted_s[node] = self.now_s()

    def arrivals(self, replica, gateway):
        """Return when a gateway's requests reached a replica while it asked."""
        return [
            each
            for each in self.fleet.record.arrivals
            if each.replica_name == replica.name
            and self.gateway_of.get(each.request_id) is gateway
            and self.from_s <= each.at_s <= self.until_s
        ]

    def most_in_a_rest(self):
        """Return the most requests that reached a replica within a rest of a gateway.

        A gateway that was killed is excused.
        """
        if self.way == "one leaves":
            return 0
        most = 0
        for replica in self.asking_replicas():
            for gateway in self.cluster.gateways:
                if gateway in self.restarted_s:
                    continue
                times_s = [each.at_s for each in self.arrivals(replica, gateway)]
                for start_s in times_s:
                    end_s = start_s + self.rest_s
                    count = sum(start_s + GRACE_S <= t < end_s for t in times_s)
                    most = max(most, count)
        return most

    def late_at_leaving(self):
        """Return the requests that came late to a replica that leaves."""
        if self.way != "one leaves":
            return 0
        late = 0
        for replica in self.asking_replicas():
            for gateway in self.cluster.gateways:
                arrivals = self.arrivals(replica, gateway)
                if not arrivals or gateway in self.restarted_s:
                    continue
                told_s = arrivals[0].at_s
                late += sum(
                    self.sent_s[e.request_id] > told_s + DRAIN_S for e in arrivals
                )
        return late

    def served_share(self):
        sent = [e for e in self.outcomes if self.from_s <= e.sent_s < self.until_s]
        served = sum(each.status == soak.STATUS_OK for each in sent)
        return served / max(1, len(sent))

    def check(self):
        if self.most_in_a_rest() > MAX_IN_REST:
            raise self.violation(f"requests in a rest: {self.summary()}", "")
        if self.late_at_leaving():
            raise self.violation(f"requests at a leaving one: {self.summary()}", "")
        has_others = self.way != "all rest" and self.fault is None
        if has_others and self.served_share() < MIN_SHARE_WITH_OTHERS:
            raise self.violation(f"callers served worse: {self.summary()}", "")

    def summary(self):
        return (
            f"{self.kind}, {self.way}, {self.rest_s} s, {self.fault}; most in a rest "
            f"{self.most_in_a_rest()}, late at a leaving one {self.late_at_leaving()}, "
            f"served {self.served_share():.2f}"
        )


async def run_seed(seed, seconds, folder, **options):
    """Run one seed, stop its processes and return the finished soak test."""
    return await soak.run_to_end(AskingSoak(seed, folder, **options), seconds)


if __name__ == "__main__":
    soak.run_seeds("soak-asking", run_seed)

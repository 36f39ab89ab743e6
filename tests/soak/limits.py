"""Soak test of replicas that name a limit on the rate of requests.

Gateways and three control nodes run as processes. For some seconds one replica of a
service, or all of them, name a limit in each answer. In some runs a gateway or a
control node fails, or a limited replica breaks off, refuses or delays its responses.
Run manually with ``make soak-limits SEED=1 COUNT=10 SECONDS=12``.
"""

import asyncio
import random
import signal

from soak import soak

# The platform's rule: from 3 s after a replica has first named its limit, in any 4 s at
# most one and a half times what the limit allows, and 5 requests, from gateways that
# were told half a second before or earlier.
CONTACT_S = 3.0
WINDOW_S = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5
TOLD_AFTER_S = 0.5
# Goals: how much of the limits is used while all replicas have one, how soon callers
# are refused, and how much is served again some seconds after the last naming.
MIN_USED_SHARE = 0.7
MAX_REFUSAL_S = 0.5
FORGOTTEN_AFTER_S = 4.0
MIN_SHARE_AFTER = 0.5
CALM_S = 4.0
AFTER_S = 8.0
REQUESTS_PER_S = 24
LIMITS_PER_S = (1.5, 2.0, 4.0)
# Broken responses lead to retries and resumes, refusals to further sends.
REPLICA_FAULTS = (None, None, "cut", "refuse", "hang")
SERVICES = {"reads": "ledger", "once": "ledger", "drafts": "model"}


class Outcome:
    """A request as its caller saw it."""

    def __init__(self, sent_s, elapsed_s, status):
        self.sent_s = sent_s
        self.elapsed_s = elapsed_s
        self.status = status


class LimitsSoak(soak.Soak):
    """One run; the seed chooses the kind of request, the limit and the fault.

    Attributes
    ----------
    gateway_of : dict of str to Node
        Gateway to which each request was sent.
    outcomes : list of Outcome
        What callers saw.
    excused : list
        Node, start and end of each fault of a node.
    """

    def __init__(self, seed, folder, gateways=3):
        super().__init__(seed, folder, gateways)
        self.kind = self.rng.choice(list(SERVICES))
        self.limits_all = self.rng.random() < 0.5
        self.limit_per_s = self.rng.choice(LIMITS_PER_S)
        self.fault = self.rng.choice(
            (None, "kill gateway", "kill control", "pause control")
        )
        # Its own generator leaves what the other draws of a seed give unchanged.
        self.replica_fault = random.Random(f"replica-{seed}").choice(REPLICA_FAULTS)
        self.gateway_of = {}
        self.outcomes = []
        self.excused = []

    async def send_repeatedly(self, stop):
        while not stop.is_set():
            self.spawn(self.send_one())
            await asyncio.sleep(1.0 / REQUESTS_PER_S)

    async def send_one(self):
        gateway = self.rng.choice(self.cluster.gateways)
        request_id = self.new_request_id()
        self.gateway_of[request_id] = gateway
        sent_s = self.now_s()
        caller = soak.Caller(self, gateway=gateway)
        status = await self.send(self.kind, caller, request_id)
        caller.close()
        self.outcomes.append(Outcome(sent_s, self.now_s() - sent_s, status))

    def limited_replicas(self):
        service = SERVICES[self.kind]
        found = [e for e in self.fleet.replicas.values() if e.service == service]
        return found if self.limits_all else found[:1]

    async def run(self, seconds):
        await self.start()
        stop = asyncio.Event()
        sending = asyncio.create_task(self.send_repeatedly(stop))
        await asyncio.sleep(CALM_S)
        self.limited_from_s = self.now_s()
        for each in self.limited_replicas():
            each.limit_per_s = self.limit_per_s
        await asyncio.sleep(seconds / 3)
        self.limited_replicas()[0].fault = self.replica_fault
        await asyncio.sleep(seconds / 6)
        await self.cause_node_fault()
        await asyncio.sleep(seconds / 3)
        self.limited_replicas()[0].fault = None
        await asyncio.sleep(seconds / 6)
        self.limited_until_s = self.now_s()
        for each in self.limited_replicas():
            each.limit_per_s = None
        await asyncio.sleep(AFTER_S)
        stop.set()
        await sending
        await self.finish_tasks()
        self.check_rates()
        self.check_goals()

    async def cause_node_fault(self):
        start_s = self.now_s()
        if self.fault == "kill gateway":
            node = self.rng.choice(self.cluster.gateways)
        elif self.fault == "kill control":
            node = self.rng.choice(self.cluster.controls)
        else:
            await self.pause_control_node()
            return
        self.faults.append(self.fault)
        await node.stop(signal.SIGKILL)
        await node.start()
        self.excused.append((node, start_s, self.now_s()))

    async def pause_control_node(self):
        """Pause a control node, which its peers take for a cut."""
        if self.fault is None:
            return
        self.faults.append(self.fault)
        node = self.rng.choice(self.cluster.controls)
        node.pause()
        self.spawn(self.resume_later(node))

    async def resume_later(self, node):
        await asyncio.sleep(3.0)
        node.resume()

    def told_since_s(self, gateway, replica_name):
        """Return the times since which a gateway knows a limit, by its restarts."""
        first_s = {}
        for each in self.fleet.record.arrivals:
            if each.replica_name != replica_name or each.limit_per_s is None:
                continue
            if self.gateway_of.get(each.request_id) is gateway:
                start = self.start_before(gateway, each.at_s)
                first_s.setdefault(start, each.at_s)
        return first_s

    def start_before(self, gateway, at_s):
        """Return the number of a gateway's restarts before a time."""
        return sum(e[0] is gateway and e[1] <= at_s for e in self.excused)

    def counted_arrivals(self, replica_name):
        """Return when requests reached a replica from gateways that it had told."""
        told = {
            gateway: self.told_since_s(gateway, replica_name)
            for gateway in self.cluster.gateways
        }
        counted = []
        for each in self.fleet.record.arrivals:
            gateway = self.gateway_of.get(each.request_id)
            if each.replica_name != replica_name or gateway is None:
                continue
            since_s = told[gateway].get(self.start_before(gateway, each.at_s))
            if since_s is not None and each.at_s >= since_s + TOLD_AFTER_S:
                counted.append(each.at_s)
        return counted

    def most_in_window(self, replica_name):
        first_s = self.limited_from_s + CONTACT_S
        times_s = [
            each
            for each in self.counted_arrivals(replica_name)
            if first_s <= each <= self.limited_until_s
        ]
        return max(
            (sum(s <= each < s + WINDOW_S for each in times_s) for s in times_s),
            default=0,
        )

    def allowed(self):
        return int(ALLOWED_SHARE * self.limit_per_s * WINDOW_S + ALLOWED_EXTRA)

    def most(self):
        return max(self.most_in_window(each.name) for each in self.limited_replicas())

    def check_rates(self):
        if self.most() > self.allowed():
            raise self.violation(self.summary(), "")

    def served_per_s(self, from_s, until_s):
        served = sum(
            from_s <= each.sent_s < until_s and each.status == soak.STATUS_OK
            for each in self.outcomes
        )
        return served / (until_s - from_s)

    def used_share(self):
        """Return how much of the limits was served while all replicas had one."""
        from_s = self.limited_from_s + CONTACT_S
        served = self.served_per_s(from_s, self.limited_until_s)
        return served / (self.limit_per_s * len(self.limited_replicas()))

    def slowest_refusal_s(self):
        return max(
            (e.elapsed_s for e in self.outcomes if e.status in soak.NOT_RUN),
            default=0.0,
        )

    def share_after(self):
        """Return how much is served after the limits, compared with before."""
        before = self.served_per_s(self.limited_from_s - CALM_S, self.limited_from_s)
        from_s = self.limited_until_s + FORGOTTEN_AFTER_S
        after = self.served_per_s(from_s, from_s + AFTER_S - FORGOTTEN_AFTER_S)
        return after / before

    def check_goals(self):
        has_goals = self.fault is None and self.replica_fault is None
        if has_goals and self.limits_all and self.used_share() < MIN_USED_SHARE:
            raise self.violation(f"limits left idle: {self.summary()}", "")
        if has_goals and self.slowest_refusal_s() > MAX_REFUSAL_S:
            raise self.violation(f"refused late: {self.summary()}", "")
        if self.share_after() < MIN_SHARE_AFTER:
            raise self.violation(f"limit not forgotten: {self.summary()}", "")

    def summary(self):
        who = "all" if self.limits_all else "one"
        return (
            f"{self.kind}, {who} to {self.limit_per_s}, {self.fault}, replica: "
            f"{self.replica_fault}; most in 4 s "
            f"{self.most()}, allowed {self.allowed()}; served "
            f"{self.used_share():.2f} of the limits, refused within "
            f"{self.slowest_refusal_s():.2f} s, {self.share_after():.2f} served after"
        )


async def run_seed(seed, seconds, folder, **options):
    """Run one seed, stop its processes and return the finished soak test."""
    return await soak.run_to_end(LimitsSoak(seed, folder, **options), seconds)


if __name__ == "__main__":
    soak.run_seeds("soak-limits", run_seed)

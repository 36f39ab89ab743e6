"""Soak test of a request that crashes the replicas that run it.

Several gateways and three control nodes run as processes. The same request comes again
and again, at any gateway, beside innocent requests. In every other run, nodes are
killed, stopped and paused meanwhile. Run manually with
``make soak-crashing SEED=1 COUNT=50 SECONDS=20``.
"""

import asyncio
import random
import signal

from soak import backends, soak

# The platform's rule: late sends are those more than 3 s after the third crash, by
# gateways in touch; three are allowed.
COUNTED_CRASHES = 3
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
DOWNTIME_S = 3.0
KINDS = ("reads", "drafts")


class CrashingSoak(soak.Soak):
    """One run; the seed chooses the kind of request and of crash.

    Attributes
    ----------
    is_orderly : bool
        Whether a replica that is not silent closes its connections without a reset.
    before_crash : backends.BeforeCrash
        What replicas send of the response before they crash.
    crash_times_s : list of float
        Loop times of the crashes.
    arrivals : list
        Loop time and request id of each time that the request reached a replica.
    gateway_of : dict of str to Node
        Gateway to which each copy was sent.
    disturbed : list
        Node, start and end of each fault of a node.
    counted_crashes : int
        Sends are late if they follow this crash by more than 3 s.
    """

    counted_crashes = COUNTED_CRASHES

    def __init__(self, seed, folder, gateways=4, has_node_faults=True):
        super().__init__(seed, folder, gateways)
        self.kind = self.rng.choice(KINDS)
        self.is_silent = self.rng.random() < 0.5
        self.copies = self.rng.choice((1, 1, 3))
        self.has_node_faults = has_node_faults
        self.crash_times_s = []
        self.crashed_replicas = []
        self.arrivals = []
        self.gateway_of = {}
        self.disturbed = []
        # Its own generator leaves what the other draws of a seed give unchanged.
        crash_rng = random.Random(f"crash-{seed}")
        self.is_orderly = crash_rng.random() < 0.5
        self.before_crash = crash_rng.choice(list(backends.BeforeCrash))
        self.fleet.record.before_crash = self.before_crash
        self.fleet.record.on_crashing_request = self.crash_replica

    def crash_replica(self, replica, request_id):
        self.arrivals.append((self.now_s(), request_id))
        if replica in self.crashed_replicas:
            # Two copies arrived before it was down.
            return
        self.crashed_replicas.append(replica)
        self.crash_times_s.append(self.now_s())
        self.crash(replica)
        self.spawn(self.restart_replica(replica))

    def crash(self, replica):
        if self.is_silent:
            replica.fall_silent()
        elif self.is_orderly:
            replica.close_orderly()
        else:
            replica.stop()

    async def restart_replica(self, replica):
        """Start a replica anew at the address of one that has crashed."""
        await asyncio.sleep(DOWNTIME_S)
        replica.stop()
        self.fleet.replicas.pop(replica.name)
        number = int(replica.link.host.rpartition(".")[2])
        await self.add_replica(replica.service, number)

    async def send_copies(self, stop):
        while not stop.is_set():
            for _ in range(self.copies):
                self.spawn(self.send_copy())
            await asyncio.sleep(1.0)

    async def send_copy(self):
        gateway = self.rng.choice(self.cluster.gateways)
        request_id = self.new_request_id()
        self.gateway_of[request_id] = gateway
        caller = soak.Caller(self, gateway=gateway)
        await self.send(self.kind, caller, request_id, backends.CRASHING_BODY)
        caller.close()

    async def cause_node_faults(self, stop):
        while not stop.is_set() and self.has_node_faults:
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            node = self.rng.choice(self.cluster.nodes)
            start_s = self.now_s()
            fault = self.rng.choice(("kill", "stop", "pause"))
            self.faults.append(f"{fault} {node.role}")
            if fault == "pause":
                node.pause()
                await asyncio.sleep(self.rng.uniform(0.2, 2.0))
                node.resume()
            else:
                signal_number = signal.SIGKILL if fault == "kill" else signal.SIGTERM
                await node.stop(signal_number)
                await node.start()
            self.disturbed.append((node, start_s, self.now_s()))

    def is_in_touch(self, gateway, at_s):
        """Return whether neither a gateway nor the core was disturbed lately."""
        return not any(
            start_s <= at_s <= end_s + CONTACT_S
            for node, start_s, end_s in self.disturbed
            if node is gateway or node.role == "control"
        )

    async def run(self, seconds):
        await self.start()
        stop = asyncio.Event()
        work = [
            asyncio.create_task(each)
            for each in (
                self.call("reads", stop, False),
                self.call("drafts", stop, False),
                self.call("once", stop, True),
                self.send_copies(stop),
                self.cause_node_faults(stop),
            )
        ]
        try:
            await asyncio.sleep(seconds)
        finally:
            stop.set()
            await asyncio.gather(*work)
            await self.finish_tasks()
        await self.check_invariants()
        self.check_late_sends()

    def late_sends(self):
        if len(self.crash_times_s) < self.counted_crashes:
            return 0
        from_s = self.crash_times_s[self.counted_crashes - 1] + CONTACT_S
        return sum(
            at_s > from_s and self.is_in_touch(self.gateway_of[request_id], at_s)
            for at_s, request_id in self.arrivals
        )

    def check_late_sends(self):
        if not self.crash_times_s:
            raise self.violation("the crashing request was never run", "")
        if self.late_sends() > MAX_LATE_SENDS:
            raise self.violation(f"too many late sends: {self.summary()}", "")

    def summary(self):
        closing = "closing in an orderly way" if self.is_orderly else "resetting"
        how = "silent" if self.is_silent else closing
        return (
            f"{self.kind}, {how}, {self.before_crash.value}, {self.copies} copies; "
            f"{len(self.crash_times_s)} crashes, {self.late_sends()} late sends, "
            f"{super().summary()}"
        )


async def run_seed(seed, seconds, folder, **options):
    """Run one seed, stop its processes and return the finished soak test."""
    return await soak.run_to_end(CrashingSoak(seed, folder, **options), seconds)


async def run_by_hand(seed, seconds, folder):
    """Run one seed, every other one with faults of nodes."""
    return await run_seed(seed, seconds, folder, has_node_faults=seed % 2 == 0)


if __name__ == "__main__":
    soak.run_seeds("soak-crashing", run_by_hand)

"""Replicas of a group in one process, with fake disks and a fake network."""

import asyncio
import contextlib
import random

from returns import result

from fakes import disks, former_joining, transports
from quetzalpass import ids
from quetzalpass.consensus import entries, group, registry, replica
from quetzalpass.consensus import machine as machines

GROUP = ids.GroupId("test")


class ListMachine(machines.StateMachine):
    def __init__(self):
        self.items = []

    def apply(self, index, command):
        self.items.append(command)
        return b"%d:%s" % (len(self.items), command)

    def snapshot(self):
        return b"\n".join(self.items)

    def restore(self, data):
        self.items = data.split(b"\n") if data else []


class Cluster:
    def __init__(
        self,
        count=3,
        seed=0,
        snapshot_every=4096,
        open_voters=0,
        machine=ListMachine,
    ):
        self.machine = machine
        self.seed = seed
        self.open_voters = open_voters
        self.snapshot_every = snapshot_every
        self.network = transports.FakeNetwork(seed)
        self.vms = [ids.VmId(f"vm-{number}") for number in range(1, count + 1)]
        self.seeds = list(self.vms)
        self.disks = {vm: disks.FakeDisk() for vm in self.vms}
        self.groups = {}
        self.start_count = 0
        self.data_centres = {}
        # VMs that run the version before joiners followed the leader.
        self.former_vms = set()

    def rules(self, vm, is_first_start):
        return replica.MembershipRules(
            is_open=True,
            may_form=is_first_start and vm in self.seeds,
            wanted_voters=self.open_voters,
        )

    async def start(self, vm, is_first_start=False):
        self.start_count += 1
        table = self.network.add_table(vm)
        rules = group.STATIC_MEMBERS
        known = sorted({*self.vms, vm})
        if self.open_voters:
            rules = self.rules(vm, is_first_start)
            known = sorted(self.seeds)
        self.groups[vm] = group.Group(
            GROUP,
            vm,
            known,
            self.disks[vm],
            transports.FakeTransport(self.network, vm),
            self.machine(),
            random.Random(f"{self.seed}-{self.start_count}"),
            snapshot_every=self.snapshot_every,
            rules=rules,
            data_centre=self.data_centres.get(vm, ids.UNKNOWN_DATA_CENTRE),
        )
        if vm in self.former_vms:
            former = former_joining.FormerJoiner(self.groups[vm].replica)
            self.groups[vm].joiner = former
        registry.GroupRegistry(table).add(self.groups[vm])
        return await self.groups[vm].start()

    async def start_all(self):
        for vm in self.vms:
            (await self.start(vm, is_first_start=True)).unwrap()

    async def crash(self, vm):
        """Stop a replica; data that its disk has not synced may be lost."""
        crashed = self.groups.pop(vm)
        del self.network.tables[vm]
        self.disks[vm].faults.is_crashed = True
        with contextlib.suppress(disks.CrashError):
            await crashed.stop()
        rng = random.Random(f"{self.seed}-crash-{self.start_count}")
        self.disks[vm] = self.disks[vm].after_crash(rng)

    async def stop_as_planned(self, vm):
        """Stop a replica as a control node does at a SIGTERM."""
        await self.groups[vm].transfer_leadership()
        await self.groups[vm].release_vote()
        await self.crash(vm)

    async def restart(self, vm):
        await self.crash(vm)
        (await self.start(vm)).unwrap()

    async def wipe(self, vm):
        await self.crash(vm)
        self.disks[vm] = disks.FakeDisk()
        (await self.start(vm)).unwrap()

    async def stop(self):
        for running in self.groups.values():
            await running.stop()
        for stray in list(self.network.pending_tasks):
            stray.cancel()

    def items(self, vm):
        return self.groups[vm].replica.machine.items

    def leaders(self):
        return [vm for vm, item in self.groups.items() if item.leadership]

    async def leader(self, excluded=(), timeout_s=20.0):
        """Wait for a leader that has committed an entry of its term."""
        async with asyncio.timeout(timeout_s):
            while True:
                for vm in self.leaders():
                    current = self.groups[vm].leadership
                    if vm not in excluded and current.is_established:
                        return vm
                await asyncio.sleep(0.05)

    async def propose(self, command, operation=None, attempts=10, vm=None):
        """Propose a command to the leader until its outcome is known."""
        operation = ids.OperationId(operation or command.decode())
        for _ in range(attempts):
            target = vm or await self.leader()
            outcome = await self.groups[target].propose("client", operation, command)
            if isinstance(outcome, result.Success):
                return outcome.unwrap()
            await asyncio.sleep(0.2)
        raise TimeoutError(outcome.failure().message)

    async def until(self, condition, timeout_s=30.0, step_s=0.05):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(step_s)

    async def until_all_hold(self, items):
        for vm in self.vms:
            await self.until(lambda vm=vm: self.items(vm) == items)

    async def until_caught_up(self, vm, items):
        await self.until(lambda: self.has_caught_up(vm, items))

    def has_caught_up(self, vm, items):
        configuration = self.groups[vm].members()
        replica_id = self.groups[vm].replica.replica_id
        return self.items(vm) == items and configuration.has_voter(replica_id)

    def voters(self, vm):
        configuration: entries.Configuration = self.groups[vm].members()
        return sorted(member.vm for member in configuration.voters)

"""Replicas of one consensus group in one process, on real disks and loopback."""

import asyncio
import pathlib
import random

import msgspec
from aiohttp import web
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import group, machine, registry
from quetzalpass.storage import disk
from quetzalpass.wire import handlers, server, transport

GROUP = ids.GroupId("bench")
CLUSTER_KEY = "bench"
HOST = "127.0.0.1"
LEADER_POLL_S = 0.005
RETRY_DELAY_S = 0.01


class CountingMachine(machine.StateMachine):
    """State machine that counts commands and stores the last one."""

    def __init__(self) -> None:
        self.count = 0
        self.last = b""

    def apply(self, index: ids.LogIndex, command: bytes) -> bytes:
        """Apply a command and return the number of commands so far."""
        self.count += 1
        self.last = command
        return b"%d" % self.count

    def snapshot(self) -> bytes:
        """Return the count and the last command."""
        return b"%d:%s" % (self.count, self.last)

    def restore(self, data: bytes) -> None:
        """Restore the count and the last command from a snapshot."""
        count, _, self.last = data.partition(b":")
        self.count = int(count)


class LocalReplica(msgspec.Struct):
    """A replica with its listener, connections and data folder."""

    vm: ids.VmId
    group: group.Group
    folder: disk.FolderDisk
    runner: web.AppRunner
    transport: transport.HttpTransport

    async def stop(self) -> None:
        """Stop the replica and release its resources."""
        await self.group.stop()
        await self.runner.cleanup()
        await self.transport.close()
        self.folder.close()


class LocalCluster:
    """Replicas of one group, each of which acts as a separate VM.

    Parameters
    ----------
    count : int
        Number of replicas.
    path : pathlib.Path
        Folder for the data folders of the replicas.
    seed : int
        Seed of the random election timeouts.
    """

    def __init__(self, count: int, path: pathlib.Path, seed: int) -> None:
        self.vms = [ids.VmId(f"vm-{number}") for number in range(1, count + 1)]
        self.path = path
        self.rng = random.Random(seed)
        self.addresses: dict[ids.VmId, str] = {}
        self.replicas: dict[ids.VmId, LocalReplica] = {}

    async def start(self) -> None:
        """Start all replicas that aren't running."""
        for vm in self.vms:
            if vm not in self.replicas:
                await self.start_replica(vm)

    async def start_replica(self, vm: ids.VmId) -> None:
        """Start one replica on its data folder."""
        handler_table = handlers.HandlerTable()
        application = server.new_application()
        server.PeerServer(handler_table, CLUSTER_KEY).add_routes(application)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        self.addresses[vm] = f"http://{HOST}:{runner.addresses[0][1]}"
        folder = disk.open_folder(self.path / vm).unwrap()
        client = transport.HttpTransport(self.addresses, CLUSTER_KEY)
        rng = random.Random(self.rng.getrandbits(64))
        replica_group = group.Group(
            GROUP, vm, self.vms, folder, client, CountingMachine(), rng
        )
        registry.GroupRegistry(handler_table).add(replica_group)
        (await replica_group.start()).unwrap()
        self.replicas[vm] = LocalReplica(vm, replica_group, folder, runner, client)

    async def stop(self) -> None:
        """Stop all replicas."""
        for vm in list(self.replicas):
            await self.stop_replica(vm)

    async def stop_replica(self, vm: ids.VmId) -> None:
        """Stop one replica."""
        await self.replicas.pop(vm).stop()

    async def wait_for_leader(self) -> ids.VmId:
        """Wait until a replica is leader and holds the lease, and return its VM."""
        while True:
            for vm, replica in self.replicas.items():
                if replica.group.is_leader_with_lease():
                    return vm
            await asyncio.sleep(LEADER_POLL_S)

    async def propose(self, operation: ids.OperationId, command: bytes) -> bytes:
        """Propose a command to the current leader until its outcome is known."""
        while True:
            leader = self.replicas[await self.wait_for_leader()].group
            outcome = await leader.propose("bench", operation, command)
            if isinstance(outcome, result.Success):
                return outcome.unwrap()
            await asyncio.sleep(RETRY_DELAY_S)

"""Data folders that can't be opened when a control node starts."""

import asyncio
import random
import time

from returns import result

from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.backends import discovery
from quetzalpass.bench import local_ports
from quetzalpass.daemon import control_role
from quetzalpass.membership import inner_messages
from quetzalpass.results import codes
from quetzalpass.storage import disk
from quetzalpass.wire import transport

KEY = "cluster"
BACK_WITHIN_S = 5.0
MAX_STOP_S = 2.0
HANG_S = 0.5


class NoServers(discovery.ServerSource):
    async def list_servers(self, timeout_s):
        return result.Success(())

    async def close(self): ...


def make_node(path):
    vm = ids.VmId(f"127.0.0.1:{local_ports.free_ports(1)[0]}")
    settings = control_role.ControlSettings(vm, (vm,), str(path), True, 1)
    fleet = relay_servers.Fleet()
    return control_role.ControlRole(
        settings, NoServers(), fleet.connect, KEY, random.Random(1)
    )


def block(tmp_path):
    """Return a data folder that can't be created, and the file that is in its way."""
    obstacle = tmp_path / "obstacle"
    obstacle.write_bytes(b"")
    return obstacle / "data", obstacle


class TestControlNode:
    async def test_it_answers_meanwhile_and_serves_once_the_folder_works(
        self, tmp_path
    ):
        folder, obstacle = block(tmp_path)
        node = make_node(folder)
        await node.start()
        request = inner_messages.ProposeRequest(
            node.group.group_id, "s", ids.OperationId("1"), b""
        )
        addresses = transport.DirectAddresses()
        channel = transport.HttpTransport(addresses, KEY)
        reply = (await channel.call(node.settings.vm, request, 2.0)).unwrap()
        assert reply.failure.code is codes.Code.NOT_LEADER
        obstacle.unlink()
        async with asyncio.timeout(BACK_WITHIN_S):
            while not node.is_active():
                await asyncio.sleep(0.05)
        assert disk.open_folder(folder).failure().code is codes.Code.STORAGE_FAILED
        await channel.close()
        await node.stop()

    async def test_it_stops_at_once_while_its_folder_refuses(self, tmp_path):
        folder, _ = block(tmp_path)
        node = make_node(folder)
        await node.start()
        async with asyncio.timeout(MAX_STOP_S):
            await node.stop()

    async def test_a_hanging_sync_of_the_folder_does_not_hold_up_the_event_loop(
        self, tmp_path, monkeypatch
    ):
        sync_path = disk.sync_path

        def hang(path):
            time.sleep(HANG_S)
            sync_path(path)

        monkeypatch.setattr(disk, "sync_path", hang)
        loop = asyncio.get_running_loop()
        node = make_node(tmp_path / "data")
        starting = asyncio.create_task(node.start())
        longest_s = 0.0
        while not starting.done():
            before_s = loop.time()
            await asyncio.sleep(0.01)
            longest_s = max(longest_s, loop.time() - before_s)
        await starting
        assert longest_s < HANG_S / 2
        await node.stop()

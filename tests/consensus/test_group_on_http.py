import random

import pytest
from aiohttp import web

from fakes import clusters
from quetzalpass import ids
from quetzalpass.consensus import group, registry
from quetzalpass.storage import disk, verify
from quetzalpass.wire import handlers, server, transport

VMS = [ids.VmId(f"vm-{number}") for number in (1, 2, 3)]


async def start_peer_server():
    table = handlers.HandlerTable()
    application = server.new_application()
    server.PeerServer(table, "secret").add_routes(application)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return table, runner


@pytest.mark.looptime
class TestGroupOnHttp:
    async def test_commits_with_real_disks_and_connections(self, tmp_path):
        listeners = {vm: await start_peer_server() for vm in VMS}
        addresses = {
            vm: f"http://127.0.0.1:{runner.addresses[0][1]}"
            for vm, (_, runner) in listeners.items()
        }
        folders = {vm: disk.open_folder(tmp_path / vm).unwrap() for vm in VMS}
        transports = {vm: transport.HttpTransport(addresses, "secret") for vm in VMS}
        cluster = clusters.Cluster()
        for vm in VMS:
            cluster.groups[vm] = registry.GroupRegistry(listeners[vm][0]).add(
                group.Group(
                    clusters.GROUP,
                    vm,
                    VMS,
                    folders[vm],
                    transports[vm],
                    clusters.ListMachine(),
                    random.Random(vm),
                )
            )
            (await cluster.groups[vm].start()).unwrap()
        assert await cluster.propose(b"a") == b"1:a"
        assert await cluster.propose(b"b") == b"2:b"
        await cluster.stop()
        for vm in VMS:
            await transports[vm].close()
            await listeners[vm][1].cleanup()
            folders[vm].close()
            report = verify.verify_folder(tmp_path / vm).unwrap()
            assert report.is_sound
            assert report.logs[0].record_count > 2

"""Planned stops of a daemon as a process, with signals and real connections."""

import asyncio
import hashlib
import json
import signal
import sys

import aiohttp
import msgspec
import pytest
from aiohttp import web

from quetzalpass import ids
from quetzalpass.bench import local_ports
from quetzalpass.control import messages
from quetzalpass.declarations import schema as declared

HOST = "127.0.0.1"
KEY = "planned-stops"
DATA_CENTRE = ids.DataCentreId("flx-a")
SERVICE = ids.ServiceName("ledger-app")
WORK_S = 2.0
# Longer than any test waits for a daemon to stop.
LONG_WORK_S = 30.0
STOP_S = 5.0
START_S = 15.0
CONNECTIONS = 50
LISTENERS = ("callers", "peers", "operators")


class SlowService:
    """A plain service whose calls take as many seconds as their path says."""

    def __init__(self):
        self.begun = 0
        self.runner = None

    async def start(self):
        app = web.Application()
        app.router.add_get("/health", self.handle_health)
        app.router.add_route("*", "/{work_s}", self.handle_call)
        self.runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, max_headers=4_096
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, 0).start()
        self.url = f"http://{HOST}:{self.runner.addresses[0][1]}"

    async def handle_health(self, request):
        return web.Response(text="ok")

    async def handle_call(self, request):
        self.begun += 1
        await asyncio.sleep(float(request.match_info["work_s"]))
        return web.Response(text="done")

    async def stop(self):
        await self.runner.cleanup()


class DaemonProcess:
    """One daemon, gateway and only replica, as a process of its own."""

    def __init__(self, folder, service):
        self.folder = folder
        self.service = service
        self.ports = dict(zip(LISTENERS, local_ports.free_ports(3), strict=True))
        self.process = None

    async def start(self):
        key_file = self.folder / "key"
        key_file.write_text(KEY)
        settings = {
            "id": "entry-1",
            "data_centre": DATA_CENTRE,
            "roles": ["gateway", "replica"],
            "cluster_key_file": str(key_file),
            "data_folder": str(self.folder / "data"),
        }
        for name, port in self.ports.items():
            settings[name] = {"host": HOST, "port": port}
        settings["operators"]["key_file"] = str(key_file)
        settings_file = self.folder / "settings.yaml"
        settings_file.write_text(json.dumps(settings))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "quetzalpass.daemon.main",
            "--settings",
            str(settings_file),
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        await self.declare()

    async def declare(self):
        """Apply a declaration once the daemon leads, and wait until it is in force."""
        async with asyncio.timeout(START_S):
            while not (await self.operators_call("POST", self.apply_request())).ok:
                await asyncio.sleep(0.1)
            while b"200" not in (await self.exchange(request("/readyz")))[:20]:
                await asyncio.sleep(0.05)

    def apply_request(self):
        server = declared.BackendServer(
            ids.ServerId("service-1"),
            ids.VmId("vm-1"),
            declared.ServerKind.SERVICE,
            self.service.url,
            service=SERVICE,
        )
        key = hashlib.sha256(b"org").hexdigest()
        declaration = declared.Declaration(
            organisations=(declared.Organisation(ids.OrganisationId("org"), (key,)),),
            data_centres=(declared.DataCentre(DATA_CENTRE, ids.RegionId("be")),),
            vms=(declared.Vm(ids.VmId("vm-1"), DATA_CENTRE),),
            servers=(server,),
            services=(declared.Service(SERVICE, (declared.Route("POST", "/"),)),),
        )
        return messages.ApplyRequest(
            ids.OperationId("op-1"), ids.Revision(0), declaration
        )

    async def operators_call(self, method, body):
        headers = {"Authorization": f"Bearer {KEY}"}
        url = f"http://{HOST}:{self.ports['operators']}/v1/declaration"
        try:
            async with aiohttp.ClientSession(headers=headers) as session:
                async with session.request(
                    method, url, data=msgspec.json.encode(body)
                ) as response:
                    await response.read()
                    return response
        except aiohttp.ClientConnectionError:
            return Unavailable()

    async def connect(self):
        return await asyncio.open_connection(HOST, self.ports["callers"])

    async def connect_many(self):
        return [await self.connect() for _ in range(CONNECTIONS)]

    async def exchange(self, data):
        reader, writer = await self.connect()
        writer.write(data)
        response = await read_response(reader)
        writer.close()
        return response

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    async def until_draining(self):
        async with asyncio.timeout(START_S):
            while b" 200 " in await self.exchange(request("/readyz")):
                await asyncio.sleep(0.02)

    async def wait_stopped(self):
        async with asyncio.timeout(STOP_S):
            return await self.process.wait()

    async def stop(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Unavailable:
    """Stands for the response of a daemon that can't be reached yet."""

    ok = False


def request(path, method="GET", headers=""):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer org\r\n"
        f"{headers}\r\n"
    ).encode()


def call(work_s):
    return request(f"/services/{SERVICE}/{work_s}")


def once_call(work_s):
    headers = "Idempotency-Key: k\r\nContent-Length: 0\r\n"
    return request(f"/services/{SERVICE}/{work_s}", "POST", headers)


async def read_response(reader):
    """Return one response; empty bytes if the connection ends without one."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        assert not getattr(error, "partial", b"")
        return b""
    length = int(header(head, "Content-Length"))
    return head + await reader.readexactly(length)


def header(response, name):
    head = response.partition(b"\r\n\r\n")[0].decode()
    lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
    return lines.get(name)


def failure_of(response):
    return json.loads(response.partition(b"\r\n\r\n")[2])["error"]


@pytest.fixture
async def service():
    started = SlowService()
    await started.start()
    yield started
    await started.stop()


@pytest.fixture
async def daemon(tmp_path, service):
    started = DaemonProcess(tmp_path, service)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


async def until_begun(service, count=1):
    async with asyncio.timeout(START_S):
        while service.begun < count:
            await asyncio.sleep(0.01)


class TestDrain:
    async def test_kept_connections_end_after_their_next_response(
        self, daemon, service
    ):
        """A caller's next request would otherwise cross the end of the process."""
        kept_reader, kept_writer = await daemon.connect()
        kept_writer.write(call(0))
        assert header(await read_response(kept_reader), "Connection") is None
        reader, writer = await daemon.connect()
        writer.write(call(WORK_S))
        await until_begun(service, 2)
        daemon.terminate()
        await daemon.until_draining()
        kept_writer.write(call(0))
        refused = await read_response(kept_reader)
        assert failure_of(refused)["name"] == "draining"
        assert header(refused, "Retry-After") == "1"
        assert header(refused, "Connection") == "close"
        response = await read_response(reader)
        assert response.endswith(b"done")
        assert header(response, "Connection") == "close"
        assert await daemon.wait_stopped() == 0
        for each in (kept_writer, writer):
            each.close()

    @pytest.mark.parametrize("is_kept", [False, True])
    async def test_request_that_arrived_before_the_signal_gets_a_response(
        self, daemon, is_kept
    ):
        if is_kept:
            connections = await daemon.connect_many()
        daemon.process.send_signal(signal.SIGSTOP)
        if not is_kept:
            connections = await daemon.connect_many()
        for _, writer in connections:
            writer.write(call(0))
        daemon.terminate()
        daemon.process.send_signal(signal.SIGCONT)
        responses = [await read_response(reader) for reader, _ in connections]
        unanswered = [each for each in responses if not each]
        assert not unanswered
        for response in responses:
            is_served = response.endswith(b"done")
            assert is_served or failure_of(response)["name"] == "draining"
        assert await daemon.wait_stopped() == 0
        for _, writer in connections:
            writer.close()


class TestSecondSignal:
    @pytest.mark.parametrize("make_call", [call, once_call])
    async def test_call_that_still_runs_gets_a_response(
        self, daemon, service, make_call
    ):
        reader, writer = await daemon.connect()
        writer.write(make_call(LONG_WORK_S))
        await until_begun(service)
        daemon.terminate()
        await daemon.until_draining()
        daemon.terminate()
        response = await asyncio.wait_for(read_response(reader), STOP_S)
        assert failure_of(response)["name"] == "outcome_unknown"
        assert failure_of(response)["execution"] == "may_have_run"
        assert header(response, "Connection") == "close"
        assert await daemon.wait_stopped() == 0
        writer.close()

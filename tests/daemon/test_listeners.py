import asyncio
import ssl
import subprocess

import pytest
from aiohttp import web

from quetzalpass.daemon import listeners
from quetzalpass.settings import schema


def make_certificate(folder, name):
    subprocess.run(
        [
            *("openssl", "req", "-x509", "-newkey", "ec", "-nodes", "-days", "2"),
            *("-pkeyopt", "ec_paramgen_curve:prime256v1", "-subj", f"/CN={name}"),
            *("-addext", "subjectAltName=IP:127.0.0.1"),
            *("-keyout", str(folder / "key.pem"), "-out", str(folder / "cert.pem")),
        ],
        check=True,
        capture_output=True,
    )
    return (folder / "cert.pem").read_text()


async def handle_stream(request):
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(b"begin ")
    await request.app["may_finish"].wait()
    await response.write(b"end")
    return response


async def handle_slowly(request):
    await asyncio.sleep(0.5)
    return web.Response(text="late")


class TestCertificates:
    @pytest.fixture
    async def opened(self, tmp_path):
        self.folder = tmp_path
        self.first_certificate = make_certificate(tmp_path, "first")
        tls = schema.Tls(str(tmp_path / "cert.pem"), str(tmp_path / "key.pem"))
        app = web.Application()
        app["may_finish"] = asyncio.Event()
        app.router.add_get("/", handle_stream)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        listener = listeners.HttpListener(
            runner, schema.Listener("127.0.0.1", 0, tls=tls)
        )
        await listener.start()
        self.may_finish = app["may_finish"]
        yield listener
        await listener.close(1.0)

    async def connect(self, listener, trusted):
        context = ssl.create_default_context(cadata=trusted)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listener.port(), ssl=context
        )
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        await reader.readuntil(b"begin ")
        return reader, writer

    async def test_a_reload_cuts_no_open_stream(self, opened):
        reader, writer = await self.connect(opened, self.first_certificate)
        second = make_certificate(self.folder, "second")
        assert opened.reloader.reload_if_changed()
        with pytest.raises(ssl.SSLError):
            await self.connect(opened, self.first_certificate)
        new_reader, new_writer = await self.connect(opened, second)
        self.may_finish.set()
        for each in (reader, new_reader):
            assert b"end" in await each.read()
        for each in (writer, new_writer):
            each.close()

    async def test_files_that_do_not_match_keep_the_old_certificate(self, opened):
        old_key = (self.folder / "key.pem").read_text()
        make_certificate(self.folder, "second")
        (self.folder / "key.pem").write_text(old_key)
        assert not opened.reloader.reload_if_changed()
        reader, writer = await self.connect(opened, self.first_certificate)
        self.may_finish.set()
        assert b"end" in await reader.read()
        writer.close()

    async def test_files_that_are_missing_for_a_time_are_loaded_afterwards(
        self, opened
    ):
        for name in ("key.pem", "cert.pem"):
            (self.folder / name).unlink()
        assert not opened.reloader.reload_if_changed()
        second = make_certificate(self.folder, "second")
        assert opened.reloader.reload_if_changed()
        reader, writer = await self.connect(opened, second)
        self.may_finish.set()
        assert b"end" in await reader.read()
        writer.close()

    async def test_unchanged_files_are_not_loaded(self, opened):
        assert not opened.reloader.reload_if_changed()


class TestClose:
    async def test_a_response_that_is_not_read_yet_is_flushed(self):
        async def handle(request):
            return web.Response(body=b"x" * 8_000_000)

        app = web.Application()
        app.router.add_get("/", handle)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        listener = listeners.HttpListener(runner, schema.Listener("127.0.0.1", 0))
        await listener.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", listener.port())
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"200" in head
        closing = asyncio.create_task(listener.close(30.0))
        await asyncio.sleep(0)
        assert len(await reader.read()) == 8_000_000
        await closing
        writer.close()

    async def test_request_that_arrives_while_the_listener_closes_gets_a_response(self):
        app = web.Application()
        app.router.add_get("/", handle_slowly)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        listener = listeners.HttpListener(runner, schema.Listener("127.0.0.1", 0))
        await listener.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", listener.port())
        await asyncio.sleep(0.05)
        closing = asyncio.create_task(listener.close(30.0))
        await asyncio.sleep(0.02)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        response = await reader.read()
        assert response.startswith(b"HTTP/1.1 200")
        assert b"Connection: close" in response
        assert response.endswith(b"late")
        await closing
        writer.close()

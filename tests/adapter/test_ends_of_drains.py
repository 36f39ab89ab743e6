"""Requests that a stop of a gateway leaves without an answer, or answers wrongly."""

import asyncio

import msgspec

from platform_standin import standin


async def end_of_drain(gateway):
    """Stop like ``main.run_gateway`` once the time of the drain is over."""
    gateway.role.settings = msgspec.structs.replace(gateway.role.settings, drain_s=0.0)
    await gateway.role.drain()
    await gateway.caller_ingress.stop()


async def connect(gateway):
    return await asyncio.open_connection(standin.HOST, gateway.port)


class TestEndOfDrain:
    async def test_request_that_waits_for_the_first_declaration_is_refused(
        self, gateway
    ):
        gateway.role.holder.current = None
        reader, writer = await connect(gateway)
        data = standin.request_bytes("/once/1")
        writer.write(data.replace(b"X-Deadline-Ms: 1500", b"X-Deadline-Ms: 6000"))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(end_of_drain(gateway))
        response = await standin.read_message(reader)
        assert response.status == 503
        await stopping
        writer.close()

    async def test_request_whose_body_is_incomplete_is_refused(self, gateway):
        reader, writer = await connect(gateway)
        data = standin.request_bytes("/once/1", body=b"x" * 1_000)
        writer.write(data[:-500])
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(end_of_drain(gateway))
        response = await standin.read_message(reader)
        assert response.status == 503
        await stopping
        writer.close()

    async def test_generation_that_was_never_sent_is_refused_as_not_run(self, gateway):
        reader, writer = await connect(gateway)
        writer.write(standin.request_bytes("/drafts/1", ["X-Token-Usage: 10,80"]))
        await asyncio.sleep(0.2)
        stopping = asyncio.create_task(end_of_drain(gateway))
        response = await standin.read_message(reader)
        assert response.status == 503
        await stopping
        writer.close()


class TestDuringDrain:
    async def test_kept_connection_with_half_a_header_is_not_closed_as_idle(
        self, gateway, platform
    ):
        server = await standin.RawServer(respond_at_once).start()
        platform.add(server, "i-1")
        await gateway.until_listed(1)
        reader, writer = await connect(gateway)
        writer.write(standin.request_bytes("/once/1"))
        assert (await standin.read_message(reader)).status == 200
        data = standin.request_bytes("/once/1", request_id="q-2")
        writer.write(data[:30])
        await asyncio.sleep(0.05)
        gateway.role.gateway.requests.begin_drain(5.0)
        gateway.caller_ingress.close_idle()
        await asyncio.sleep(0.05)
        writer.write(data[30:])
        response = await standin.read_message(reader)
        assert response.status == 200
        assert response.header("Connection") == "close"
        writer.close()
        server.stop()

    async def test_every_response_says_that_the_connection_closes(self, gateway):
        reader, writer = await connect(gateway)
        gateway.role.gateway.requests.begin_drain(5.0)
        writer.write(b"GET /once/1 HTTP/1.1\r\nHost: a\r\n\r\n")
        response = await standin.read_message(reader)
        assert response.status == 400
        assert response.header("Connection") == "close"
        writer.close()


async def respond_at_once(request, writer):
    writer.write(standin.response_bytes(request))

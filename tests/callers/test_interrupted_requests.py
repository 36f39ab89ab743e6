"""Requests that still run when a VM stops at once."""

import asyncio

import pytest

from quetzalpass import ids
from quetzalpass.results import codes

from .test_malformed import post, result_code
from .test_streams import stream_request

pytestmark = pytest.mark.looptime
CODE = codes.Code
LONG = b'{"model": "claims-llm", "prompt": "a draft [tokens=9000]"}'


class TestInterruption:
    async def test_request_that_runs_gets_a_response(self, start_frontend):
        frontend = await start_frontend()
        response = asyncio.create_task(frontend.send(post(LONG)))
        await asyncio.sleep(0.5)
        await frontend.gateway.interrupt()
        assert result_code(await response) is CODE.OUTCOME_UNKNOWN

    async def test_request_that_waits_for_a_server_has_not_run(self, start_frontend):
        frontend = await start_frontend(engines=1)
        frontend.gateway.admission_queue.eject(ids.ServerId("engine-0"), "test")
        response = asyncio.create_task(frontend.send(post(LONG)))
        await asyncio.sleep(0.5)
        assert not response.done()
        await frontend.gateway.interrupt()
        assert result_code(await response) is CODE.DRAINING

    async def test_request_whose_body_is_still_received_has_not_run(
        self, start_frontend
    ):
        frontend = await start_frontend()
        reader, writer = await frontend.connect()
        writer.write(post(LONG, length=len(LONG) + 1))
        await asyncio.sleep(0.5)
        await frontend.gateway.interrupt()
        assert result_code(await reader.readuntil(b"}}")) is CODE.DRAINING
        writer.close()

    async def test_stream_that_runs_does_not_look_complete(self, start_frontend):
        frontend = await start_frontend()
        reader, writer = await frontend.connect()
        writer.write(stream_request("a draft [tokens=9000]"))
        await reader.readuntil(b"data: ")
        await frontend.gateway.interrupt()
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readuntil(b"0\r\n\r\n")
        writer.close()
        assert frontend.gateway.requests == 0

import asyncio
import socket

import pytest

from quetzalpass.standin import faults, text

from .test_malformed import post, result_of

pytestmark = pytest.mark.looptime


def stream_post(prompt):
    body = f'{{"model":"claims-llm","prompt":"{prompt}","stream":true}}'
    return post(body.encode())


class TestSlowCallers:
    async def test_engine_is_held_back_then_caller_is_cut(self, open_site):
        site = await open_site(token_s=0.0005)
        reader, writer = await site.connect()
        transport = writer.transport
        link = transport.get_extra_info("socket")
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        transport.pause_reading()
        writer.write(stream_post("a draft [tokens=99999]"))
        connection = None
        held = 0
        for _ in range(400):
            await asyncio.sleep(0.05)
            for each in site.opened[0].runner.server.connections:
                if each.transport is not None:
                    connection = each
                    held = max(held, each.transport.get_write_buffer_size())
            if connection is not None and connection.transport is None:
                break
        assert connection.transport is None
        assert 0 < held < 200_000
        await asyncio.sleep(2.0)
        assert site.gateway.requests == 0
        assert not site.engine.server.running
        writer.close()


class TestCallersThatGo:
    async def test_generation_is_cancelled_after_the_grace(self, open_site):
        site = await open_site()
        reader, writer = await site.connect()
        writer.write(stream_post("a draft [tokens=9000]"))
        await reader.readuntil(b"data: ")
        writer.transport.abort()
        await asyncio.sleep(5.0)
        assert not site.engine.server.running
        assert site.gateway.requests == 0


class TestLongWaits:
    @pytest.mark.parametrize("at_offset", [0, 3])
    async def test_comments_come_while_no_token_does(self, open_site, at_offset):
        site = await open_site(engines=1)
        site.engine.add_fault(faults.FaultKind.SILENCE, at_offset=at_offset)
        prompt = "a draft [tokens=6]"
        answer = await site.send(stream_post(prompt))
        assert answer.count(b": keep-alive\n\n") >= 5
        assert answer.endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n")
        for offset in range(6):
            token = text.token_text(text.prompt_tag_of(prompt), offset)
            assert answer.count(token.encode()) == 1


class TestListenerClose:
    async def test_running_streams_end_whole(self, open_site):
        site = await open_site()
        prompt = "a draft [tokens=200]"
        answer = asyncio.create_task(site.send(stream_post(prompt)))
        await asyncio.sleep(0.5)
        site.gateway.draining = True
        refused = await site.send(post())
        assert result_of(refused).name == "DRAINING"
        while site.gateway.requests:
            await asyncio.sleep(0.05)
        await site.opened[0].close(1.0)
        assert (await answer).endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n")
        with pytest.raises(OSError):
            await site.connect()

import asyncio
import socket

import pytest

from quetzalpass.standin import faults, text

from .test_malformed import post, result_code

pytestmark = pytest.mark.looptime


def stream_request(prompt):
    body = f'{{"model":"claims-llm","prompt":"{prompt}","stream":true}}'
    return post(body.encode())


class TestSlowCallers:
    async def test_engine_is_paused_then_caller_is_disconnected(self, start_frontend):
        frontend = await start_frontend(token_s=0.0005)
        reader, writer = await frontend.connect()
        transport = writer.transport
        tcp_socket = transport.get_extra_info("socket")
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        transport.pause_reading()
        writer.write(stream_request("a draft [tokens=99999]"))
        connection = None
        max_buffered_bytes = 0
        for _ in range(400):
            await asyncio.sleep(0.05)
            for each in frontend.opened[0].runner.server.connections:
                if each.transport is not None:
                    connection = each
                    max_buffered_bytes = max(
                        max_buffered_bytes, each.transport.get_write_buffer_size()
                    )
            if connection is not None and connection.transport is None:
                break
        assert connection.transport is None
        assert 0 < max_buffered_bytes < 200_000
        await asyncio.sleep(2.0)
        assert frontend.gateway.requests == 0
        assert not frontend.engine.server.running
        writer.close()


class TestDisconnectedCallers:
    async def test_generation_is_cancelled_after_grace_period(self, start_frontend):
        frontend = await start_frontend()
        reader, writer = await frontend.connect()
        writer.write(stream_request("a draft [tokens=9000]"))
        await reader.readuntil(b"data: ")
        writer.transport.abort()
        await asyncio.sleep(5.0)
        assert not frontend.engine.server.running
        assert frontend.gateway.requests == 0


class TestKeepAlive:
    @pytest.mark.parametrize("at_offset", [0, 3])
    async def test_keep_alive_comments_are_sent_while_no_tokens_arrive(
        self, start_frontend, at_offset
    ):
        frontend = await start_frontend(engines=1)
        frontend.engine.add_fault(faults.FaultKind.SILENCE, at_offset=at_offset)
        prompt = "a draft [tokens=6]"
        response = await frontend.send(stream_request(prompt))
        assert response.count(b": keep-alive\n\n") >= 5
        assert response.endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n")
        for offset in range(6):
            token = text.token_text(text.prompt_tag(prompt), offset)
            assert response.count(token.encode()) == 1


class TestListenerClose:
    async def test_running_streams_are_completed(self, start_frontend):
        frontend = await start_frontend()
        prompt = "a draft [tokens=200]"
        response = asyncio.create_task(frontend.send(stream_request(prompt)))
        await asyncio.sleep(0.5)
        frontend.gateway.draining = True
        refused = await frontend.send(post())
        assert result_code(refused).name == "DRAINING"
        while frontend.gateway.requests:
            await asyncio.sleep(0.05)
        await frontend.opened[0].close(1.0)
        assert (await response).endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n")
        with pytest.raises(OSError):
            await frontend.connect()

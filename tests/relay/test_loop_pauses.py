"""Unframed responses that arrive while the gateway stands still (review/14).

A server that crashed in such a response may be back at its address before the gateway
reads that its connection has closed.
"""

import asyncio

import pytest

from quetzalpass.backends import relays
from quetzalpass.relay import loop_pauses
from relay import gateway_harness, test_relayed_calls

pytestmark = pytest.mark.looptime
TICK_S = 0.25


async def serve(harness, body_end, paused_s):
    """Serve a call of 0.4 s; a pause is noticed at a time after its arrival."""
    await asyncio.sleep(5.0)
    for each in harness.servers:
        server = harness.server(each.id)
        server.body_end = body_end
        server.delay_s = 0.4
    pauses = harness.gateway.crash_checks.pauses
    if paused_s is not None:
        pauses.ended_s = asyncio.get_running_loop().time() + paused_s
    return await harness.serve()


class TestUnframedResponses:
    async def test_response_read_after_a_pause_is_not_whole(self):
        harness = test_relayed_calls.non_idempotent_harness(1)
        response = await serve(harness, relays.BodyEnd.CLOSE, 0.2)
        assert response.status == 502

    async def test_idempotent_call_is_tried_again(self):
        harness = test_relayed_calls.ledger_harness()
        response = await serve(harness, relays.BodyEnd.CLOSE, 0.2)
        assert test_relayed_calls.total_send_count(harness) == 2
        assert response.status == 502

    @pytest.mark.parametrize("paused_s", [None, -1.0])
    async def test_earlier_pause_does_not_matter(self, paused_s):
        harness = test_relayed_calls.non_idempotent_harness(1)
        response = await serve(harness, relays.BodyEnd.CLOSE, paused_s)
        assert response.status == 200

    @pytest.mark.parametrize("body_end", [relays.BodyEnd.LENGTH, relays.BodyEnd.CHUNKS])
    async def test_framed_response_is_whole_after_a_pause(self, body_end):
        harness = test_relayed_calls.non_idempotent_harness(1)
        response = await serve(harness, body_end, 0.2)
        assert response.status == 200


class TestLoopPauses:
    async def test_regular_ticks_are_no_pause(self):
        pauses = loop_pauses.LoopPauses()
        for _ in range(10):
            pauses.tick(TICK_S)
            await asyncio.sleep(TICK_S + 0.1)
        assert not pauses.has_paused_since(0.0, TICK_S)

    async def test_late_tick_is_a_pause(self):
        pauses = loop_pauses.LoopPauses()
        pauses.tick(TICK_S)
        await asyncio.sleep(3.0)
        pauses.tick(TICK_S)
        now_s = asyncio.get_running_loop().time()
        assert pauses.has_paused_since(now_s - 1.0, TICK_S)
        assert not pauses.has_paused_since(now_s + 0.1, TICK_S)

    async def test_pause_is_noticed_before_its_tick(self):
        pauses = loop_pauses.LoopPauses()
        pauses.tick(TICK_S)
        await asyncio.sleep(3.0)
        assert pauses.has_paused_since(2.9, TICK_S)

    async def test_gateway_ticks_while_it_runs(self):
        harness = gateway_harness.GatewayHarness([])
        harness.gateway.start()
        await asyncio.sleep(1.1)
        now_s = asyncio.get_running_loop().time()
        assert now_s - harness.gateway.crash_checks.pauses.ticked_s <= TICK_S
        await harness.gateway.close()

import asyncio

import pytest
from returns import result

from quetzalpass import ids
from quetzalpass.membership import inner_messages, summaries
from quetzalpass.routing import servers

VM = ids.VmId("entry-1")


class FakePeer:
    def __init__(self):
        self.vm = ids.VmId("entry-2")
        self.sent_at_s = []

    async def send_summary(self, summary, timeout_s):
        self.sent_at_s.append(asyncio.get_running_loop().time())
        return result.Success(inner_messages.SummaryReply())


def make_summary():
    return inner_messages.GatewaySummary(VM, servers.PeerDispatches(VM, 1, ()))


@pytest.mark.looptime
class TestSummarySender:
    async def test_a_requested_summary_is_sent_at_once(self):
        peer = FakePeer()
        sender = summaries.SummarySender({peer.vm: peer}, make_summary)
        sender.start()
        await asyncio.sleep(0.1)
        sender.send_now()
        await asyncio.sleep(0.1)
        assert len(peer.sent_at_s) == 2
        await asyncio.sleep(summaries.IDLE_INTERVAL_S)
        assert len(peer.sent_at_s) == 3
        sender.stop()

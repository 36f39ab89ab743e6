import pytest

from fakes import backends
from fuzz import simulated_cluster
from quetzalpass.declarations import schema
from quetzalpass.lifecycle import requests
from quetzalpass.results import codes

pytestmark = pytest.mark.looptime


class TestSimulatedCluster:
    async def test_declaration_is_propagated_and_requests_are_served(self):
        cluster = simulated_cluster.SimulatedCluster(seed=1)
        await cluster.start_all()
        first, second = cluster.gateways()
        data = schema.encode(cluster.declaration())
        outcome = await cluster.apply(first, "op-1", 0, data, "a")
        assert outcome.accepted
        daemons = cluster.daemons.values()
        await cluster.wait_until(
            lambda: all(each.holder.revision() == 1 for each in daemons)
        )
        tokens = []
        stream = requests.Delivery.STREAM
        assert await first.generate("request-1", "a=30", stream, tokens) is None
        generation_id = tokens[0].split("|")[1]
        assert tokens == [
            backends.token_text("a=30", generation_id, n) for n in range(30)
        ]
        call = await first.call("request-2", "k", b"body")
        again = await second.call("request-3", "k", b"body")
        assert call.unwrap().code is codes.Code.OK
        assert again.unwrap().code is codes.Code.REPLAYED
        assert cluster.record.runs_of_key == {"k": 1}
        await cluster.stop()

import pytest

from fakes import backends
from fuzz import world
from quetzalpass.declarations import schema
from quetzalpass.lifecycle import requests
from quetzalpass.results import codes

pytestmark = pytest.mark.looptime


class TestWorld:
    async def test_declared_state_spreads_and_requests_are_served(self):
        installation = world.World(seed=1)
        await installation.start_all()
        first, second = installation.gateways()
        data = schema.encode(installation.declaration())
        outcome = await installation.apply(first, "op-1", 0, data, "a")
        assert outcome.accepted
        daemons = installation.daemons.values()
        await installation.until(
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
        assert installation.record.runs_of_key == {"k": 1}
        await installation.stop()

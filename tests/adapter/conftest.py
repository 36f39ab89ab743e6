import asyncio
import random

import pytest

from fleet_adapter import desired_state, ingress, instances, replicas
from platform_standin import standin
from quetzalpass import ids
from quetzalpass.daemon import gateway_role
from quetzalpass.declarations import schema
from quetzalpass.membership import control_links
from quetzalpass.relay import shared_budget

READY_S = 3.0


class Gateway:
    """A gateway with the platform's adapter, but without a control node."""

    def __init__(self, platform):
        self.platform = platform
        settings = gateway_role.GatewaySettings(
            ids.VmId("127.0.0.1:1"),
            ids.DataCentreId("flx-a"),
            (ids.VmId("127.0.0.1:9"),),
            shared_budget.BudgetRules(),
            2.0,
        )
        self.connector = replicas.ReplicaConnector()
        self.role = gateway_role.GatewayRole(
            settings,
            instances.InstanceList(platform.list.address),
            self.connector,
            "key",
            random.Random(0),
        )
        self.caller_ingress = ingress.Ingress(self.role)

    async def start(self):
        self.role.start()
        await self.caller_ingress.start("127.0.0.1:0", "127.0.0.1:0")
        self.port, self.ready_port = (
            runner.addresses[0][1] for runner in self.caller_ingress.runners
        )

    def adopt(self, body, revision=7):
        declaration = desired_state.make_declaration(desired_state.decode(body))
        data = schema.encode(declaration)
        self.role.holder.activate(ids.Revision(revision), schema.digest_of(data), data)

    async def until_listed(self, count):
        async with asyncio.timeout(READY_S):
            while len(self.role.view.servers) < count:
                await asyncio.sleep(0.01)

    async def stop(self):
        await self.caller_ingress.stop()
        await self.role.stop()
        await self.connector.close()


@pytest.fixture
async def platform():
    stub_platform = standin.Platform()
    await stub_platform.list.start()
    yield stub_platform
    stub_platform.list.stop()


@pytest.fixture
async def gateway(platform, monkeypatch):
    monkeypatch.setattr(control_links, "DIRECT_READ_INTERVAL_S", 0.05)
    monkeypatch.setattr(control_links, "FLEET_SILENCE_S", 0.0)
    running_gateway = Gateway(platform)
    await running_gateway.start()
    running_gateway.adopt(standin.state())
    yield running_gateway
    await running_gateway.stop()

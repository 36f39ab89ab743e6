"""Services that a gateway has lost, and probes that fail by an error of their own."""

import asyncio
import random

import pytest

from quetzalpass import ids
from quetzalpass.lifecycle import reach_checks

pytestmark = pytest.mark.looptime

SERVICE = ids.ServiceName("ledger")
BACK_S = 3.0


class FakeProber(reach_checks.Prober):
    """Servers that are out of reach, until ``error`` or ``is_reached`` says else."""

    def __init__(self):
        self.is_reached = False
        self.error = None

    def services(self):
        return {SERVICE}

    def servers(self, service):
        return ["one", "two", "three"]

    async def responds(self, server, timeout_s):
        if self.error is not None:
            raise self.error
        return self.is_reached


@pytest.fixture
async def checks():
    made = reach_checks.ReachChecks(FakeProber(), random.Random(0))
    yield made
    made.close()


class TestRechecks:
    async def lose(self, checks):
        checks.suspect(SERVICE)
        await asyncio.sleep(1.0)
        assert checks.is_lost(SERVICE)

    async def test_a_service_is_back_after_its_servers_answer_again(self, checks):
        await self.lose(checks)
        checks.prober.is_reached = True
        await asyncio.sleep(BACK_S)
        assert not checks.is_lost(SERVICE)

    async def test_a_service_is_back_although_a_probe_of_it_has_failed(self, checks):
        await self.lose(checks)
        checks.prober.error = RuntimeError("can't start new thread")
        await asyncio.sleep(5.0)
        checks.prober.error = None
        checks.prober.is_reached = True
        await asyncio.sleep(BACK_S)
        assert not checks.is_lost(SERVICE)

    async def test_a_service_is_back_although_an_observer_of_its_loss_failed(
        self, checks
    ):
        def fail(service):
            raise RuntimeError(service)

        checks.loss_observers.append(fail)
        await self.lose(checks)
        checks.prober.is_reached = True
        await asyncio.sleep(BACK_S)
        assert not checks.is_lost(SERVICE)

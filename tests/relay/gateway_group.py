"""Several gateways that share a fleet and report to one control node, for tests."""

import asyncio
import random

from quetzalpass import ids
from quetzalpass.membership import fleet_messages, fleet_registry
from quetzalpass.results import codes
from relay import gateway_harness

EXCHANGE_WAIT_S = 0.25
# Callers of streams leave after this time without an event.
STREAM_PATIENCE_S = 7.2


class GatewayGroup:
    """Gateways, and the registry through which they learn of each other's reports."""

    def __init__(self, fleet, source, count, seed=0, declaration=None):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.is_active = True
        self.registry = fleet_registry.FleetRegistry(source, lambda: self.is_active, 1)
        self.declaration = declaration
        self.gateways = [self.new_gateway(number) for number in range(count)]
        self.versions = [0] * count
        self.request_count = 0
        self.tasks = []

    def new_gateway(self, number):
        harness = gateway_harness.GatewayHarness(
            self.fleet.listed(),
            fleet=self.fleet,
            vm=f"gw-{number}",
            seed=self.rng.getrandbits(32),
            declaration=self.declaration,
        )
        harness.gateway.start()
        return harness

    def restart_gateway(self, number):
        """Replace a gateway by a new process at the same address.

        Like a process, it has no list of servers before the first reply of the
        registry, which brings the suspects too.
        """
        self.gateways[number] = self.new_gateway(number)
        self.gateways[number].view.read_at_s = None
        self.versions[number] = 0

    async def __aenter__(self):
        await self.registry.read_once()
        self.tasks = [asyncio.create_task(self.registry.run())]
        for number in range(len(self.gateways)):
            self.tasks.append(asyncio.create_task(self.exchange_repeatedly(number)))
        return self

    async def __aexit__(self, *error):
        for task in self.tasks:
            task.cancel()
        for each in self.gateways:
            await each.gateway.close()

    async def exchange_repeatedly(self, number):
        await asyncio.sleep(self.rng.uniform(0.0, EXCHANGE_WAIT_S))
        while True:
            await self.exchange(number)

    async def exchange(self, number):
        """Report to the registry and apply its reply, as a gateway's role does."""
        harness = self.gateways[number]
        suspects = harness.gateway.suspects
        now_s = asyncio.get_running_loop().time()
        reply = await self.registry.handle(
            fleet_messages.FleetRequest(
                ids.VmId(f"gw-{number}"),
                self.versions[number],
                EXCHANGE_WAIT_S,
                harness.reservations.own_uses(),
                verdicts=suspects.suspect_reports_since(0),
                retries=harness.budget.retry_counts(now_s),
            ),
            None,
            (),
        )
        if not reply.is_watching:
            await asyncio.sleep(EXCHANGE_WAIT_S)
            return
        self.versions[number] = reply.version
        if reply.servers is not None:
            harness.view.replace_servers(reply.servers, reply.age_s)
        now_s = asyncio.get_running_loop().time()
        harness.view.read_at_s = now_s - reply.age_s
        harness.view.replace_uses(reply.uses, reply.gateways)
        harness.budget.update_gateways(reply.gateways, reply.retries, now_s)
        suspects.merge(reply.verdicts)

    async def call(self, path, body, number=None, **changes):
        """Send one request through a gateway; return its response, or None if left."""
        self.request_count += 1
        if number is None:
            number = self.rng.randrange(len(self.gateways))
        request_id = ids.RequestId(f"r-{self.request_count}")
        response, task = self.gateways[number].start(
            path, body=body, request_id=request_id, **changes
        )
        patience_s = STREAM_PATIENCE_S if path.startswith("/drafts") else 10.0
        await asyncio.wait({task}, timeout=patience_s)
        if not task.done() and not response.data:
            task.cancel()
        await asyncio.wait({task})
        return None if task.cancelled() else response


def is_quarantined(response):
    """Return whether a response refuses a request because it crashes servers."""
    prefix = f"{codes.Code.QUARANTINED.value} ".encode()
    return response is not None and response.data.startswith(prefix)

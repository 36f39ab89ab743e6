"""A gateway for declared routes on fake servers, for tests."""

import asyncio
import random

from declarations import relay_builders
from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration, fleet_view
from quetzalpass.relay import (
    relay_gateway,
    relay_requests,
    relay_reservations,
    relaying,
    shared_budget,
)

SIZE = relay_requests.GenerationSize(3_000, 900, 800)


class FakeCallerResponse(relay_requests.CallerResponse):
    def __init__(self):
        self.has_begun = False
        self.head = None
        self.data = b""
        self.is_complete = False
        self.is_aborted = False
        self.times_s = []

    async def send_whole(self, head, body):
        assert not self.has_begun
        self.has_begun = True
        self.head = head
        self.data = body
        self.is_complete = True

    async def begin(self, head):
        assert not self.has_begun
        self.has_begun = True
        self.head = head

    async def write(self, data):
        self.data += data
        self.times_s.append(asyncio.get_running_loop().time())

    async def finish(self):
        self.is_complete = True

    def abort(self):
        self.is_aborted = True

    @property
    def status(self):
        return self.head.status

    def header(self, name):
        found = [each.value for each in self.head.headers if each.name == name]
        return found[0] if found else None

    def longest_pause_s(self):
        pairs = zip(self.times_s, self.times_s[1:], strict=False)
        return max(later - earlier for earlier, later in pairs)


class GatewayHarness:
    def __init__(
        self, servers, length=20, declaration=None, seed=0, fleet=None, vm="gw-1"
    ):
        self.fleet = fleet or relay_servers.Fleet(length)
        self.rng = random.Random(seed)
        self.holder = configuration.ConfigurationHolder()
        self.view = fleet_view.FleetView()
        data_centre = ids.DataCentreId("flx-a")
        self.reservations = relay_reservations.ServerReservations(
            self.view, data_centre, self.rng, ids.VmId(vm)
        )
        self.budget = shared_budget.SharedBudget(shared_budget.BudgetRules())
        self.gateway = relay_gateway.RelayGateway(
            ids.VmId(vm),
            self.holder,
            self.view,
            self.reservations,
            self.budget,
            self.fleet.connect,
            self.rng,
        )
        self.servers = list(servers)
        self.count = 0
        self.tasks = set()
        declaration = declaration or relay_builders.declaration()
        data = schema.encode(declaration)
        self.holder.activate(ids.Revision(1), schema.digest_of(data), data)
        self.publish_server_list()

    def publish_server_list(self):
        self.view.replace_servers(tuple(self.servers), 0.0)

    def server(self, name):
        return self.fleet.server(name)

    def request(self, path="/reads/1", **changes):
        self.count += 1
        values = {
            "request_id": ids.RequestId(f"r-{self.count}"),
            "method": "POST",
            "target": path,
            "host": "desk.example",
            "headers": (),
            "body": b"body",
            "key": relay_builders.KEY,
            "time_left_s": None,
            "arrived_s": asyncio.get_running_loop().time(),
            "size": SIZE if path.startswith("/drafts") else None,
        }
        return relay_requests.RelayRequest(**{**values, **changes})

    def start(self, path="/reads/1", **changes):
        response = FakeCallerResponse()
        request = self.request(path, **changes)
        task = asyncio.create_task(relaying.serve(self.gateway, request, response))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return response, task

    async def serve(self, path="/reads/1", **changes):
        response, task = self.start(path, **changes)
        await task
        return response

    def send_count(self, name):
        return len(self.server(name).sent)

    def mark_leaving(self, name):
        self.servers = [
            relay_servers.discovered(
                each.id,
                each.service,
                each.data_centre,
                state=fleet_view.discovery.ServerState.LEAVING,
            )
            if each.id == name
            else each
            for each in self.servers
        ]
        self.publish_server_list()


def events(count):
    return b"".join(relay_servers.event(number) for number in range(1, count + 1))

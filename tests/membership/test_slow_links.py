"""Declarations that reach a gateway over a narrow link from all control nodes."""

import asyncio
import random

import msgspec
import pytest
from returns import result

from declarations import relay_builders
from quetzalpass import ids
from quetzalpass.daemon import peers
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration, control_links, fleet_view
from quetzalpass.results import codes, failures

pytestmark = pytest.mark.looptime

# The grown deployment: narrow links of the entry VMs, and its bound for a change.
LINK_BYTES_PER_S = 5_000_000 / 8
IN_FORCE_WITHIN_S = 2.5
CONTROL_NODES = 8
ADDED_ROUTES = 700
PACKET_BYTES = 1_460


class NarrowLink:
    """The link of one gateway, which all transfers to it share packet by packet."""

    def __init__(self):
        self.lock = asyncio.Lock()

    async def transfer(self, size_bytes):
        while size_bytes > 0:
            async with self.lock:
                await asyncio.sleep(PACKET_BYTES / LINK_BYTES_PER_S)
            size_bytes -= PACKET_BYTES


class ControlNodes:
    """Control nodes that hold the same declaration, behind one narrow link."""

    def __init__(self):
        self.holder = configuration.ConfigurationHolder()
        self.link = NarrowLink()

    def publish(self, revision, declaration):
        data = schema.encode(declaration)
        self.holder.activate(ids.Revision(revision), schema.digest_of(data), data)

    async def call(self, vm, request, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                if self.holder.revision() <= request.newer_than:
                    await self.holder.wait_newer(request.newer_than, request.wait_s)
                reply = peers.declaration_reply(self.holder, request)
                await self.link.transfer(len(msgspec.json.encode(reply)))
        except TimeoutError:
            return result.Failure(failures.Failure(codes.Code.UNREACHABLE, "timeout"))
        return result.Success(reply)


def make_links(nodes):
    vms = tuple(ids.VmId(f"c-{number}") for number in range(CONTROL_NODES))
    return control_links.ControlLinks(
        ids.VmId("gw-1"),
        vms,
        configuration.ConfigurationHolder(),
        fleet_view.FleetView(),
        channel=nodes,
        source=None,
        make_request=None,
        rng=random.Random(1),
    )


def many_routes(rng):
    """Return routes whose names have nothing in common."""
    return [
        relay_builders.route(
            name=f"r-{rng.getrandbits(40):x}",
            host=f"{rng.getrandbits(32):x}.example",
            path_prefix=f"/{rng.getrandbits(40):x}/",
        )
        for _ in range(ADDED_ROUTES)
    ]


@pytest.mark.parametrize("wait_before_s", [0.0, 0.2, 0.5, 0.9])
class TestLargeChanges:
    async def test_change_is_in_force_in_time(self, wait_before_s):
        nodes = ControlNodes()
        nodes.publish(1, relay_builders.declaration(relay_builders.route()))
        links = make_links(nodes)
        links.follow_controls()
        await asyncio.sleep(1.0 + wait_before_s)
        assert links.holder.revision() == 1
        routes = many_routes(random.Random(1))
        nodes.publish(2, relay_builders.declaration(*routes))
        assert await links.holder.wait_newer(ids.Revision(1), IN_FORCE_WITHIN_S)
        links.stop()

import asyncio
import random

import msgspec
import pytest
from returns import result

import builders
from quetzalpass import ids
from quetzalpass.daemon import peers as peers_interface
from quetzalpass.declarations import schema as declared
from quetzalpass.membership import configuration, inner_messages, propagation
from quetzalpass.results import codes, failures
from quetzalpass.settings import schema

UNREACHABLE = result.Failure(failures.Failure(codes.Code.UNREACHABLE, "cut off"))
LISTENER = schema.Listener("127.0.0.1", 0)
TARGET_S = 4.0


def declaration_reply(revision):
    model = declared.Model(builders.MODEL, ids.VersionName(str(revision)))
    data = declared.encode(builders.declaration([], models=(model,)))
    return inner_messages.DeclarationReply(
        ids.Revision(revision), declared.digest_of(data), data
    )


class FakePeer:
    """Replies from a holder over a link that can be cut, silenced or corrupted."""

    def __init__(self, holder):
        self.holder = holder
        self.cut = False
        self.silent = False
        self.corrupts_deltas = False
        self.bytes_sent = 0

    async def fetch_declaration(self, newer_than, wait_s, timeout_s, whole=False):
        started_s = asyncio.get_running_loop().time()
        await asyncio.sleep(0.001)
        if self.cut:
            return UNREACHABLE
        if wait_s:
            await self.holder.wait_newer(newer_than, wait_s)
        if self.silent:
            elapsed_s = asyncio.get_running_loop().time() - started_s
            await asyncio.sleep(timeout_s - elapsed_s)
            return UNREACHABLE
        request = inner_messages.DeclarationRequest(newer_than, wait_s, whole)
        reply = peers_interface.declaration_reply(self.holder, request)
        self.bytes_sent += len(reply.data) + len(reply.delta)
        if self.corrupts_deltas and reply.delta:
            return result.Success(msgspec.structs.replace(reply, digest="0" * 64))
        return result.Success(reply)


class Deployment:
    """Daemons of two data centres; the first of all is the only replica."""

    def __init__(self, per_data_centre=4):
        names = [f"{dc}-{n}" for dc in ("a", "b") for n in range(per_data_centre)]
        self.holders = {
            ids.VmId(name): configuration.ConfigurationHolder() for name in names
        }
        self.peers = {
            here: {there: FakePeer(self.holders[there]) for there in self.holders}
            for here in self.holders
        }
        self.propagations = {}

    def settings(self, vm):
        others = tuple(
            schema.Peer(each, ids.DataCentreId(each[0]), "", each == "a-0")
            for each in self.holders
            if each != vm
        )
        role = schema.Role.REPLICA if vm == "a-0" else schema.Role.GATEWAY
        return schema.Settings(
            vm,
            ids.DataCentreId(vm[0]),
            (role,),
            LISTENER,
            LISTENER,
            LISTENER,
            "",
            others,
        )

    def start(self, vm):
        clients = {each: peer for each, peer in self.peers[vm].items() if each != vm}
        running = propagation.Propagation(
            self.settings(vm), self.holders[vm], clients, random.Random(f"spread {vm}")
        )
        self.propagations[vm] = running
        running.start()

    def start_all(self):
        for vm in self.holders:
            self.start(vm)

    def accept(self, revision):
        reply = declaration_reply(revision)
        self.holders["a-0"].activate(reply.revision, reply.digest, reply.data)

    def revisions(self):
        return {holder.revision() for holder in self.holders.values()}

    def digests(self):
        return {holder.current.digest for holder in self.holders.values()}

    def stop(self):
        for each in self.propagations.values():
            each.stop()


@pytest.fixture
def deployment():
    running = Deployment()
    yield running
    running.stop()


@pytest.mark.looptime
class TestPropagation:
    async def test_a_revision_is_in_force_everywhere_within_the_target(
        self, deployment
    ):
        deployment.start_all()
        await asyncio.sleep(20)
        deployment.accept(1)
        await asyncio.sleep(TARGET_S)
        assert deployment.revisions() == {1}

    async def test_a_revision_arrives_despite_lost_relays(self, deployment):
        deployment.start_all()
        for peers in deployment.peers.values():
            for relay in ("b-0", "b-1"):
                peers[relay].cut = True
        await asyncio.sleep(20)
        deployment.accept(1)
        await asyncio.sleep(TARGET_S)
        assert deployment.revisions() == {1}

    async def test_anti_entropy_makes_up_for_a_silent_link(self, deployment):
        deployment.start_all()
        await asyncio.sleep(20)
        for relay in ("b-0", "b-1"):
            deployment.peers["b-3"][relay].silent = True
        deployment.accept(1)
        await asyncio.sleep(TARGET_S)
        assert deployment.revisions() == {1}

    async def test_a_disconnected_daemon_receives_only_the_newest_revision(
        self, deployment
    ):
        deployment.start_all()
        for peer in deployment.peers["b-2"].values():
            peer.cut = True
        for revision in range(1, 6):
            deployment.accept(revision)
            await asyncio.sleep(1)
        seen = []
        deployment.holders["b-2"].observers.append(lambda at: seen.append(at.revision))
        for peer in deployment.peers["b-2"].values():
            peer.cut = False
        await asyncio.sleep(TARGET_S)
        assert seen == [5]

    async def test_a_starting_daemon_needs_only_peers_in_its_data_centre(
        self, deployment
    ):
        for vm in deployment.holders:
            if vm != "b-3":
                deployment.start(vm)
        deployment.accept(1)
        await asyncio.sleep(TARGET_S)
        for there, peer in deployment.peers["b-3"].items():
            peer.cut = there.startswith("a")
        deployment.start("b-3")
        await asyncio.sleep(TARGET_S)
        assert deployment.holders["b-3"].revision() == 1


@pytest.mark.looptime
class TestDeltas:
    async def test_a_change_is_sent_as_a_delta(self, deployment):
        deployment.start_all()
        await asyncio.sleep(20)
        for revision in (1, 2):
            deployment.accept(revision)
            await asyncio.sleep(TARGET_S)
        assert deployment.revisions() == {2}
        follower = deployment.peers["b-3"]["b-0"]
        whole = len(deployment.holders["a-0"].current.data)
        assert whole < follower.bytes_sent < 2 * whole

    async def test_an_invalid_delta_is_followed_by_the_whole_revision(self, deployment):
        for peer in deployment.peers["b-3"].values():
            peer.corrupts_deltas = True
        deployment.start_all()
        for revision in (1, 2, 3):
            deployment.accept(revision)
            await asyncio.sleep(TARGET_S)
            assert deployment.revisions() == {revision}
            assert len(deployment.digests()) == 1


@pytest.mark.looptime
class TestHolder:
    async def test_a_damaged_revision_is_rejected(self):
        holder = configuration.ConfigurationHolder()
        reply = declaration_reply(1)
        assert not holder.activate(reply.revision, reply.digest, reply.data + b" ")
        assert holder.current is None

    async def test_a_holder_ignores_older_revisions(self):
        holder = configuration.ConfigurationHolder()
        for revision in (2, 1):
            reply = declaration_reply(revision)
            holder.activate(reply.revision, reply.digest, reply.data)
        assert holder.revision() == 2

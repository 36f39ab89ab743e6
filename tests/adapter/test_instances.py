import json
import sys

import pytest

from fleet_adapter import instances
from platform_standin import standin
from quetzalpass.membership import discovery
from quetzalpass.results import codes


async def list_servers(platform):
    source = instances.InstanceList(platform.list.address)
    try:
        return (await source.list_servers(2.0)).unwrap()
    finally:
        await source.close()


class TestInstanceList:
    async def test_undecodable_entries_are_skipped_one_by_one(self, platform):
        server = await standin.RawServer(None).start()
        platform.add(server, "i-1")
        platform.add(server, "i-2", state="draining", cold_ms=800)
        platform.add(server, "i-3", state="odd")
        platform.add(server, "i-4", slots="six")
        platform.entries.append({"id": "i-5"})
        platform.entries.append("what")
        platform.entries.append(None)
        servers = await list_servers(platform)
        assert [each.id for each in servers] == ["i-1", "i-2"]
        assert servers[0].state is discovery.ServerState.READY
        assert servers[1].state is discovery.ServerState.LEAVING
        assert servers[1].slow_for_ms == 800
        server.stop()

    async def test_logged_entries_are_remembered_within_a_bound(self, platform):
        source = instances.InstanceList(platform.list.address)
        for number in range(2 * instances.MAX_LOGGED_ENTRIES):
            raw = b"%d" % number * 1_000
            source.log_undecodable(raw, KeyError("state"))
        remembered = sum(sys.getsizeof(each) for each in source.logged_entries)
        assert remembered <= 100 * instances.MAX_LOGGED_ENTRIES

    async def test_all_pages_are_fetched(self, platform):
        next_tokens = {None: "p-2", "p-2": None}

        async def respond(request, writer):
            page_token = (
                request.first_line.partition("page_token=")[2].split(" ")[0] or None
            )
            entry = dict(LIST_ENTRY, id=f"i-{page_token}")
            body = json.dumps(
                {"instances": [entry], "next": next_tokens[page_token]}
            ).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)

        platform.list.respond = respond
        servers = await list_servers(platform)
        assert [each.id for each in servers] == ["i-None", "i-p-2"]

    async def test_error_status_is_a_failure(self, platform):
        async def respond(request, writer):
            writer.write(b"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n")

        platform.list.respond = respond
        source = instances.InstanceList(platform.list.address)
        assert "429" in (await source.list_servers(2.0)).failure().message
        await source.close()

    @pytest.mark.parametrize(
        "broken",
        [
            rb'{"id": "i-\x", "service": "model"}',
            b'{"id": "i-\x01", "service": "model"}',
            rb'{"id": "i-\u12", "zone": ["[", {"a": "}\""}]}',
            b'{"id": "i-\xff\xfe", "state": tru}',
            b'"\n"',
            b"nul",
            b'[{"id": 1}, "]"]',
        ],
    )
    async def test_a_broken_entry_leaves_the_other_entries_readable(
        self, platform, broken
    ):
        entries = [dict(LIST_ENTRY, id=f"i-{number}") for number in range(2)]
        first, second = (json.dumps(each).encode() for each in entries)
        body = b'{"instances": [%s, %s ,%s], "next": null}' % (first, broken, second)

        async def respond(request, writer):
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)

        platform.list.respond = respond
        servers = await list_servers(platform)
        assert [each.id for each in servers] == ["i-0", "i-1"]

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"[]",
            b"{}",
            b'{"instances": ["\x01", ',
            b'{"instances": ["\x01"]',
            b'{"instances": {"a": "\x01"}, "next": null}',
            b'{"instances": ["\x01"], "next": 5}',
            b'{"instances": ["\x01"]] "next": null}',
            b'{"instances": ["\x01"], "next": null} {}',
        ],
    )
    async def test_a_page_that_is_broken_outside_its_entries_is_a_failure(
        self, platform, body
    ):
        async def respond(request, writer):
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)

        platform.list.respond = respond
        source = instances.InstanceList(platform.list.address)
        failure = (await source.list_servers(2.0)).failure()
        assert failure.code is codes.Code.UNREACHABLE
        await source.close()


LIST_ENTRY = {
    "service": "model",
    "addr": "127.0.0.1:1",
    "zone": "flx-a",
    "slots": 24,
    "state": "ready",
    "stage": "unified",
}

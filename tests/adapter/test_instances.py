import asyncio
import json
import sys

import logbook
import pytest

from fakes import descriptors
from fleet_adapter import instances
from platform_standin import standin
from quetzalpass import log_limits, odd_values
from quetzalpass.backends import discovery
from quetzalpass.results import codes

BACK_S = 3.0
# The decoder raises RecursionError for values that are nested so deeply.
DEPTHS = (1_200, 100_000)
DEEP = b"[" * 1_200 + b"]" * 1_200
HUGE = b"9" * 400
ODD_NUMBERS = [b"-1", HUGE, b"9" * 5_000, b"9" * 20, b"1e300", b"1e999", b"NaN", b'"5"']
ODD_TEXTS = [
    b'""',
    b'"a\\r\\nb: c"',
    b'"\\u0000"',
    b'"\\ud800"',
    b'"%s"' % (b"x" * 70_000),
    '"\u0663"'.encode(),
]
ODD_ADDRESSES = [
    *ODD_TEXTS,
    b'"127.0.0.1"',
    b'"127.0.0.1:"',
    b'":80"',
    b'"..:80"',
    b'"%s:80"' % (b"a" * 300),
    b'"localhost:80"',
    b'"127.0.0.1:0"',
    b'"127.0.0.1:-1"',
    b'"127.0.0.1:99999"',
    b'"127.0.0.1:%s"' % HUGE,
    b'"127.0.0.1:%s"' % (b"9" * 5_000),
    '"127.0.0.1:\u0668\u0660"'.encode(),
    b'"127.0.0.1:80\\u0000"',
    b'"127.0.0.1:80 "',
    b'"127.0.0.300:80"',
    b'"0.0.0.0:80"',
    b'"255.255.255.255:80"',
    b'"224.0.0.1:80"',
]
DEEP_VALUES = [
    *(b"[" * depth + b"]" * depth for depth in DEPTHS),
    *(b'{"a":' * depth + b"1" + b"}" * depth for depth in DEPTHS),
]
OTHER_TYPES = [*DEEP_VALUES, b"[]", b"{}", b"true"]
# Odd values of each field of an entry, in JSON.
ODD_FIELDS = {
    "id": [*OTHER_TYPES, *ODD_TEXTS, HUGE, b"null"],
    "service": [*OTHER_TYPES, *ODD_TEXTS, HUGE, b"null"],
    "zone": [*OTHER_TYPES, *ODD_TEXTS, HUGE, b"null"],
    "addr": [*OTHER_TYPES, *ODD_ADDRESSES, HUGE, b"null"],
    "slots": [*OTHER_TYPES, *ODD_NUMBERS, b"0", b"2.5", b"null"],
    "state": [*OTHER_TYPES, *ODD_TEXTS, b'"gone"', HUGE, b"null"],
    "cold_ms": [*OTHER_TYPES, *ODD_NUMBERS, b"null"],
    "born": [*OTHER_TYPES, *ODD_NUMBERS, b"2.5"],
    "stage": [*OTHER_TYPES, *ODD_TEXTS, HUGE],
    "version": [*OTHER_TYPES, b'"%s"' % (b"x" * 70_000), HUGE],
    "models": [
        *DEEP_VALUES,
        b"{}",
        b"5",
        b'[{"name": "m", "version": %s}]' % HUGE,
        b'[{"name": "m", "version": 1e300}]',
        b'[{"name": 5}]',
        b'["m"]',
    ],
    "unknown": DEEP_VALUES,
}


def respond_with(body):
    """Return what makes a raw server answer each request with a body."""

    async def respond(request, writer):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    return respond


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
        for number in range(2 * log_limits.MAX_REMEMBERED):
            raw = b"%d" % number * 1_000
            source.odd_values.record("an entry", raw, KeyError("state"))
        remembered = sum(sys.getsizeof(each) for each in source.odd_values.seen.hashes)
        assert remembered <= 100 * log_limits.MAX_REMEMBERED

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

    async def test_pages_that_are_too_large_together_are_given_up(
        self, platform, monkeypatch
    ):
        """Each page has a limit, but a list may name ever more pages."""
        monkeypatch.setattr(instances, "MAX_LIST_BYTES", 100_000)
        sent = []

        async def respond(request, writer):
            sent.append(request)
            page = {"instances": ["x" * 30_000], "next": f"p-{len(sent)}"}
            body = json.dumps(page).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)

        platform.list.respond = respond
        source = instances.InstanceList(platform.list.address)
        listed = await source.list_servers(5.0)
        assert listed.failure().code is codes.Code.UNREACHABLE
        assert len(sent) == 4
        await source.close()

    async def test_the_list_is_read_again_after_it_failed(self, platform):
        async def refuse(request, writer):
            writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")

        async def hang(request, writer):
            await asyncio.sleep(1.0)

        answer = platform.list.respond
        source = instances.InstanceList(platform.list.address)
        for failing in (refuse, hang):
            platform.list.respond = failing
            assert await source.read(0.3) is None
            platform.list.respond = answer
            assert await source.read(BACK_S) is not None
        await source.close()

    async def test_the_list_is_read_again_once_there_are_descriptors(self, platform):
        source = instances.InstanceList(platform.list.address)
        with descriptors.used_up():
            assert await source.read(0.3) is None
        assert await source.read(BACK_S) is not None
        await source.close()

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

    @pytest.mark.parametrize(
        "token",
        [b"5", b"[]", b'"\x01"', b"nul", b'""', b'"%s"' % (b"x" * 5_000), DEEP],
    )
    async def test_a_page_with_an_odd_token_is_the_last_one(self, platform, token):
        sound = json.dumps(dict(LIST_ENTRY, id="i-1")).encode()
        platform.list.respond = respond_with(
            b'{"instances": [%s, "\x01"], "next": %s}' % (sound, token)
        )
        assert [each.id for each in await list_servers(platform)] == ["i-1"]

    async def test_a_repeated_token_ends_the_list(self, platform):
        sound = json.dumps(dict(LIST_ENTRY, id="i-1")).encode()
        platform.list.respond = respond_with(
            b'{"instances": [%s], "next": "p-2"}' % sound
        )
        servers = await list_servers(platform)
        assert {each.id for each in servers} == {"i-1"}
        assert len(platform.list.requests) == 2

    @pytest.mark.parametrize("field", [b"x", b"next", b"instances2"])
    async def test_an_odd_field_of_the_page_leaves_the_entries_readable(
        self, platform, field
    ):
        sound = json.dumps(dict(LIST_ENTRY, id="i-1")).encode()
        platform.list.respond = respond_with(
            b'{"%s": %s, "instances": [%s]}' % (field, DEEP, sound)
        )
        assert [each.id for each in await list_servers(platform)] == ["i-1"]

    async def test_an_odd_entry_of_megabytes_leaves_the_others_readable(self, platform):
        sound = json.dumps(dict(LIST_ENTRY, id="i-1")).encode()
        odd = b"[" * 1_000_000 + b"]" * 1_000_000
        platform.list.respond = respond_with(b'{"instances": [%s, %s]}' % (odd, sound))
        assert [each.id for each in await list_servers(platform)] == ["i-1"]

    async def test_a_page_without_end_is_a_failure(self, platform):
        async def respond(request, writer):
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            for _ in range(12):
                writer.write(b" " * 1_000_000)
                await writer.drain()

        platform.list.respond = respond
        source = instances.InstanceList(platform.list.address)
        assert "larger" in (await source.list_servers(5.0)).failure().message
        await source.close()


class TestOddEntries:
    """An entry that names no usable server is left out, and logged once."""

    @pytest.mark.parametrize(
        ("field", "value"),
        [(field, value) for field, values in ODD_FIELDS.items() for value in values],
    )
    async def test_the_others_hold(self, platform, field, value):
        entries = [
            json.dumps(dict(LIST_ENTRY, id=f"i-{number}")).encode()
            for number in range(2)
        ]
        odd = json.dumps({**LIST_ENTRY, "id": "i-odd", field: "ODD"}).encode()
        odd = odd.replace(b'"ODD"', value)
        body = b'{"instances": [%s, %s, %s]}' % (entries[0], odd, entries[1])
        platform.list.respond = respond_with(body)
        source = instances.InstanceList(platform.list.address)
        with logbook.TestHandler() as handler:
            for _ in range(3):
                servers = (await source.list_servers(2.0)).unwrap()
                assert [each.id for each in servers] == ["i-0", "i-1"]
        await source.close()
        assert len(handler.records) == 1
        assert len(handler.records[0].message) < 10_000

    async def test_entries_that_differ_each_time_are_logged_within_a_bound(
        self, platform
    ):
        source = instances.InstanceList(platform.list.address)
        with logbook.TestHandler() as handler:
            for number in range(1_000):
                source.odd_values.record("an entry", f"{number}", "odd")
        assert len(handler.records) <= odd_values.LINES_PER_MINUTE


LIST_ENTRY = {
    "service": "model",
    "addr": "127.0.0.1:1",
    "zone": "flx-a",
    "slots": 24,
    "state": "ready",
    "stage": "unified",
}

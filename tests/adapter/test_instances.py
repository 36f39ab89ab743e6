import json

from fleet_adapter import instances
from platform_standin import standin
from quetzalpass.membership import discovery


async def listed(platform):
    source = instances.InstanceList(platform.list.address)
    try:
        return (await source.list_servers(2.0)).unwrap()
    finally:
        await source.close()


class TestInstanceList:
    async def test_entries_that_cannot_be_read_are_left_out_singly(self, platform):
        good = await standin.RawServer(None).start()
        platform.add(good, "i-1")
        platform.add(good, "i-2", state="draining", cold_ms=800)
        platform.add(good, "i-3", state="odd")
        platform.add(good, "i-4", slots="six")
        platform.entries.append({"id": "i-5"})
        platform.entries.append("what")
        platform.entries.append(None)
        found = await listed(platform)
        assert [each.id for each in found] == ["i-1", "i-2"]
        assert found[0].state is discovery.ServerState.READY
        assert found[1].state is discovery.ServerState.LEAVING
        assert found[1].slow_for_ms == 800
        good.stop()

    async def test_all_pages_are_read(self, platform):
        pages = {None: "p-2", "p-2": None}

        async def respond(request, writer):
            token = request.first_line.partition("page_token=")[2].split(" ")[0] or None
            entry = dict(ENTRY, id=f"i-{token}")
            body = json.dumps({"instances": [entry], "next": pages[token]}).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)

        platform.list.respond = respond
        found = await listed(platform)
        assert [each.id for each in found] == ["i-None", "i-p-2"]

    async def test_a_refusal_is_a_failure(self, platform):
        async def respond(request, writer):
            writer.write(b"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n")

        platform.list.respond = respond
        source = instances.InstanceList(platform.list.address)
        assert "429" in (await source.list_servers(2.0)).failure().message
        await source.close()


ENTRY = {
    "service": "model",
    "addr": "127.0.0.1:1",
    "zone": "flx-a",
    "slots": 24,
    "state": "ready",
    "stage": "unified",
}

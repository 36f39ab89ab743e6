import json

from fleet_adapter import instances
from platform_standin import standin
from quetzalpass.membership import discovery


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


LIST_ENTRY = {
    "service": "model",
    "addr": "127.0.0.1:1",
    "zone": "flx-a",
    "slots": 24,
    "state": "ready",
    "stage": "unified",
}

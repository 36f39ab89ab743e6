"""Baseline of the relay benchmark: a plain aiohttp relay that checks nothing."""

import itertools
import sys

import aiohttp
from aiohttp import web


class BareRelay:
    """Forwards requests to the addresses in round-robin order."""

    def __init__(self, urls: list[str]) -> None:
        self.urls = itertools.cycle(urls)
        self.session: aiohttp.ClientSession | None = None

    def application(self) -> web.Application:
        """Return the aiohttp application of the relay."""
        app = web.Application()
        app.router.add_post("/v1/completions", self.handle)
        app.router.add_get("/healthz", self.handle_health)
        app.on_startup.append(self.open_session)
        return app

    async def open_session(self, app: web.Application) -> None:
        """Open the client session in the running event loop."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
        )

    async def handle_health(self, request: web.Request) -> web.Response:
        """Respond that the process is alive."""
        return web.Response(text="ok")

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Relay one stream."""
        assert self.session is not None
        body = await request.read()
        url = next(self.urls) + "/v1/completions"
        async with self.session.post(url, data=body) as upstream:
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(request)
            async for chunk in upstream.content.iter_any():
                await response.write(chunk)
        return response


if __name__ == "__main__":
    web.run_app(
        BareRelay(sys.argv[3:]).application(),
        host=sys.argv[1],
        port=int(sys.argv[2]),
        handler_cancellation=True,
        access_log=None,
        print=None,
    )

"""Server side of the inner protocol, to be mounted on an aiohttp application."""

import hmac

from aiohttp import web
from returns import result

from quetzalpass.results import codes, failures
from quetzalpass.wire import handlers, messages, transport


async def listen(runner: web.BaseRunner, address: str) -> None:
    """Set a runner up and open its listener at ``host:port``."""
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()


class PeerServer:
    """Answers the messages of peers.

    Parameters
    ----------
    table : handlers.HandlerTable
        Handlers; more may be added later.
    cluster_key : str
        Key that the VMs of one system share.
    """

    def __init__(self, table: handlers.HandlerTable, cluster_key: str) -> None:
        self.table = table
        self.cluster_key = encode_key(cluster_key)

    def add_routes(self, application: web.Application) -> None:
        """Add the inner protocol's route to an application.

        Parameters
        ----------
        application : web.Application
            Must be made with ``client_max_size=messages.MAX_MESSAGE_BYTES``.
        """
        path = transport.PATH_PREFIX + "{name}"
        application.router.add_post(path, self.answer)

    async def answer(self, request: web.Request) -> web.Response:
        """Answer one message."""
        key = request.headers.get(transport.CLUSTER_KEY_HEADER, "")
        if not hmac.compare_digest(encode_key(key), self.cluster_key):
            message = "The cluster key is wrong; compare the key files of the VMs."
            return response_of(failures.Failure(codes.Code.UNKNOWN_KEY, message))
        try:
            data = await request.read()
        except web.HTTPRequestEntityTooLarge:
            message = f"A message may have {messages.MAX_MESSAGE_BYTES} bytes."
            return response_of(failures.Failure(codes.Code.BODY_TOO_LARGE, message))
        outcome = await self.table.answer(request.match_info["name"], data)
        if isinstance(outcome, result.Failure):
            return response_of(outcome.failure())
        body = messages.encode(outcome.unwrap())
        return web.Response(body=body, content_type="application/json")


def encode_key(key: str) -> bytes:
    """Return a key as bytes, whatever bytes a header may have held."""
    return key.encode("utf-8", "surrogateescape")


def response_of(failure: failures.Failure) -> web.Response:
    """Return the response that carries a failure."""
    return web.Response(
        status=codes.spec_of(failure.code).http_status,
        body=messages.encode(failure),
        content_type="application/json",
    )


def new_application() -> web.Application:
    """Return an application with the size limit of the inner protocol."""
    return web.Application(client_max_size=messages.MAX_MESSAGE_BYTES)

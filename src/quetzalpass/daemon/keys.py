"""Keys of the peers' and operators' listeners."""

import hmac
import pathlib
from collections.abc import Callable

from aiohttp import web

from quetzalpass.results import codes, failures

STATUS_UNAUTHORISED = 401
OPEN_PATHS = frozenset({"/healthz"})


def read_key(path: str) -> str:
    """Return the key in a file.

    Raises
    ------
    OSError
        If the file can't be read.
    failures.FailureError
        If it is empty: every client without a key would then be let in.
    """
    key = pathlib.Path(path).read_text().strip()
    if not key:
        raise failures.FailureError(
            failures.Failure(codes.Code.BAD_SETTINGS, f"the key file {path} is empty")
        )
    return key


def key_check(key: str) -> Callable:
    """Return a middleware that answers nothing but health without the key."""

    @web.middleware
    async def check(request: web.Request, handler: Callable) -> web.StreamResponse:
        if request.path in OPEN_PATHS:
            return await handler(request)
        sent = request.headers.get("Authorization", "").encode(errors="surrogateescape")
        if not hmac.compare_digest(sent, f"Bearer {key}".encode()):
            return web.Response(status=STATUS_UNAUTHORISED, text="unknown key\n")
        return await handler(request)

    return check

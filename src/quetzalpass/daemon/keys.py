"""Keys with which peers and operators authenticate."""

import hmac
import pathlib
from collections.abc import Callable

from aiohttp import web

from quetzalpass.results import codes, failures

STATUS_UNAUTHORISED = 401
UNAUTHENTICATED_PATHS = frozenset({"/healthz"})


def read_key(path: str) -> str:
    """Return the key in a file.

    Raises
    ------
    OSError
        If the file can't be read.
    failures.FailureError
        If the file is empty, since clients without a key would then be accepted.
    """
    key = pathlib.Path(path).read_text().strip()
    if not key:
        raise failures.FailureError(
            failures.Failure(codes.Code.BAD_SETTINGS, f"the key file {path} is empty")
        )
    return key


def make_key_middleware(key: str) -> Callable:
    """Return a middleware that requires the key, except for health checks."""

    @web.middleware
    async def check(request: web.Request, handler: Callable) -> web.StreamResponse:
        if request.path in UNAUTHENTICATED_PATHS:
            return await handler(request)
        credentials = request.headers.get("Authorization", "").encode(
            errors="surrogateescape"
        )
        if not hmac.compare_digest(credentials, f"Bearer {key}".encode()):
            return web.Response(status=STATUS_UNAUTHORISED, text="unknown key\n")
        return await handler(request)

    return check

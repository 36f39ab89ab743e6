"""Adapter for plain HTTP services."""

import asyncio
import contextlib
import urllib.parse

import aiohttp
from returns import result

from quetzalpass.backends import base, engine_http, http_client
from quetzalpass.settings import schema

# Headers that apply to one connection only and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
MS_PER_S = 1000
NOT_RUN_HEADER = "Quetzalpass-Not-Run"


class HttpService(base.PlainService):
    """A plain service that is reached over HTTP."""

    def __init__(self, url: str, limits: schema.Limits) -> None:
        self.url = url
        self.limits = limits
        self.session = http_client.open_session(limits, reuse=False)

    async def call(
        self, call: base.ServiceCall, timeout_s: float
    ) -> result.Result[base.ServiceResponse, base.AttemptFailure]:
        """Send a request once; see the base class."""
        url = f"{self.url}/{call.path}"
        if call.query:
            url = f"{url}?{call.query}"
        headers = end_to_end_headers(call.headers)
        headers["Quetzalpass-Request-Id"] = call.request_id
        headers[http_client.TIME_LEFT_HEADER] = str(int(timeout_s * MS_PER_S))
        if call.idempotency_key is not None:
            headers["Idempotency-Key"] = call.idempotency_key
        response = await self.exchange(call.method, url, headers, call.body, timeout_s)
        return response.bind(check_not_run)

    async def find_outcome(
        self, path: str, timeout_s: float
    ) -> result.Result[base.ServiceResponse, base.AttemptFailure]:
        """Look up the outcome of an earlier call; see the base class."""
        return await self.exchange("GET", f"{self.url}{path}", {}, b"", timeout_s)

    async def exchange(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> result.Result[base.ServiceResponse, base.AttemptFailure]:
        """Send one request on a new connection and read the whole response."""
        try:
            async with asyncio.timeout(timeout_s), contextlib.AsyncExitStack() as stack:
                response = await stack.enter_async_context(
                    self.session.request(
                        method,
                        url,
                        headers=headers,
                        data=body or None,
                        allow_redirects=False,
                    )
                )
                response_body = await http_client.read_body(response)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            return result.Failure(engine_http.attempt_failure_from(error))
        if http_client.ends_with_connection(response) and not await self.still_runs():
            return result.Failure(
                base.AttemptFailure(
                    base.AttemptEnd.MAY_HAVE_RUN,
                    base.FailureKind.CLOSED,
                    "the service is down after a response without length or chunks",
                )
            )
        return result.Success(
            base.ServiceResponse(
                response.status, end_to_end_headers(response.headers), response_body
            )
        )

    async def still_runs(self) -> bool:
        """Return whether the service runs after it has closed a connection."""
        address = urllib.parse.urlsplit(self.url)
        return await http_client.still_runs(
            address.hostname, address.port, self.limits.connect_timeout_s
        )

    async def check_health(self, timeout_s: float) -> bool:
        """Return whether the service responds on a new connection."""
        return await http_client.responds_on_new_connection(
            f"{self.url}/health", self.limits, timeout_s
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def check_not_run(
    response: base.ServiceResponse,
) -> result.Result[base.ServiceResponse, base.AttemptFailure]:
    """Fail with ``REFUSED`` if a response states that the call did not run."""
    if response.headers.get(NOT_RUN_HEADER, "").lower() != "true":
        return result.Success(response)
    return result.Failure(
        base.AttemptFailure(
            base.AttemptEnd.REFUSED,
            base.FailureKind.OVERLOADED,
            f"the service responded with {response.status}: the call did not run",
        )
    )


def end_to_end_headers(headers: aiohttp.typedefs.LooseHeaders) -> dict[str, str]:
    """Return the headers that are forwarded: all but the hop-by-hop headers."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    }

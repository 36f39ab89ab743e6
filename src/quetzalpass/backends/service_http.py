"""Adapter of plain services behind HTTP."""

import asyncio
import contextlib

import aiohttp
from returns import result

from quetzalpass.backends import base, engine_http, http_client
from quetzalpass.settings import schema

# Headers that belong to one connection and are not passed on.
HOP_HEADERS = frozenset(
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
    """A plain service behind an HTTP address."""

    def __init__(self, url: str, limits: schema.Limits) -> None:
        self.url = url
        self.limits = limits
        self.session = http_client.open_session(limits, reuse=False)

    async def call(
        self, call: base.ServiceCall, timeout_s: float
    ) -> result.Result[base.ServiceAnswer, base.AttemptFailure]:
        """Make one call; see the base class."""
        url = f"{self.url}/{call.path}"
        if call.query:
            url = f"{url}?{call.query}"
        headers = passed_headers(call.headers)
        headers["Quetzalpass-Request-Id"] = call.request_id
        headers[http_client.TIME_LEFT_HEADER] = str(int(timeout_s * MS_PER_S))
        if call.idempotency_key is not None:
            headers["Idempotency-Key"] = call.idempotency_key
        answer = await self.exchange(call.method, url, headers, call.body, timeout_s)
        return answer.bind(check_refusal)

    async def find_outcome(
        self, path: str, timeout_s: float
    ) -> result.Result[base.ServiceAnswer, base.AttemptFailure]:
        """Ask whether an earlier call ran; see the base class."""
        return await self.exchange("GET", f"{self.url}{path}", {}, b"", timeout_s)

    async def exchange(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> result.Result[base.ServiceAnswer, base.AttemptFailure]:
        """Send one request on a fresh connection and read its whole answer."""
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
                answer_body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            return result.Failure(engine_http.attempt_failure_of(error))
        return result.Success(
            base.ServiceAnswer(
                response.status, passed_headers(response.headers), answer_body
            )
        )

    async def check_health(self, timeout_s: float) -> bool:
        """Return whether the service answers on a new connection."""
        return await http_client.answers_on_new_connection(
            f"{self.url}/health", self.limits, timeout_s
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def check_refusal(
    answer: base.ServiceAnswer,
) -> result.Result[base.ServiceAnswer, base.AttemptFailure]:
    """Turn an answer that says the call did not run into a refusal."""
    if answer.headers.get(NOT_RUN_HEADER, "").lower() != "true":
        return result.Success(answer)
    return result.Failure(
        base.AttemptFailure(
            base.AttemptEnd.REFUSED,
            base.FailureKind.OVERLOADED,
            f"the service answered {answer.status} and that the call did not run",
        )
    )


def passed_headers(headers: aiohttp.typedefs.LooseHeaders) -> dict[str, str]:
    """Return the headers that are passed on, without those of one connection."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS
    }

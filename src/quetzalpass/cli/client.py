"""Client of the operators' interface that tries several VMs in turn."""

import asyncio
import ssl
import urllib.parse
from typing import TypeVar

import aiohttp
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.control import messages
from quetzalpass.results import codes, failures

Reply = TypeVar("Reply")

ATTEMPT_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 3.0
MAX_REPLY_BYTES = 256_000_000
DEFAULT_ROUNDS = 3
ROUND_DELAY_S = 0.5

RETRYABLE_CODES = frozenset(
    {
        codes.Code.NOT_LEADER,
        codes.Code.NO_QUORUM,
        codes.Code.NOT_READY,
        codes.Code.DRAINING,
        codes.Code.UNREACHABLE,
    }
)


class OperatorsClient:
    """Sends each request to the first VM that can handle it.

    A request may reach several VMs, or the same VM twice after a lost response. That
    is safe: reads have no side effects, and ``apply`` carries an operation id.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session.
    urls : tuple of str
        Base addresses of operators' listeners, in the order to try.
    key : str
        The operators' key.
    rounds : int
        How many times the whole list is tried.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls: tuple[str, ...],
        key: str,
        rounds: int = DEFAULT_ROUNDS,
    ) -> None:
        self.session = session
        self.urls = urls
        self.key = key
        self.rounds = rounds

    async def apply(
        self, request: messages.ApplyRequest
    ) -> result.Result[messages.ApplyReply, failures.Failure]:
        """Replace the declared state.

        Returns
        -------
        Result of ApplyReply or Failure
            ``Code.CONFLICT`` if the base is no longer the newest revision.
        """
        body = msgspec.json.encode(request)
        return await self.send("POST", "/v1/declaration", messages.ApplyReply, body)

    async def declaration(
        self,
    ) -> result.Result[messages.DeclarationReply, failures.Failure]:
        """Return the newest accepted declaration."""
        return await self.send("GET", "/v1/declaration", messages.DeclarationReply)

    async def status(
        self, rounds: int | None = None
    ) -> result.Result[messages.StatusReply, failures.Failure]:
        """Return the status from the first VM that responds."""
        reply_type = messages.StatusReply
        return await self.send("GET", "/status", reply_type, rounds=rounds)

    async def change_members(
        self, request: messages.MembersRequest
    ) -> result.Result[messages.MembersReply, failures.Failure]:
        """Add or remove one member of a consensus group."""
        body = msgspec.json.encode(request)
        return await self.send("POST", "/v1/members", messages.MembersReply, body)

    async def explain(
        self, request_id: ids.RequestId
    ) -> result.Result[messages.ExplanationReply, failures.Failure]:
        """Return why a request was sent to the server that ran it.

        The VMs are asked in turn, since only the one that placed the request knows.
        """
        path = f"/v1/explanations/{urllib.parse.quote(request_id, safe='')}"
        outcome = unreachable_failure("no address was given")
        for url in self.urls:
            explanation = await self.send_once(
                url, "GET", path, messages.ExplanationReply, None
            )
            if isinstance(explanation, result.Success):
                return explanation
            outcome = explanation
        return outcome

    async def send(
        self,
        method: str,
        path: str,
        reply_type: type[Reply],
        body: bytes | None = None,
        rounds: int | None = None,
    ) -> result.Result[Reply, failures.Failure]:
        """Send one request to each VM in turn until one handles it.

        Parameters
        ----------
        method, path : str
            Method and path of the HTTP request.
        reply_type : type
            Type of a successful reply.
        body : bytes or None
            Request body in JSON.
        rounds : int or None
            How many times the whole list is tried; the client's default if ``None``.

        Returns
        -------
        Result of reply_type or Failure
            The first outcome that is not worth retrying, or else the last one.
        """
        outcome = unreachable_failure("no address was given")
        for number in range(rounds or self.rounds):
            if number:
                await asyncio.sleep(ROUND_DELAY_S)
            for url in self.urls:
                outcome = await self.send_once(url, method, path, reply_type, body)
                if not should_retry(outcome):
                    return outcome
        return outcome

    async def send_once(
        self,
        url: str,
        method: str,
        path: str,
        reply_type: type[Reply],
        body: bytes | None,
    ) -> result.Result[Reply, failures.Failure]:
        """Send one request to one VM."""
        headers = {"Authorization": f"Bearer {self.key}"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        timeout = aiohttp.ClientTimeout(
            total=ATTEMPT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        address = url.rstrip("/") + path
        try:
            async with self.session.request(
                method, address, data=body, headers=headers, timeout=timeout
            ) as response:
                data = await response.content.read(MAX_REPLY_BYTES)
                while chunk := await response.content.read(MAX_REPLY_BYTES):
                    data += chunk
                return decode_reply(response.status, data, reply_type, url)
        except TimeoutError:
            return unreachable_failure(
                f"{url} did not answer within {ATTEMPT_TIMEOUT_S:g} s"
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return unreachable_failure(f"{url} can't be reached: {error}")


def should_retry(outcome: result.Result[Reply, failures.Failure]) -> bool:
    """Return whether the request may succeed at another VM or later."""
    if isinstance(outcome, result.Success):
        return False
    return outcome.failure().code in RETRYABLE_CODES


def unreachable_failure(message: str) -> result.Result:
    """Return the failure of a VM that sent no usable response."""
    return result.Failure(failures.Failure(codes.Code.UNREACHABLE, message))


def decode_reply(
    status: int, data: bytes, reply_type: type[Reply], url: str
) -> result.Result[Reply, failures.Failure]:
    """Decode a response of the operators' interface."""
    try:
        if status < 300:
            return result.Success(msgspec.json.decode(data, type=reply_type))
        reply = msgspec.json.decode(data, type=messages.ErrorReply)
        code = codes.Code(reply.code)
    except (msgspec.DecodeError, ValueError):
        return unreachable_failure(
            f"{url} answered {status} in a form that is not known here"
        )
    failure = failures.Failure(code, reply.message, retry_after_ms=reply.retry_after_ms)
    return result.Failure(failure)


def create_ssl_context(ca_file: str | None) -> ssl.SSLContext | bool:
    """Return how aiohttp should verify certificates.

    Parameters
    ----------
    ca_file : str or None
        PEM file of trusted authorities; those of the system if ``None``.

    Raises
    ------
    OSError
        If the file can't be read or holds no certificate.
    """
    if ca_file is None:
        return True
    return ssl.create_default_context(cafile=ca_file)

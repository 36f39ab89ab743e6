"""Sends requests to other gateways, which serve them instead of this one.

The receiver must consent before it gets the request; see ``wire.offers``.
"""

import abc
import struct

import aiohttp
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base, engine_http, http_client, relays
from quetzalpass.relay import handover_messages
from quetzalpass.results import codes, failures
from quetzalpass.wire import messages, offers

PATH = "/handover/v1"
HEAD_LENGTH = struct.Struct(">I")
MAX_HEAD_BYTES = 1_048_576
STATUS_OK = 200

SentResult = result.Result[relays.RelayResponse, base.AttemptFailure]


class HandoverChannel(abc.ABC):
    """Way to the other gateways."""

    @abc.abstractmethod
    async def send(
        self, peer: ids.VmId, message: handover_messages.HandoverRequest
    ) -> SentResult:
        """Hand a request over to another gateway.

        Returns
        -------
        Result
            The response for the caller. ``NOT_SENT`` and ``REFUSED`` prove that the
            other gateway has not sent the request to any server; after any other
            failure it may have run.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class HandedResponse(relays.RelayResponse):
    """Response of another gateway, on a connection of its own."""

    def __init__(
        self, response: aiohttp.ClientResponse, head: relays.ResponseHead
    ) -> None:
        self.response = response
        self.head = head

    async def read_body(self) -> result.Result[bytes, base.AttemptFailure]:
        """Read the whole body; see the base class."""
        try:
            held_body = await http_client.read_held_body(self.response)
            return result.Success(self.keep(held_body))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return result.Failure(engine_http.attempt_failure_from(error))

    async def next_chunk(self) -> result.Result[bytes, base.AttemptFailure]:
        """Read the next bytes; see the base class."""
        try:
            return result.Success(await self.response.content.readany())
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return result.Failure(engine_http.attempt_failure_from(error))

    def close(self) -> None:
        """Close the connection, which cancels the request at the other gateway."""
        self.response.close()


class HttpHandoverChannel(HandoverChannel):
    """Sends requests over HTTP.

    Parameters
    ----------
    cluster_key : str
        Secret key that all VMs of the system share.
    """

    def __init__(self, cluster_key: str) -> None:
        self.client = offers.OfferClient(cluster_key)

    async def send(
        self, peer: ids.VmId, message: handover_messages.HandoverRequest
    ) -> SentResult:
        """Offer a request, send it and read the head; see the base class."""
        url = f"http://{peer}{PATH}"
        sent = await self.client.send("POST", url, {}, messages.encode(message))
        if isinstance(sent, result.Failure):
            return result.Failure(offer_failure(peer, sent.failure()))
        try:
            return await read_response(peer, sent.unwrap())
        except (aiohttp.ClientError, OSError, ValueError, EOFError) as error:
            return result.Failure(engine_http.attempt_failure_from(error))

    async def close(self) -> None:
        """Close the session."""
        await self.client.close()


def offer_failure(peer: ids.VmId, error: offers.OfferError) -> base.AttemptFailure:
    """Return the failure of an offer that got no response."""
    if error.is_sent:
        return base.AttemptFailure(
            base.AttemptEnd.MAY_HAVE_RUN,
            base.FailureKind.CLOSED,
            f"{peer}: {error.message}",
        )
    return base.AttemptFailure(
        base.AttemptEnd.NOT_SENT,
        base.FailureKind.UNREACHABLE,
        f"{peer}: {error.message}",
    )


async def read_response(peer: ids.VmId, response: aiohttp.ClientResponse) -> SentResult:
    """Read the head of a response, or why the other gateway refuses the request."""
    try:
        if response.status != STATUS_OK:
            return result.Failure(await read_refusal(peer, response))
        prefix = await response.content.readexactly(HEAD_LENGTH.size)
        (length,) = HEAD_LENGTH.unpack(prefix)
        if length > MAX_HEAD_BYTES:
            raise ValueError(f"a head of {length} bytes")
        data = await response.content.readexactly(length)
        return result.Success(
            HandedResponse(response, handover_messages.decode_head(data))
        )
    except BaseException:
        response.close()
        raise


async def read_refusal(
    peer: ids.VmId, response: aiohttp.ClientResponse
) -> base.AttemptFailure:
    """Return why a gateway did not serve a request, and whether it may have run."""
    body = await http_client.read_body(response)
    response.close()
    decoded = messages.decode(body, failures.Failure)
    if isinstance(decoded, result.Failure):
        text = f"{peer} responded with HTTP status {response.status}"
        return base.AttemptFailure(
            base.AttemptEnd.MAY_HAVE_RUN, base.FailureKind.MALFORMED, text
        )
    failure = decoded.unwrap()
    is_not_run = failure.effective_execution() is codes.Execution.NOT_RUN
    return base.AttemptFailure(
        base.AttemptEnd.REFUSED if is_not_run else base.AttemptEnd.MAY_HAVE_RUN,
        base.FailureKind.OVERLOADED if is_not_run else base.FailureKind.CLOSED,
        f"{peer} gave it back: {failure.message}",
    )

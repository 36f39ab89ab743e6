"""Offers of requests to other VMs, which consent before they get them.

The receiver is asked first (``Expect: 100-continue``). The request leaves this process
only after its consent, so an offer that gets none has certainly not run.
"""

import asyncio
import socket
import ssl
from collections.abc import AsyncIterator, Mapping

import aiohttp
import yarl
from returns import result

from quetzalpass.wire import transport

# Time for the connection and the consent.
OFFER_TIMEOUT_S = 0.25
# A receiver whose machine is gone is noticed after about 3 s. TCP_USER_TIMEOUT limits
# the probes too, whatever their count.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000
MAX_HEAD_LINE_BYTES = 65_536
# Size of the request in bytes, by which the receiver decides whether it has room.
SIZE_HEADER = "Quetzalpass-Offer-Bytes"


class OfferError(Exception):
    """An offer that got no response.

    Parameters
    ----------
    message : str
        What happened.
    is_sent : bool
        Whether the request has left this process.
    """

    def __init__(self, message: str, is_sent: bool) -> None:
        super().__init__(message)
        self.message = message
        self.is_sent = is_sent


class Offer:
    """A request on its way to another VM.

    Attributes
    ----------
    accepted : asyncio.Event
        Set when the other VM has consented and the request is sent.
    """

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.accepted = asyncio.Event()

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the request; the HTTP client begins after the consent."""
        self.accepted.set()
        yield self.data


class OfferClient:
    """Sends offers over HTTP, each on a new connection.

    Parameters
    ----------
    cluster_key : str
        Secret key that all VMs of the system share.
    ssl_context : ssl.SSLContext or None
        TLS settings for URLs that are ``https``.
    """

    def __init__(
        self, cluster_key: str, ssl_context: ssl.SSLContext | None = None
    ) -> None:
        self.cluster_key = cluster_key
        self.ssl_context = ssl_context
        self.session: aiohttp.ClientSession | None = None

    def get_session(self) -> aiohttp.ClientSession:
        """Return the HTTP session, opened on first use."""
        if self.session is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                force_close=True,
                socket_factory=open_socket,
                ssl=self.ssl_context if self.ssl_context is not None else True,
            )
            timeout = aiohttp.ClientTimeout(total=None, sock_connect=OFFER_TIMEOUT_S)
            self.session = aiohttp.ClientSession(
                connector=connector,
                timeout=timeout,
                auto_decompress=False,
                skip_auto_headers=("User-Agent", "Content-Type", "Accept-Encoding"),
                max_line_size=MAX_HEAD_LINE_BYTES,
                max_field_size=MAX_HEAD_LINE_BYTES,
            )
        return self.session

    async def send(
        self, method: str, url: str, headers: Mapping[str, str], data: bytes
    ) -> result.Result[aiohttp.ClientResponse, OfferError]:
        """Offer a request and send it; return the response, whose body isn't read."""
        offer = Offer(data)
        posting = asyncio.create_task(self.post(method, url, headers, offer))
        try:
            if not await is_accepted(posting, offer):
                return result.Failure(
                    OfferError(f"no consent within {OFFER_TIMEOUT_S} s", False)
                )
            return result.Success(await posting)
        except asyncio.CancelledError:
            close_response(posting)
            raise
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return result.Failure(OfferError(repr(error), offer.accepted.is_set()))
        finally:
            await cancel(posting)

    async def post(
        self, method: str, url: str, headers: Mapping[str, str], offer: Offer
    ) -> aiohttp.ClientResponse:
        """Send an offer, and the request after the consent."""
        return await self.get_session().request(
            method,
            yarl.URL(url, encoded=True),
            headers={
                **headers,
                transport.CLUSTER_KEY_HEADER: self.cluster_key,
                SIZE_HEADER: str(len(offer.data)),
            },
            data=offer.body(),
            expect100=True,
            allow_redirects=False,
        )

    async def close(self) -> None:
        """Close the session."""
        if self.session is not None:
            await self.session.close()


async def is_accepted(posting: asyncio.Task, offer: Offer) -> bool:
    """Wait for the consent or a final response; return whether there was one."""
    accepting = asyncio.create_task(offer.accepted.wait())
    done, _ = await asyncio.wait(
        {posting, accepting},
        timeout=OFFER_TIMEOUT_S,
        return_when=asyncio.FIRST_COMPLETED,
    )
    accepting.cancel()
    return bool(done)


def close_response(posting: asyncio.Task) -> None:
    """Close the response of a request whose sender has been cancelled."""
    if posting.done() and not posting.cancelled() and posting.exception() is None:
        posting.result().close()


async def cancel(posting: asyncio.Task) -> None:
    """Cancel a request that nobody waits for; an ended one is left as it is."""
    if not posting.done():
        posting.cancel()
        await asyncio.wait({posting})


def open_socket(address_info: tuple) -> socket.socket:
    """Open a socket that notices when the other machine is gone."""
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return opened

"""Requests to peers, behind an abstract base class that tests can replace."""

import abc
import asyncio
import ssl
from collections.abc import Iterator, Mapping

import aiohttp
from returns import result

from quetzalpass import ids
from quetzalpass.results import codes, failures
from quetzalpass.wire import messages

CLUSTER_KEY_HEADER = "Quetzalpass-Cluster-Key"
PATH_PREFIX = "/peer/v1/"
CALL_TIMEOUT_S = 2.0
POOL_SIZE = 16
KEEP_ALIVE_S = 60.0
# A peer's address may come from another peer. The last two are raised for hosts and
# ports that can't exist.
CONNECTION_ERRORS = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    ValueError,
    OverflowError,
)


class PeerTransport(abc.ABC):
    """Sends requests to other VMs of the system."""

    @abc.abstractmethod
    async def call(
        self,
        peer: ids.VmId,
        message: messages.Request,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> result.Result[messages.Reply, failures.Failure]:
        """Send a request and wait for the reply.

        Parameters
        ----------
        peer : ids.VmId
            VM to send to.
        message : messages.Request
            Must be idempotent, as it may be delivered twice.
        timeout_s : float
            Timeout of the whole call in seconds, including a second attempt.

        Returns
        -------
        returns.result.Result
            The reply, the failure that the peer sent, or ``UNREACHABLE`` if it is
            unknown whether the request was delivered.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class DirectAddresses(Mapping[ids.VmId, str]):
    """Addresses of VMs whose ids are of the form ``host:port``.

    Daemons that discover each other through seeds use such ids, so that a daemon can be
    reached if only its id is known.
    """

    def __getitem__(self, vm: ids.VmId) -> str:
        """Return the base URL of a VM."""
        return f"http://{vm}"

    def __contains__(self, vm: object) -> bool:
        """Return true, as every VM id is an address."""
        return True

    def __iter__(self) -> Iterator[ids.VmId]:
        """Iterate over nothing, as the VMs are not enumerated."""
        return iter(())

    def __len__(self) -> int:
        """Return 0, as the VMs are not enumerated."""
        return 0


class HttpTransport(PeerTransport):
    """Sends requests over HTTP, with a pool of kept-alive connections for each peer.

    Parameters
    ----------
    addresses : Mapping of ids.VmId to str
        Base URL of each peer, such as ``http://10.0.0.1:7301``.
    cluster_key : str
        Secret key that all VMs of the system share.
    ssl_context : ssl.SSLContext or None
        TLS settings for addresses that are ``https``.

    Attributes
    ----------
    bytes_exchanged : int
        Bytes of the bodies sent and received, without HTTP headers.
    """

    def __init__(
        self,
        addresses: Mapping[ids.VmId, str],
        cluster_key: str,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        self.addresses = addresses
        self.headers = {
            CLUSTER_KEY_HEADER: cluster_key,
            "Content-Type": "application/json",
        }
        self.ssl_context = ssl_context
        self.pools: dict[ids.VmId, ConnectionPool] = {}
        self.bytes_exchanged = 0

    async def call(
        self,
        peer: ids.VmId,
        message: messages.Request,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> result.Result[messages.Reply, failures.Failure]:
        """Send a request; if a pooled connection fails, retry on a new pool."""
        if peer not in self.addresses:
            return unreachable(peer, "it has no address in the settings")
        data = messages.encode(message)
        had_pool = peer in self.pools
        outcome = await self.attempt(peer, message, data, timeout_s / 2)
        if had_pool and isinstance(outcome, ConnectionProblem):
            # A device between the VMs may have dropped the state of open connections
            # while new ones work. Only a new connection shows whether the peer is up.
            outcome = await self.attempt(peer, message, data, timeout_s / 2)
        if isinstance(outcome, ConnectionProblem):
            return unreachable(peer, str(outcome))
        return outcome

    async def attempt(
        self, peer: ids.VmId, message: messages.Request, data: bytes, timeout_s: float
    ) -> "result.Result[messages.Reply, failures.Failure] | ConnectionProblem":
        """Send a request once; retire the pool if the connection fails."""
        pool = self.get_pool(peer)
        url = self.addresses[peer] + PATH_PREFIX + type(message).__name__
        pool.call_count += 1
        try:
            async with asyncio.timeout(timeout_s):
                async with pool.session.post(url, data=data) as response:
                    body = await read_bounded(response)
        except CONNECTION_ERRORS as error:
            self.retire_pool(peer, pool)
            return ConnectionProblem(f"{type(error).__name__} {error}".strip())
        finally:
            pool.call_count -= 1
            await pool.close_if_unused()
        self.bytes_exchanged += len(data) + len(body)
        if len(body) > messages.MAX_MESSAGE_BYTES:
            return unreachable(peer, "its reply exceeds the size limit")
        if response.status == 200:
            return messages.decode(body, message.reply_type)
        decoded = messages.decode(body, failures.Failure)
        if isinstance(decoded, result.Failure):
            return unreachable(peer, f"it responded with HTTP status {response.status}")
        return result.Failure(decoded.unwrap())

    def get_pool(self, peer: ids.VmId) -> "ConnectionPool":
        """Return the pool of a peer; create it if there is none."""
        if peer not in self.pools:
            connector = aiohttp.TCPConnector(
                limit=POOL_SIZE,
                keepalive_timeout=KEEP_ALIVE_S,
                ssl=self.ssl_context if self.ssl_context is not None else True,
            )
            session = aiohttp.ClientSession(connector=connector, headers=self.headers)
            self.pools[peer] = ConnectionPool(session)
        return self.pools[peer]

    def retire_pool(self, peer: ids.VmId, pool: "ConnectionPool") -> None:
        """Start no more calls on a pool; those in progress may finish."""
        pool.is_retired = True
        if self.pools.get(peer) is pool:
            del self.pools[peer]

    async def close(self) -> None:
        """Close all connections."""
        pools, self.pools = list(self.pools.values()), {}
        for pool in pools:
            await pool.session.close()


class ConnectionPool:
    """Kept-alive connections to one peer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that owns the connections.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.call_count = 0
        self.is_retired = False

    async def close_if_unused(self) -> None:
        """Close a retired pool once its last call has ended."""
        if self.is_retired and self.call_count == 0:
            await self.session.close()


class ConnectionProblem(str):
    """Why a connection failed before a reply was received."""


async def read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Return a response body, truncated once it exceeds the size limit."""
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > messages.MAX_MESSAGE_BYTES:
            response.close()
            break
    return bytes(body)


def unreachable(
    peer: ids.VmId, reason: str
) -> result.Result[messages.Reply, failures.Failure]:
    """Return the failure for a peer that sent no valid reply."""
    message = f"No valid reply from {peer}: {reason}."
    return result.Failure(failures.Failure(codes.Code.UNREACHABLE, message))

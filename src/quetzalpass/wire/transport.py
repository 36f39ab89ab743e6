"""Calls to peers, behind an abstract base class that tests can replace."""

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


class PeerTransport(abc.ABC):
    """Sends messages to other VMs of the system."""

    @abc.abstractmethod
    async def call(
        self,
        peer: ids.VmId,
        message: messages.Request,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> result.Result[messages.Reply, failures.Failure]:
        """Send a message and wait for its answer.

        Parameters
        ----------
        peer : ids.VmId
            VM to send to.
        message : messages.Request
            Must be idempotent: it may arrive twice.
        timeout_s : float
            Bound on the whole call in seconds, second attempt included.

        Returns
        -------
        returns.result.Result
            The answer, the failure that the peer answered, or ``UNREACHABLE``, where
            the message may or may not have arrived.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class DirectAddresses(Mapping[ids.VmId, str]):
    """Addresses of VMs whose ids are ``host:port`` themselves.

    Daemons that find each other by seeds use such ids, so that one that has only been
    heard of can be reached.
    """

    def __getitem__(self, vm: ids.VmId) -> str:
        """Return the base URL of a VM."""
        return f"http://{vm}"

    def __contains__(self, vm: object) -> bool:
        """Return whether a VM can be addressed: always."""
        return True

    def __iter__(self) -> Iterator[ids.VmId]:
        """Iterate over nothing, as the VMs are not listed."""
        return iter(())

    def __len__(self) -> int:
        """Return 0, as the VMs are not listed."""
        return 0


class HttpTransport(PeerTransport):
    """Calls over HTTP with one pool of kept connections for each peer.

    Parameters
    ----------
    addresses : Mapping of ids.VmId to str
        Base URL of each peer, such as ``http://10.0.0.1:7301``.
    cluster_key : str
        Key that the VMs of one system share.
    ssl_context : ssl.SSLContext or None
        Settings of TLS where the addresses are ``https``.

    Attributes
    ----------
    bytes_exchanged : int
        Bodies sent and received by calls, without HTTP headers.
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
        self.pools: dict[ids.VmId, Pool] = {}
        self.bytes_exchanged = 0

    async def call(
        self,
        peer: ids.VmId,
        message: messages.Request,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> result.Result[messages.Reply, failures.Failure]:
        """Send a message; a silent pool is replaced and tried once more."""
        if peer not in self.addresses:
            return unreachable(peer, "it has no address in the settings")
        data = messages.encode(message)
        had_pool = peer in self.pools
        outcome = await self.attempt(peer, message, data, timeout_s / 2)
        if had_pool and isinstance(outcome, ConnectionProblem):
            # Something between the VMs may have lost track of the open connections
            # while new ones work, so that only a fresh one shows if the peer is there.
            outcome = await self.attempt(peer, message, data, timeout_s / 2)
        if isinstance(outcome, ConnectionProblem):
            return unreachable(peer, str(outcome))
        return outcome

    async def attempt(
        self, peer: ids.VmId, message: messages.Request, data: bytes, timeout_s: float
    ) -> "result.Result[messages.Reply, failures.Failure] | ConnectionProblem":
        """Send a message once; drop the pool where the connection fails."""
        pool = self.pool_of(peer)
        url = self.addresses[peer] + PATH_PREFIX + type(message).__name__
        pool.call_count += 1
        try:
            async with asyncio.timeout(timeout_s):
                async with pool.session.post(url, data=data) as response:
                    body = await read_bounded(response)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.retire(peer, pool)
            return ConnectionProblem(f"{type(error).__name__} {error}".strip())
        finally:
            pool.call_count -= 1
            await pool.close_if_unused()
        self.bytes_exchanged += len(data) + len(body)
        if len(body) > messages.MAX_MESSAGE_BYTES:
            return unreachable(peer, "its answer is above the size limit")
        if response.status == 200:
            return messages.decode(body, message.reply_type)
        decoded = messages.decode(body, failures.Failure)
        if isinstance(decoded, result.Failure):
            return unreachable(peer, f"it answered HTTP status {response.status}")
        return result.Failure(decoded.unwrap())

    def pool_of(self, peer: ids.VmId) -> "Pool":
        """Return the pool of a peer, made at its first use."""
        if peer not in self.pools:
            connector = aiohttp.TCPConnector(
                limit=POOL_SIZE,
                keepalive_timeout=KEEP_ALIVE_S,
                ssl=self.ssl_context if self.ssl_context is not None else True,
            )
            session = aiohttp.ClientSession(connector=connector, headers=self.headers)
            self.pools[peer] = Pool(session)
        return self.pools[peer]

    def retire(self, peer: ids.VmId, pool: "Pool") -> None:
        """Start no more calls on a pool; those that run on it may finish."""
        pool.is_retired = True
        if self.pools.get(peer) is pool:
            del self.pools[peer]

    async def close(self) -> None:
        """Close all connections."""
        pools, self.pools = list(self.pools.values()), {}
        for pool in pools:
            await pool.session.close()


class Pool:
    """Kept connections to one peer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Holds the connections.
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
    """What went wrong with a connection before an answer came."""


async def read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Return an answer's body, cut once it is above the size limit."""
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
    """Return the failure for a peer that gave no answer."""
    message = f"No answer from {peer}: {reason}."
    return result.Failure(failures.Failure(codes.Code.UNREACHABLE, message))

"""Client of another daemon's peers' listener."""

import asyncio
from typing import TypeVar

import aiohttp
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.control import messages
from quetzalpass.membership import inner_messages
from quetzalpass.results import codes, failures

CONNECT_TIMEOUT_S = 2.0
STATUS_OK = 200
STATUS_NO_CONTENT = 204

Reply = TypeVar("Reply")


class PeerClient:
    """Speaks to one peer.

    Parameters
    ----------
    url : str
        Base address of its peers' listener.
    cluster_key : str
        Key that all daemons share.
    """

    def __init__(self, url: str, cluster_key: str) -> None:
        self.url = url
        self.session = aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {cluster_key}"},
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )

    async def fetch_declaration(
        self, newer_than: ids.Revision, wait_s: float, timeout_s: float
    ) -> result.Result[inner_messages.DeclarationMessage | None, failures.Failure]:
        """Wait for a revision that is newer than the given one.

        Parameters
        ----------
        newer_than : Revision
            Revision that is already here.
        wait_s : float
            How long the peer may wait for one.
        timeout_s : float
            How long the answer may take in all.

        Returns
        -------
        Result
            The revision; ``None`` if none came within ``wait_s`` seconds.
        """
        path = f"/inner/declaration?newer_than={newer_than}&wait_s={wait_s}"
        return await self.exchange(
            "GET", path, None, inner_messages.DeclarationMessage, timeout_s
        )

    async def fetch_status(
        self, timeout_s: float
    ) -> result.Result[messages.VmStatus, failures.Failure]:
        """Ask the peer for its own status."""
        return await self.exchange(
            "GET", "/inner/status", None, messages.VmStatus, timeout_s
        )

    async def propose(
        self, message: inner_messages.ProposeMessage, timeout_s: float
    ) -> result.Result[inner_messages.ProposeAnswer, failures.Failure]:
        """Pass a command on."""
        return await self.exchange(
            "POST",
            "/inner/propose",
            msgspec.json.encode(message),
            inner_messages.ProposeAnswer,
            timeout_s,
        )

    async def send_summary(
        self, body: bytes, timeout_s: float
    ) -> result.Result[None, failures.Failure]:
        """Send an encoded summary."""
        return await self.exchange(
            "POST", "/inner/summary", body, type(None), timeout_s
        )

    async def exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        reply_type: type[Reply],
        timeout_s: float,
    ) -> result.Result[Reply | None, failures.Failure]:
        """Send one request and decode its answer."""
        try:
            async with asyncio.timeout(timeout_s):
                async with self.session.request(
                    method, self.url + path, data=body
                ) as answer:
                    data = await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return unreachable(f"{self.url}: {error!r}")
        if answer.status == STATUS_NO_CONTENT:
            return result.Success(None)
        if answer.status != STATUS_OK:
            return unreachable(f"{self.url} answered {answer.status}")
        try:
            return result.Success(msgspec.json.decode(data, type=reply_type))
        except msgspec.MsgspecError as error:
            return unreachable(f"{self.url} sent a malformed answer: {error}")

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def unreachable(message: str) -> result.Result[Reply, failures.Failure]:
    """Return the failure of a peer that gave no answer."""
    return result.Failure(failures.Failure(codes.Code.UNREACHABLE, message))

"""Requests that were lost on servers that had either crashed or been cut off.

One such loss says little about a request. Losses of its copies in several data centres
do: it is held back until the doubt has ended, as further copies may crash more servers.
"""

import asyncio
from collections.abc import Callable

import msgspec

from quetzalpass import ids

MAX_REQUESTS = 10_000
# Data centres in which a request may be lost without an explanation.
MAX_DATA_CENTRES = 1


class Loss(msgspec.Struct, frozen=True):
    """The loss of a request on one start of a server, forgotten at a loop time."""

    server_start: str
    data_centre: ids.DataCentreId
    expires_s: float


class UnexplainedLosses:
    """Recent losses of requests, as one gateway saw them.

    Attributes
    ----------
    losses : dict of str to list of Loss
        By fingerprint.
    """

    def __init__(self) -> None:
        self.losses: dict[str, list[Loss]] = {}

    def add(
        self,
        fingerprint: str,
        server_start: str,
        data_centre: ids.DataCentreId,
        lifetime_s: float,
    ) -> None:
        """Record the loss of a request."""
        self.expire()
        if len(self.losses) >= MAX_REQUESTS:
            return
        now_s = asyncio.get_running_loop().time()
        loss = Loss(server_start, data_centre, now_s + lifetime_s)
        self.losses.setdefault(fingerprint, []).append(loss)

    def expire(self) -> None:
        """Forget old losses."""
        now_s = asyncio.get_running_loop().time()
        self.keep(lambda loss: loss.expires_s > now_s)

    def keep(self, is_kept: Callable[[Loss], bool]) -> None:
        """Forget all losses but those for which a condition holds."""
        kept = {
            fingerprint: [each for each in losses if is_kept(each)]
            for fingerprint, losses in self.losses.items()
        }
        self.losses = {each: losses for each, losses in kept.items() if losses}

    def explain(self, server_start: str) -> None:
        """Forget the losses on a start of a server that has crashed or still runs."""
        if not server_start:
            return
        if any(
            loss.server_start == server_start
            for losses in self.losses.values()
            for loss in losses
        ):
            self.keep(lambda loss: loss.server_start != server_start)

    def remove(self, fingerprint: str) -> None:
        """Forget the losses of a request, which has run without a crash."""
        self.losses.pop(fingerprint, None)

    def find(self, fingerprint: str) -> list[Loss]:
        """Return the losses of a request that count now."""
        now_s = asyncio.get_running_loop().time()
        found = self.losses.get(fingerprint, ())
        return [each for each in found if each.expires_s > now_s]

    def held_back_s(self, fingerprint: str, is_suspect: bool) -> float:
        """Return for how long a request is not to be sent, in seconds.

        Parameters
        ----------
        fingerprint : str
            The request.
        is_suspect : bool
            Whether a server has crashed under it, which counts like a data centre.
        """
        losses = self.find(fingerprint)
        data_centres = {each.data_centre for each in losses}
        if len(data_centres) + is_suspect <= MAX_DATA_CENTRES or not losses:
            return 0.0
        now_s = asyncio.get_running_loop().time()
        return max(each.expires_s for each in losses) - now_s

    def __contains__(self, fingerprint: str) -> bool:
        return bool(self.find(fingerprint))

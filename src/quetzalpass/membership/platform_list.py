"""Polls the platform's list of live and leaving VMs, which may be out of date."""

import asyncio
import enum
from collections.abc import Callable

import aiohttp
import logbook
import msgspec

from quetzalpass import background, decoding, ids, odd_values
from quetzalpass.backends import http_client

LOG = logbook.Logger("membership")

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 2.0


class PlatformState(enum.Enum):
    """State of a VM as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class PlatformVm(msgspec.Struct, frozen=True):
    """One row of the platform's list.

    Attributes
    ----------
    id : VmId
        The VM.
    state : PlatformState
        State that the platform reports.
    deadline : str or None
        ISO 8601 time by which the VM will be reclaimed.
    """

    id: ids.VmId
    state: PlatformState
    deadline: str | None = None


class PlatformList:
    """Polls the platform's list.

    The list complements the declaration: either source is enough to stop new work for a
    VM. A failed poll changes nothing, since the list lags behind in any case.

    Parameters
    ----------
    url : str
        Address of the list.
    on_change : callable
        Called when the set of leaving VMs has changed.

    Attributes
    ----------
    leaving : dict of VmId to PlatformVm
        VMs that the platform lists as leaving or gone.
    """

    def __init__(self, url: str, on_change: Callable[[], None]) -> None:
        self.url = url
        self.on_change = on_change
        self.leaving: dict[ids.VmId, PlatformVm] = {}
        self.odd_values = odd_values.OddValues(LOG)
        self.failure_log = background.FailureLog()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start polling."""
        self.task = background.start("list of VMs", self.poll_periodically)

    def stop(self) -> None:
        """Stop polling."""
        if self.task is not None:
            self.task.cancel()

    async def poll_periodically(self) -> None:
        """Poll the list at a fixed interval."""
        async with aiohttp.ClientSession() as session:
            while True:
                await self.poll(session)
                await asyncio.sleep(POLL_INTERVAL_S)

    async def poll(self, session: aiohttp.ClientSession) -> None:
        """Read the list once."""
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S):
                async with session.get(self.url) as response:
                    data = await http_client.read_body(response)
            rows = decoding.decode_json(data, tuple[msgspec.Raw, ...])
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            self.failure_log.record("The platform's list can't be read", error)
            return
        self.apply_rows(self.decode_rows(rows))

    def decode_rows(self, rows: tuple[msgspec.Raw, ...]) -> tuple[PlatformVm, ...]:
        """Return the rows of a list that can be decoded."""
        decoded = []
        for row in rows:
            try:
                decoded.append(decoding.decode_json(row, PlatformVm))
            except decoding.DecodingError as error:
                self.odd_values.record("a row of the list of VMs", bytes(row), error)
        return tuple(decoded)

    def apply_rows(self, rows: tuple[PlatformVm, ...]) -> None:
        """Apply a list that has been read."""
        leaving = {
            each.id: each for each in rows if each.state is not PlatformState.LIVE
        }
        if leaving == self.leaving:
            return
        self.leaving = leaving
        LOG.info(
            "membership: The platform lists {} VMs as leaving or gone.", len(leaving)
        )
        self.on_change()

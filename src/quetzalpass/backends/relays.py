"""Backend servers whose answers are relayed as they are.

The gateway knows neither what a request asks nor what its answer says. It relays
bytes, and for a stream of events their ids. An adapter subclasses ``RelayServer``.
"""

import abc

import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base


class Header(msgspec.Struct, frozen=True):
    """One header, as it was received."""

    name: str
    value: str


class RelayCall(msgspec.Struct, frozen=True):
    """A request as it is passed on.

    Attributes
    ----------
    request_id : RequestId
        The caller's own id of the request.
    method : str
        HTTP method.
    target : str
        Path and query, not decoded.
    headers : tuple of Header
        Headers to pass on.
    body : bytes
        The whole body.
    organisation : OrganisationId or None
        Whose request it is; ``None`` on a public route.
    """

    request_id: ids.RequestId
    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    organisation: ids.OrganisationId | None


class Continuation(msgspec.Struct, frozen=True):
    """Where the memory of a generation lies that goes on elsewhere.

    Attributes
    ----------
    holder : str
        Address of the server under which the copy is known.
    copy_id : str
        Name of the copy there.
    last_event_id : str or None
        Last event that the caller has; ``None`` before the first.
    """

    holder: str
    copy_id: str
    last_event_id: str | None


class SendOptions(msgspec.Struct, frozen=True):
    """What the gateway adds to one attempt.

    Attributes
    ----------
    time_left_s : float
        Time until the deadline, in seconds.
    backup_address : str or None
        Server that is to get a growing copy of the generation's memory.
    continuation : Continuation or None
        Given where a generation goes on.
    urgency : int or None
        Rank at the engine, 0 first.
    """

    time_left_s: float
    backup_address: str | None = None
    continuation: Continuation | None = None
    urgency: int | None = None


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and headers of an answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of Header
        Headers to pass on to the caller.
    is_closing : bool
        The server closes the connection: it may be about to leave.
    """

    status: int
    headers: tuple[Header, ...]
    is_closing: bool = False


class RelayAnswer(abc.ABC):
    """An answer whose body is still to be read.

    Attributes
    ----------
    head : AnswerHead
        Status and headers.
    """

    head: AnswerHead

    @abc.abstractmethod
    async def read_body(self) -> result.Result[bytes, base.AttemptFailure]:
        """Return the whole body, or why it did not come whole."""

    @abc.abstractmethod
    async def next_chunk(self) -> result.Result[bytes, base.AttemptFailure]:
        """Return the next bytes of the body; empty bytes where it is complete."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection, which ends the request at the server."""


class MovedCopy(msgspec.Struct, frozen=True):
    """A copy of a generation's memory on another server.

    Attributes
    ----------
    copy_id : str
        Its name.
    events : int
        Events that the generation had made by then.
    """

    copy_id: str
    events: int


class RelayServer(base.Backend):
    """A backend server whose answers are relayed as they are."""

    @abc.abstractmethod
    async def send(
        self, call: RelayCall, options: SendOptions
    ) -> result.Result[RelayAnswer, base.AttemptFailure]:
        """Send a request once, on a connection of its own, and wait for the head."""

    @abc.abstractmethod
    async def copy_memory(
        self,
        request_id: ids.RequestId,
        destination: str,
        timeout_s: float,
    ) -> result.Result[MovedCopy, base.AttemptFailure]:
        """Copy a generation's memory to another server while it runs.

        Parameters
        ----------
        request_id : RequestId
            The generation.
        destination : str
            Address of the other server.
        timeout_s : float
            Longest wait.
        """

    @abc.abstractmethod
    async def hints_leaving(
        self, wait_s: float
    ) -> result.Result[bool, base.AttemptFailure]:
        """Wait for news of the server; return whether it may be about to leave.

        Parameters
        ----------
        wait_s : float
            How long the server may hold the question.
        """

    @abc.abstractmethod
    async def is_leaving(self) -> bool:
        """Ask the server whether it is about to leave."""

    @abc.abstractmethod
    async def drop_copy(self, copy_id: str, timeout_s: float) -> None:
        """Free a copy that is not going to be used."""

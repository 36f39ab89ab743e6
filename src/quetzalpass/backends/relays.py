"""Abstract base classes of backend servers whose responses are relayed unchanged.

The gateway interprets neither requests nor responses. It relays bytes, and reads the
event ids of streams. An adapter subclasses ``RelayServer``.
"""

import abc
import enum

import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base, held_bytes


class Header(msgspec.Struct, frozen=True):
    """One header as it was received."""

    name: str
    value: str


class RelayCall(msgspec.Struct, frozen=True):
    """A request as it is forwarded to a server.

    Attributes
    ----------
    request_id : RequestId
        Id that the caller gave the request.
    method : str
        HTTP method.
    target : str
        Path and query, not decoded.
    headers : tuple of Header
        Headers to forward.
    body : bytes
        The whole body.
    organisation : OrganisationId or None
        Organisation of the caller; ``None`` on a public route.
    """

    request_id: ids.RequestId
    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    organisation: ids.OrganisationId | None


class Continuation(msgspec.Struct, frozen=True):
    """State from which a generation continues on another server.

    Attributes
    ----------
    holder : str
        Address of the server that holds the copy of the generation's memory.
    copy_id : str
        Id of the copy on that server.
    last_event_id : str or None
        Last event that was sent to the caller; ``None`` before the first.
    """

    holder: str
    copy_id: str
    last_event_id: str | None


class SendOptions(msgspec.Struct, frozen=True):
    """Options that the gateway sets for one attempt.

    Attributes
    ----------
    time_left_s : float
        Time until the deadline, in seconds.
    backup_address : str or None
        Address of the server that receives a backup of the generation's memory while
        the generation runs.
    continuation : Continuation or None
        Set if the attempt continues a generation.
    urgency : int or None
        Rank at the engine; 0 runs first.
    """

    time_left_s: float
    backup_address: str | None = None
    continuation: Continuation | None = None
    urgency: int | None = None


class BodyEnd(enum.Enum):
    """How a response marks the end of its body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of a response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of Header
        Headers to forward to the caller.
    is_closing : bool
        Whether the server closes the connection, which may mean that it will leave.
    body_end : BodyEnd
        How the end of the body is marked.
    rate_notice : base.RateNotice or None
        Limit on the rate of requests that the server names; ``None`` if the limit in
        the response can't be read.
    notice : base.ServerNotice
        What the response says about its server.
    """

    status: int
    headers: tuple[Header, ...]
    is_closing: bool = False
    body_end: BodyEnd = BodyEnd.LENGTH
    rate_notice: base.RateNotice | None = base.RateNotice()
    notice: base.ServerNotice = base.ServerNotice()


class RelayResponse(abc.ABC):
    """A response whose body has not been read.

    Attributes
    ----------
    head : ResponseHead
        Status and headers.
    holding : held_bytes.Holding or None
        What its body takes of the limit of all responses while this is referenced.
    """

    head: ResponseHead
    holding: held_bytes.Holding | None = None

    def keep(self, body: held_bytes.HeldBody) -> bytes:
        """Keep the holding of the whole body, and return the body."""
        self.holding = body.holding
        return body.data

    @abc.abstractmethod
    async def read_body(self) -> result.Result[bytes, base.AttemptFailure]:
        """Return the whole body, or why it could not be read to its end."""

    @abc.abstractmethod
    async def next_chunk(self) -> result.Result[bytes, base.AttemptFailure]:
        """Return the next bytes of the body; empty bytes at its end."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection, which cancels the request on the server."""


class MovedCopy(msgspec.Struct, frozen=True):
    """A copy of a generation's memory on another server.

    Attributes
    ----------
    copy_id : str
        Id of the copy.
    event_count : int
        Events that the generation had produced when it was copied.
    is_at_destination : bool
        Whether the other server holds the copy; only the first one does otherwise.
    """

    copy_id: str
    event_count: int
    is_at_destination: bool = True


class RelayServer(base.Backend):
    """A backend server whose responses are relayed unchanged."""

    @abc.abstractmethod
    async def send(
        self, call: RelayCall, options: SendOptions
    ) -> result.Result[RelayResponse, base.AttemptFailure]:
        """Send a request once on its own connection; wait for the response head."""

    @abc.abstractmethod
    async def copy_memory(
        self,
        request_id: ids.RequestId,
        destination: str,
        timeout_s: float,
    ) -> result.Result[MovedCopy, base.AttemptFailure]:
        """Copy the memory of a running generation to another server.

        Parameters
        ----------
        request_id : RequestId
            Request of the generation.
        destination : str
            Address of the other server.
        timeout_s : float
            Maximum duration in seconds.
        """

    @abc.abstractmethod
    async def stop_run(
        self,
        request_id: ids.RequestId,
        destination: str,
        timeout_s: float,
    ) -> result.Result[MovedCopy, base.AttemptFailure]:
        """Stop a running generation, and copy its memory to another server.

        The stream of the generation closes without its end. What an earlier call of
        ``copy_memory`` has copied is not copied again, and the memory stays on the
        first server too until a server resumes from it.

        Returns
        -------
        Result
            The copy of the stopped generation. ``REFUSED`` and ``NOT_SENT`` show that
            this call has not stopped it, ``UNKNOWN_GENERATION`` that it does not run.
        """

    @abc.abstractmethod
    async def wait_for_leaving_hint(
        self, wait_s: float
    ) -> result.Result[bool, base.AttemptFailure]:
        """Poll the server for a hint that it may be about to leave.

        Parameters
        ----------
        wait_s : float
            How long the server may delay its response, in seconds.

        Returns
        -------
        Result
            Whether there was a hint, or why the poll failed.
        """

    @abc.abstractmethod
    async def is_leaving(self) -> bool:
        """Query the server whether it is about to leave."""

    @abc.abstractmethod
    async def responds(self, timeout_s: float) -> bool:
        """Return whether the server answers anything on a new connection.

        Unlike ``check_health``, it is not enough that a connection opens: something
        between may accept it although the path to the server is lost.
        """

    async def still_runs(self, timeout_s: float, is_leaving: bool = False) -> bool:
        """Return whether the server runs, although it has just closed a connection.

        A server that ends may accept connections for a moment after it has closed
        others, which ``check_health`` need not notice. One that leaves may end later.
        """
        return await self.check_health(timeout_s)

    async def started_ms(self, timeout_s: float) -> int | None:
        """Return when the process at the server's address was started.

        Returns
        -------
        int or None
            Unix time in milliseconds; ``None`` if the server does not say.
        """
        return None

    @abc.abstractmethod
    async def drop_copy(self, copy_id: str, timeout_s: float) -> None:
        """Delete a copy that will not be used."""

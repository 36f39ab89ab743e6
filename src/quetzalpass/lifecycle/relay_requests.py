"""Relayed requests as the lifecycle sees them, and the way back to their callers."""

import abc
import hashlib

import msgspec

from quetzalpass import ids
from quetzalpass.backends import relays
from quetzalpass.declarations import relays as declared
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration
from quetzalpass.routing import relay_placement

# Part of the largest output that a generation is expected to reach without a hint.
EXPECTED_OUTPUT_SHARE = 0.5
# A hint is right at the median only; room for more is kept.
HINT_MARGIN = 1.25
# What an engine with a batch of usual size does for one generation.
READ_TOKENS_PER_S = 5_000.0
OUTPUT_TOKENS_PER_S = 110.0


class GenerationSize(msgspec.Struct, frozen=True):
    """What a caller says of the size of a generation.

    Attributes
    ----------
    prompt_tokens : int
        Tokens of the prompt.
    max_output_tokens : int
        Most tokens of the output.
    hinted_output_tokens : int or None
        The caller's estimate of the output.
    """

    prompt_tokens: int
    max_output_tokens: int
    hinted_output_tokens: int | None = None

    def longest_s(self) -> float:
        """Return how long it may run, in seconds; hints are often far off."""
        reading_s = self.prompt_tokens / READ_TOKENS_PER_S
        return reading_s + self.max_output_tokens / OUTPUT_TOKENS_PER_S

    def need(self, objective_s: float) -> relay_placement.GenerationNeed:
        """Return what it is expected to need, with its time to the first event."""
        output = EXPECTED_OUTPUT_SHARE * self.max_output_tokens
        if self.hinted_output_tokens is not None:
            output = HINT_MARGIN * self.hinted_output_tokens
        expected = int(min(output, self.max_output_tokens))
        return relay_placement.GenerationNeed(
            self.prompt_tokens,
            expected,
            max_output_tokens=self.max_output_tokens,
            objective_s=objective_s,
        )


class RelayRequest(msgspec.Struct, frozen=True):
    """A request as it came from a caller.

    Attributes
    ----------
    request_id : RequestId
        The caller's own id.
    method : str
        HTTP method.
    target : str
        Path and query, not decoded.
    host : str
        Host that the request names, without a port.
    headers : tuple of relays.Header
        Headers to pass on.
    body : bytes
        The whole body.
    key : str or None
        Key of an organisation.
    time_left_s : float or None
        How long the caller waits.
    arrived_s : float
        Loop time at which its header had arrived.
    size : GenerationSize or None
        Given for generations.
    """

    request_id: ids.RequestId
    method: str
    target: str
    host: str
    headers: tuple[relays.Header, ...]
    body: bytes
    key: str | None
    time_left_s: float | None
    arrived_s: float
    size: GenerationSize | None = None

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


class RoutedRequest(msgspec.Struct, frozen=True):
    """A request with the declared values that decide it, all of one revision.

    Attributes
    ----------
    request : RelayRequest
        The request.
    route : declared.HostRoute
        Its route.
    service : schema.Service
        Service that it goes to.
    organisation : schema.Organisation or None
        Whose it is; ``None`` on a public route.
    configuration : configuration.Configuration
        The revision.
    deadline_s : float
        Loop time by which the caller must have an answer.
    """

    request: RelayRequest
    route: declared.HostRoute
    service: schema.Service
    organisation: schema.Organisation | None
    configuration: configuration.Configuration
    deadline_s: float

    @property
    def rank(self) -> int:
        """Return its priority, 0 first; an organisation's goes before the route's."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    def call(self) -> relays.RelayCall:
        """Return the request as it is passed on."""
        request = self.request
        organisation = self.organisation.id if self.organisation else None
        return relays.RelayCall(
            request.request_id,
            request.method,
            request.target,
            request.headers,
            request.body,
            organisation,
        )

    def fingerprint(self) -> str:
        """Return what is alike for copies of one request of one organisation."""
        request = self.request
        digest = hashlib.sha256()
        caller = self.organisation.id if self.organisation else ""
        for part in (request.method, request.target, caller):
            digest.update(part.encode() + b"\n")
        digest.update(request.body)
        return digest.hexdigest()


class CallerResponse(abc.ABC):
    """The answer that a caller is getting.

    Attributes
    ----------
    has_begun : bool
        Whether the head of the answer is on its way.
    """

    has_begun: bool

    @abc.abstractmethod
    async def send_whole(self, head: relays.ResponseHead, body: bytes) -> None:
        """Send a whole answer."""

    @abc.abstractmethod
    async def begin(self, head: relays.ResponseHead) -> None:
        """Send the head of a stream."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of a stream at once."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End a stream as complete."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection so that the answer can't look complete."""

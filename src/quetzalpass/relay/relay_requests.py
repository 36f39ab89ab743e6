"""Relayed requests, and the interface of the responses to their callers."""

import abc
import hashlib

import msgspec

from quetzalpass import ids, ranges
from quetzalpass.backends import relays
from quetzalpass.declarations import relays as declared
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration
from quetzalpass.routing import relay_placement

# Part of its maximum output that a generation without a hint is expected to reach.
EXPECTED_OUTPUT_SHARE = 0.5
# Hints are right only at the median, so a margin is added.
HINT_MARGIN = 1.25
# Speed of one generation on an engine with a batch of usual size.
PREFILL_TOKENS_PER_S = 5_000.0
OUTPUT_TOKENS_PER_S = 110.0
PART_DIGEST_BYTES = 8


class GenerationSize(msgspec.Struct, frozen=True):
    """Size of a generation as stated by the caller.

    Attributes
    ----------
    prompt_tokens : int
        Number of tokens of the prompt.
    max_output_tokens : int
        Maximum number of output tokens.
    hinted_output_tokens : int or None
        The caller's estimate of the number of output tokens.
    """

    prompt_tokens: ranges.Integer
    max_output_tokens: ranges.Integer
    hinted_output_tokens: ranges.Integer | None = None

    def max_duration_s(self) -> float:
        """Return how long it may run, in seconds.

        The hint is ignored, as hints are often far off.
        """
        prefill_s = self.prompt_tokens / PREFILL_TOKENS_PER_S
        return prefill_s + self.max_output_tokens / OUTPUT_TOKENS_PER_S

    def need(self, objective_s: float) -> relay_placement.GenerationNeed:
        """Return the expected memory need, with the objective for the first event."""
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
    """A request as received from a caller.

    Attributes
    ----------
    request_id : RequestId
        Request id, chosen by the caller.
    method : str
        HTTP method.
    target : str
        Path and query, not percent-decoded.
    host : str
        Host of the request, without a port.
    headers : tuple of relays.Header
        Headers to forward.
    body : bytes
        The whole body.
    key : str or None
        The caller's API key.
    time_left_s : float or None
        Time until the caller's deadline, in seconds.
    arrived_s : float
        Event loop time at which its header had arrived.
    size : GenerationSize or None
        Size of the generation; ``None`` for other requests.
    shared_parts : tuple of PromptPartId
        Leading parts of the prompt, in order, which other requests may have too. The
        part that only this request or its session has is not among them.
    sender : VmId or None
        Gateway that has handed it over; ``None`` if the caller sent it here.
    earlier_runs : int
        Sends of that gateway that a server may have run.
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
    shared_parts: tuple[ids.PromptPartId, ...] = ()
    sender: ids.VmId | None = None
    earlier_runs: int = 0

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


class RequestProgress(msgspec.Struct):
    """What has been done for a request so far.

    Attributes
    ----------
    decision : str
        Name of the latest decision.
    server : ServerId or None
        Server of that decision, if it names one.
    is_sent : bool
        Whether it may have left this gateway for a server or another gateway.
    """

    decision: str = "routed"
    server: ids.ServerId | None = None
    is_sent: bool = False


class RoutedRequest(msgspec.Struct, frozen=True):
    """A request with the declared values that apply to it, all of one revision.

    Attributes
    ----------
    request : RelayRequest
        The request.
    route : declared.HostRoute
        Route that it matches.
    service : schema.Service
        Service that handles it.
    organisation : schema.Organisation or None
        Organisation of the caller; ``None`` on a public route.
    configuration : configuration.Configuration
        Configuration in force when it was routed.
    deadline_s : float
        Event loop time by which the caller must have the response.
    fingerprint : str
        Digest that all copies of the request share.
    parts : tuple of PromptPartId
        Shared parts of its prompt, of this service.
    progress : RequestProgress
        What has been done for it so far.
    """

    request: RelayRequest
    route: declared.HostRoute
    service: schema.Service
    organisation: schema.Organisation | None
    configuration: configuration.Configuration
    deadline_s: float
    fingerprint: str
    parts: tuple[ids.PromptPartId, ...] = ()
    progress: RequestProgress = msgspec.field(default_factory=RequestProgress)

    @property
    def rank(self) -> int:
        """Return its priority, 0 being the highest.

        The priority of the organisation takes precedence over that of the route.
        """
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    def call(self) -> relays.RelayCall:
        """Return the request as it is forwarded to a server."""
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


def fingerprint_of(
    request: RelayRequest, organisation: schema.Organisation | None
) -> str:
    """Return a digest that all copies of a request of one organisation share."""
    digest = hashlib.sha256()
    caller = organisation.id if organisation else ""
    for part in (request.method, request.target, caller):
        digest.update(part.encode("utf-8", "surrogateescape") + b"\n")
    digest.update(request.body)
    return digest.hexdigest()


def parts_of_service(
    request: RelayRequest, service: ids.ServiceName
) -> tuple[ids.PromptPartId, ...]:
    """Return ids of the shared parts of a prompt, which differ between services.

    A part that crashes the servers of one service may be harmless to another's. All
    ids have the same length, whatever the caller sends.
    """
    return tuple(part_of_service(each, service) for each in request.shared_parts)


def part_of_service(
    part: ids.PromptPartId, service: ids.ServiceName
) -> ids.PromptPartId:
    """Return the id of a part for the servers of one service."""
    text = f"{service}:{part}".encode("utf-8", "surrogateescape")
    digest = hashlib.blake2b(text, digest_size=PART_DIGEST_BYTES)
    return ids.PromptPartId(digest.hexdigest())


class CallerResponse(abc.ABC):
    """The response to a caller.

    Attributes
    ----------
    has_begun : bool
        Whether the head of the response has been sent.
    """

    has_begun: bool

    @abc.abstractmethod
    async def send_whole(self, head: relays.ResponseHead, body: bytes) -> None:
        """Send a complete response."""

    @abc.abstractmethod
    async def begin(self, head: relays.ResponseHead) -> None:
        """Send the head of a streamed response."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of a streamed body without buffering."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End a streamed response as complete."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection so that the response can't look complete."""

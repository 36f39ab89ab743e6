"""Limits per organisation that the gateways of a data centre share.

Each gateway holds a share of each limit and admits requests by it, without a message
per request. Gateways report their demand to each other periodically, and the shares
follow it. A share is a lease: a peer that has been silent for ``LEASE_S`` loses its
share to the others, unless most peers are silent. In that case this gateway is probably
the one that is partitioned, and falls back to an equal share.
"""

import asyncio
import enum
import math
from types import TracebackType

import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.declarations import schema
from quetzalpass.membership import usages
from quetzalpass.results import codes, failures

LEASE_S = 5.0
# Fraction of each limit that is split evenly, so that a new caller gets some anywhere.
EVEN_FRACTION = 0.1
SMOOTHING_FACTOR = 0.5
MIN_REPORT_INTERVAL_S = 0.01
MS_PER_S = 1000
MIN_RETRY_AFTER_MS = 50
MUST_NOT_DROP_POLL_INTERVAL_S = 0.02


class Resource(enum.Enum):
    """Limited resources; the values are field names of ``Usage``."""

    REQUESTS = "requests_per_s"
    STREAMS = "streams"
    TOKENS = "tokens_per_s"


class PeerUsage(msgspec.Struct):
    """The last usage report of a peer."""

    sequence: int
    received_s: float
    usages: dict[ids.OrganisationId, usages.Usage]


class TokenBucket:
    """A token bucket whose rate may change between refills."""

    def __init__(self) -> None:
        self.level = math.inf
        self.updated_s = 0.0

    def refill(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Add tokens for the elapsed time; a new bucket is full."""
        added = (now_s - self.updated_s) * rate_per_s
        self.level = min(capacity, self.level + added)
        self.updated_s = now_s


class OrganisationAccount:
    """State of one organisation at this gateway.

    Attributes
    ----------
    requested, tokens, refused_streams : int
        Requests received, output tokens and refused generations since the last report.
    streams : int
        Generations in progress.
    waiting : int
        Waiting requests of must-not-drop classes; other requests yield to them.
    usage : Usage
        Smoothed values of the last report.
    """

    def __init__(self, organisation: ids.OrganisationId) -> None:
        self.request_bucket = TokenBucket()
        self.token_bucket = TokenBucket()
        self.requested = 0
        self.tokens = 0
        self.refused_streams = 0
        self.streams = 0
        self.waiting = 0
        self.usage = usages.Usage(organisation, 0.0, 0.0, 0.0)

    def idle(self) -> bool:
        """Return whether the organisation has no demand or token debt at present."""
        busy = self.requested + self.tokens + self.streams + self.waiting
        settled = self.usage.requests_per_s < 1e-3 and self.token_bucket.level >= 0.0
        return busy == 0 and settled


class AdmittedRequest:
    """An admitted request, as a context manager that releases its stream on exit."""

    def __init__(self, account: OrganisationAccount, streams: int) -> None:
        self.account = account
        self.streams = streams

    def __enter__(self) -> "AdmittedRequest":
        """Return itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the stream."""
        self.account.streams -= self.streams
        self.streams = 0


class Limiter:
    """Limits of all organisations at one gateway.

    Parameters
    ----------
    vm : VmId
        This gateway.
    gateways : int
        Gateways of the data centre, this one included.
    """

    def __init__(self, vm: ids.VmId, gateways: int) -> None:
        self.vm = vm
        self.gateways = gateways
        self.accounts: dict[ids.OrganisationId, OrganisationAccount] = {}
        self.peers: dict[ids.VmId, PeerUsage] = {}
        self.sequence = 0
        self.reported_s = asyncio.get_running_loop().time()

    def account(self, organisation: ids.OrganisationId) -> OrganisationAccount:
        """Return the account of an organisation; create it on first use."""
        found = self.accounts.get(organisation)
        if found is None:
            found = self.accounts[organisation] = OrganisationAccount(organisation)
        return found

    async def admit(
        self,
        organisation: schema.Organisation,
        priority_class: schema.PriorityClass,
        deadline_s: float,
        streams: int,
    ) -> result.Result[AdmittedRequest, failures.Failure]:
        """Admit a request, or refuse it at once.

        Parameters
        ----------
        organisation : schema.Organisation
            Whose limits count.
        priority_class : schema.PriorityClass
            A request of a must-not-drop class waits until its deadline instead.
        deadline_s : float
            Loop time after which the response is of no use.
        streams : int
            1 for a generation, 0 for a call of a plain service.

        Returns
        -------
        Result
            The admitted request; or ``RATE_LIMITED`` or ``TOO_MANY_STREAMS`` with a
            retry-after time. A refused request was not sent to any server.
        """
        account = self.account(organisation.id)
        account.requested += 1
        failure = self.refusal(account, organisation, streams)
        if failure is None and account.waiting and not priority_class.must_not_drop:
            failure = rate_limited(
                "a must-not-drop request waits", MUST_NOT_DROP_POLL_INTERVAL_S
            )
        if failure is not None and priority_class.must_not_drop:
            failure = await self.wait_for_admission(
                account, organisation, streams, deadline_s
            )
        if failure is not None:
            account.refused_streams += streams
            return result.Failure(failure)
        account.request_bucket.level -= 1.0
        account.streams += streams
        return result.Success(AdmittedRequest(account, streams))

    async def wait_for_admission(
        self,
        account: OrganisationAccount,
        organisation: schema.Organisation,
        streams: int,
        deadline_s: float,
    ) -> failures.Failure | None:
        """Wait until the limits admit a must-not-drop request or time is up."""
        loop = asyncio.get_running_loop()
        account.waiting += 1
        try:
            while True:
                failure = self.refusal(account, organisation, streams)
                if failure is None or loop.time() >= deadline_s:
                    return failure
                await asyncio.sleep(MUST_NOT_DROP_POLL_INTERVAL_S)
        finally:
            account.waiting -= 1

    def refusal(
        self,
        account: OrganisationAccount,
        organisation: schema.Organisation,
        streams: int,
    ) -> failures.Failure | None:
        """Return why a request exceeds a limit, or ``None``."""
        now_s = asyncio.get_running_loop().time()
        request_rate = organisation.requests_per_s * self.share(
            organisation, Resource.REQUESTS
        )
        burst = organisation.burst_requests / self.gateways
        account.request_bucket.refill(request_rate, max(1.0, burst), now_s)
        if account.request_bucket.level < 1.0:
            wait_s = (1.0 - account.request_bucket.level) / max(request_rate, 1e-6)
            return rate_limited(
                f"more than {request_rate:.3g} requests/s at this gateway", wait_s
            )
        token_rate = organisation.tokens_per_s * self.share(
            organisation, Resource.TOKENS
        )
        account.token_bucket.refill(token_rate, token_rate, now_s)
        if account.token_bucket.level <= 0.0:
            wait_s = (1.0 - account.token_bucket.level) / max(token_rate, 1e-6)
            return rate_limited(
                f"more than {token_rate:.3g} tokens/s at this gateway", wait_s
            )
        stream_limit = organisation.max_streams * self.share(
            organisation, Resource.STREAMS
        )
        if streams and account.streams >= max(1, math.floor(stream_limit + 1e-9)):
            return failures.Failure(
                codes.Code.TOO_MANY_STREAMS,
                f"{account.streams} generations are in progress at this gateway",
                retry_after_ms=MS_PER_S,
            )
        return None

    def record_tokens(self, organisation: ids.OrganisationId, count: int) -> None:
        """Count output tokens; a negative level must refill before the next request."""
        account = self.account(organisation)
        account.tokens += count
        if account.token_bucket.level < math.inf:
            account.token_bucket.level -= count

    def share(self, organisation: schema.Organisation, resource: Resource) -> float:
        """Return this gateway's share of a limit, from 0 to 1."""
        now_s = asyncio.get_running_loop().time()
        live_peers = [
            each for each in self.peers.values() if now_s - each.received_s <= LEASE_S
        ]
        if 2 * len(live_peers) < self.gateways - 1:
            return 1.0 / self.gateways
        limit = declared_limit(organisation, resource)
        even_share = max(EVEN_FRACTION * limit / self.gateways, 1e-9)
        own_demand = demand(self.account(organisation.id).usage, resource)
        total_demand = own_demand + even_share
        for peer in live_peers:
            usage = peer.usages.get(organisation.id)
            total_demand += even_share + (demand(usage, resource) if usage else 0.0)
        return (own_demand + even_share) / total_demand

    def own_usage(self) -> usages.UsageReport:
        """Return the usage report for the peers; called once per report interval."""
        now_s = asyncio.get_running_loop().time()
        elapsed_s = max(MIN_REPORT_INTERVAL_S, now_s - self.reported_s)
        self.reported_s = now_s
        self.sequence += 1
        for name, account in list(self.accounts.items()):
            account.usage = usages.Usage(
                name,
                smoothed(account.usage.requests_per_s, account.requested / elapsed_s),
                float(account.streams + account.refused_streams),
                smoothed(account.usage.tokens_per_s, account.tokens / elapsed_s),
            )
            account.requested = account.tokens = account.refused_streams = 0
            if account.idle():
                del self.accounts[name]
        found = tuple(each.usage for each in self.accounts.values())
        return usages.UsageReport(self.vm, self.sequence, found)

    def observe_peer_usage(self, report: usages.UsageReport) -> None:
        """Apply the usage report of a peer; ignore one that arrives out of order."""
        now_s = asyncio.get_running_loop().time()
        previous = self.peers.get(report.vm)
        is_current = previous is not None and now_s - previous.received_s <= LEASE_S
        if previous is not None and is_current and previous.sequence >= report.sequence:
            return
        found = {each.organisation: each for each in report.usages}
        self.peers[report.vm] = PeerUsage(report.sequence, now_s, found)


def demand(usage: usages.Usage, resource: Resource) -> float:
    """Return the demand for a resource."""
    return getattr(usage, resource.value)


def declared_limit(organisation: schema.Organisation, resource: Resource) -> float:
    """Return the declared limit of a resource."""
    match resource:
        case Resource.REQUESTS:
            return organisation.requests_per_s
        case Resource.STREAMS:
            return float(organisation.max_streams)
    return organisation.tokens_per_s


def smoothed(before: float, now: float) -> float:
    """Return the exponentially smoothed value."""
    return before + SMOOTHING_FACTOR * (now - before)


def rate_limited(message: str, wait_s: float) -> failures.Failure:
    """Return the failure of a request over a rate limit, with its retry-after time."""
    wait_ms = max(MIN_RETRY_AFTER_MS, math.ceil(wait_s * MS_PER_S))
    return failures.Failure(codes.Code.RATE_LIMITED, message, retry_after_ms=wait_ms)

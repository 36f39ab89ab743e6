"""Seeded request arrivals for both deployments, under each condition."""

import enum
import math
import random

import msgspec

from quetzalpass import ids
from quetzalpass.routing import settings
from quetzalpass.standin import parameters

ARRIVALS_S = 90.0
# Engines reach a steady load only after several request durations, which is longer than
# a run. So each run starts with the requests of FILL_S, sent within FILL_WITHIN_S.
FILL_S, FILL_WITHIN_S = 25.0, 10.0
WARM_UP_S = 15.0
BURST_START_S, BURST_END_S, BURST_FACTOR = 40.0, 65.0, 1.8
FLOOD_START_S, FLOOD_END_S, FLOOD_FACTOR = 30.0, 70.0, 0.6
LOSS_S = 45.0
SLOWDOWN = 3.0
ORGANISATIONS, LARGE_ORGANISATIONS = 10, 3
LARGE_WEIGHT = 4.0
ADAPTERS = 6
CASES_PER_ORGANISATION = 8
PREFIX_BLOCKS = 16


class Condition(enum.Enum):
    """Difference of a cell from the base cell."""

    BASE = "base"
    BURST = "burst"
    SLOW_ENGINE = "slow_engine"
    DATA_CENTRE_LOST = "data_centre_lost"
    FLOOD = "flood"
    LAG_100_MS = "lag_100_ms"
    LAG_2_S = "lag_2_s"
    LAG_5_S = "lag_5_s"


class WorkClass(msgspec.Struct, frozen=True):
    """One class of requests.

    Lengths in tokens have a lognormal distribution, given by the median and the sigma
    of the logarithm. ``share`` is the fraction of all requests, ``deadline_s`` the time
    after which the caller cancels.
    """

    name: str
    share: float
    priority: int
    deadline_s: float
    prompt_median: int
    output_median: int
    output_sigma: float
    max_tokens: int
    must_not_drop: bool = False
    adapters: bool = False


class Deployment(msgspec.Struct, frozen=True):
    """Deployment of one of the two users: servers, data centres, request classes."""

    name: str
    model: str
    replicas: int
    service: str
    service_replicas: int
    data_centres: tuple[str, ...]
    one_way_s: float
    client_s: float
    objective: settings.Objective
    classes: tuple[WorkClass, ...]
    service_call: WorkClass


class Arrival(msgspec.Struct, frozen=True):
    """One request of a caller; the dispatchers don't know its output length."""

    time_s: float
    model: str
    work_class: WorkClass
    organisation: str
    adapter: str | None
    prompt_tokens: int
    prefix_hashes: tuple[int, ...]
    output_tokens: int


SCHELDEKAAI = Deployment(
    name="scheldekaai",
    model="claims-llm",
    replicas=5,
    service="ledger-app",
    service_replicas=3,
    data_centres=("flx-a", "flx-b", "flx-c"),
    one_way_s=0.001,
    client_s=0.001,
    objective=settings.Objective(stall=0.8, gap_tail=0.2),
    classes=(
        WorkClass("draft", 0.35, 2, 240.0, 900, 450, 1.0, 3000, adapters=True),
        WorkClass("check", 0.35, 0, 20.0, 400, 30, 0.5, 200, must_not_drop=True),
        WorkClass("lookup", 0.30, 1, 10.0, 200, 20, 0.5, 100),
    ),
    service_call=WorkClass("filing", 0.1, 0, 20.0, 64, 1, 0.0, 1, must_not_drop=True),
)
HUEPFWERK = Deployment(
    name="huepfwerk",
    model="sprungmodell",
    replicas=6,
    service="buchung",
    service_replicas=3,
    data_centres=("wien-a", "wien-b", "linz-c"),
    one_way_s=0.0005,
    client_s=0.003,
    objective=settings.Objective(stall=0.2, gap_tail=0.8),
    classes=(
        WorkClass("plan", 0.40, 1, 180.0, 700, 350, 0.9, 2500, adapters=True),
        WorkClass("summary", 0.25, 2, 90.0, 1200, 90, 0.5, 400),
        WorkClass("lookup", 0.35, 0, 10.0, 200, 20, 0.5, 100),
    ),
    service_call=WorkClass("booking", 0.1, 0, 20.0, 64, 1, 0.0, 1, must_not_drop=True),
)
DEPLOYMENTS = (SCHELDEKAAI, HUEPFWERK)
ENGINE = parameters.EngineParameters()
SERVICE = parameters.EngineParameters(step_base_s=0.04, batch_limit=16)


class Generator:
    """Draws arrivals from a seeded random number generator."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.random = random.Random(f"{deployment.name} {seed}")

    def draw_organisation(self) -> str:
        """Draw an organisation; large ones are more likely."""
        small = ORGANISATIONS - LARGE_ORGANISATIONS
        large_share = LARGE_ORGANISATIONS * LARGE_WEIGHT
        if self.random.random() < large_share / (large_share + small):
            return f"org-{self.random.randrange(LARGE_ORGANISATIONS)}"
        return f"org-{self.random.randrange(LARGE_ORGANISATIONS, ORGANISATIONS)}"

    def draw_length(self, median: int, sigma: float, limit: int) -> int:
        """Draw a length in tokens."""
        length = self.random.lognormvariate(math.log(median), sigma)
        return max(1, min(limit, round(length)))

    def draw_arrival(
        self, time_s: float, work_class: WorkClass, organisation: str
    ) -> Arrival:
        """Draw the remaining fields of a request of a class."""
        prompt = self.draw_length(work_class.prompt_median, 0.5, 3000)
        case = self.random.randrange(CASES_PER_ORGANISATION)
        service = work_class is self.deployment.service_call
        blocks = range(0 if service else prompt // ENGINE.block_tokens)
        number = int(organisation.removeprefix("org-"))
        hashes = tuple(
            self.block_hash(work_class, number, case, index)
            for index in blocks[: 2 * PREFIX_BLOCKS]
        )
        adapter = f"adapter-{number}" if number < ADAPTERS else None
        return Arrival(
            time_s=time_s,
            model=self.deployment.service if service else self.deployment.model,
            work_class=work_class,
            organisation=organisation,
            adapter=adapter if work_class.adapters else None,
            prompt_tokens=prompt,
            prefix_hashes=hashes,
            output_tokens=self.draw_length(
                work_class.output_median,
                work_class.output_sigma,
                work_class.max_tokens,
            ),
        )

    def block_hash(
        self, work_class: WorkClass, number: int, case: int, index: int
    ) -> int:
        """Return a block's hash; an organisation's cases share the first blocks."""
        class_index = self.deployment.classes.index(work_class)
        if index < PREFIX_BLOCKS:
            case = -1
        return hash((class_index, number, case, index))

    def draw_request(self, time_s: float) -> Arrival:
        """Draw a request for the model from the deployment's mix of classes."""
        classes = self.deployment.classes
        weights = [work_class.share for work_class in classes]
        work_class = self.random.choices(classes, weights)[0]
        return self.draw_arrival(time_s, work_class, self.draw_organisation())

    def draw_times(self, rate: float, start_s: float, end_s: float) -> list[float]:
        """Draw the times of a Poisson process; the rate is in requests per second."""
        times_s, time_s = [], start_s + self.random.expovariate(rate)
        while time_s < end_s:
            times_s.append(time_s)
            time_s += self.random.expovariate(rate)
        return times_s


def make_arrivals(
    deployment: Deployment,
    capacity: float,
    load: float,
    condition: Condition,
    seed: int,
) -> list[Arrival]:
    """Return the arrivals of one run, sorted by time.

    Parameters
    ----------
    deployment : Deployment
        Deployment whose workload is generated.
    capacity : float
        Requests per second of the usual mix that all engines together can serve.
    load : float
        Offered load as a fraction of the capacity.
    condition : Condition
        Burst and flood change the arrivals; other conditions don't.
    seed : int
        The same seed gives the same arrivals for every policy.
    """
    generator = Generator(deployment, seed)
    rate = capacity * load
    times = generator.draw_times(rate, 0.0, ARRIVALS_S)
    times += generator.draw_times(rate * FILL_S / FILL_WITHIN_S, 0.0, FILL_WITHIN_S)
    if condition is Condition.BURST:
        extra = rate * (BURST_FACTOR - 1.0)
        times += generator.draw_times(extra, BURST_START_S, BURST_END_S)
    arrivals = [generator.draw_request(time_s) for time_s in times]
    call = deployment.service_call
    for time_s in generator.draw_times(rate * call.share, 0.0, ARRIVALS_S):
        arrivals.append(
            generator.draw_arrival(time_s, call, generator.draw_organisation())
        )
    if condition is Condition.FLOOD:
        flooding_organisation = f"org-{ORGANISATIONS - 1}"
        extra = capacity * FLOOD_FACTOR
        for time_s in generator.draw_times(extra, FLOOD_START_S, FLOOD_END_S):
            work_class = deployment.classes[0]
            arrivals.append(
                generator.draw_arrival(time_s, work_class, flooding_organisation)
            )
    return sorted(arrivals, key=lambda arrival: arrival.time_s)


def organisation_weights() -> dict[ids.OrganisationId, float]:
    """Return the declared weights; large organisations pay for a larger share."""
    return {
        ids.OrganisationId(f"org-{number}"): LARGE_WEIGHT
        for number in range(LARGE_ORGANISATIONS)
    }

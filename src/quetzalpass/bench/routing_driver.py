"""Runs real dispatchers against a few engine models on an event heap.

No network model: a dispatch and a token take constant times. No processes and no
consensus: gateways share nothing but their peer summaries.
"""

import functools
import heapq
import itertools
import random
import time
from collections.abc import Callable

import msgspec

from quetzalpass import ids
from quetzalpass.bench import routing_workloads as workloads
from quetzalpass.routing import dispatch, factory, servers, settings, work
from quetzalpass.standin import engine, parameters

TICK_S = 0.25
PROGRESS_S = 0.5
PEER_INTERVAL_S = 0.25
PUMP_INTERVAL_S = 0.05
LOSS_DETECTED_S = 1.0
STALL_LIMIT_S = 0.25
GAP_BIN_S = 0.0005
END_S = workloads.ARRIVALS_S + 150.0
CAPACITY_REQUESTS = 600


class Cell(msgspec.Struct, frozen=True):
    """One cell of the benchmark."""

    deployment: workloads.Deployment
    load: float
    condition: workloads.Condition
    gateways: int


class Stream:
    """One caller's request, over all its attempts."""

    def __init__(self, number: int, arrival: workloads.Arrival, gateway: int) -> None:
        self.number = number
        self.arrival = arrival
        self.gateway = gateway
        self.attempt = 0
        self.request_id = ids.RequestId("")
        self.engine: Engine | None = None
        self.generated = 0
        self.noted = 0
        self.first_token_s: float | None = None
        self.paused_s: float | None = None
        self.finished_s: float | None = None
        self.refused = False

    @property
    def deadline_s(self) -> float:
        """When the caller gives up."""
        return self.arrival.time_s + self.arrival.work_class.deadline_s


class Engine:
    """An engine model and where it stands."""

    def __init__(self, view: servers.ServerView, model: engine.EngineModel) -> None:
        self.view = view
        self.model = model
        self.busy = False
        self.dead = False


class Totals:
    """What the callers saw."""

    def __init__(self) -> None:
        self.gaps: dict[int, int] = {}
        self.stall_s = 0.0
        self.preemptions = 0
        self.prompt_tokens = 0
        self.matched_tokens = 0
        self.refused_must_not_drop = 0
        self.decision_s: list[float] = []

    def add_gap(self, gap_s: float, count: int) -> None:
        """Count equal gaps."""
        index = int(gap_s / GAP_BIN_S)
        self.gaps[index] = self.gaps.get(index, 0) + count
        if gap_s > STALL_LIMIT_S:
            self.stall_s += (gap_s - STALL_LIMIT_S) * count

    def gap_ms(self, part: float) -> float:
        """Return a quantile of the gaps in milliseconds."""
        left = part * sum(self.gaps.values())
        for index in sorted(self.gaps):
            left -= self.gaps[index]
            if left <= 0:
                return (index + 1) * GAP_BIN_S * 1000
        return 0.0


class Run:
    """One policy on one cell with one seed.

    Parameters
    ----------
    cell : Cell
        Deployment, load, condition and gateways.
    policy : settings.PolicyName
        Policy of all gateways.
    capacity : float
        Requests of the mix per second that the engines can do.
    seed : int
        Seed of the arrivals and of the random choices.
    """

    def __init__(
        self, cell: Cell, policy: settings.PolicyName, capacity: float, seed: int
    ) -> None:
        self.cell = cell
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.counter = itertools.count()
        self.totals = Totals()
        self.random = random.Random(seed)
        self.engines = self.make_engines()
        self.rules = settings.RoutingSettings(
            policy=policy,
            objective=cell.deployment.objective,
            organisation_weights=workloads.organisation_weights(),
        )
        self.gateways = [self.make_gateway(index) for index in range(cell.gateways)]
        arrivals = workloads.make_arrivals(
            cell.deployment, capacity, cell.load, cell.condition, seed
        )
        self.streams = [
            Stream(number, arrival, self.random.randrange(cell.gateways))
            for number, arrival in enumerate(arrivals)
        ]
        self.current: dict[ids.RequestId, Stream] = {}
        self.peer_sequence = 0

    def make_engines(self) -> dict[ids.ServerId, Engine]:
        """Return the engines, spread over the data centres in turn."""
        deployment = self.cell.deployment
        wanted = [(deployment.model, workloads.ENGINE)] * deployment.replicas
        wanted += [(deployment.service, workloads.SERVICE)] * (
            deployment.service_replicas
        )
        found = {}
        for index, (model, size) in enumerate(wanted):
            places = deployment.data_centres
            view = servers.ServerView(
                ids.ServerId(f"{model}-{index}"),
                ids.DataCentreId(places[index % len(places)]),
                ids.VmId(f"vm-{index}"),
                ids.ModelName(model),
                memory_blocks=size.memory_blocks,
                block_tokens=size.block_tokens,
                batch_limit=size.batch_limit,
                adapter_slots=size.adapter_slots,
            )
            found[view.server_id] = Engine(
                view, engine.EngineModel(self.adapt(size, index), self.random)
            )
        return found

    def adapt(
        self, size: parameters.EngineParameters, index: int
    ) -> parameters.EngineParameters:
        """Return an engine's parameters under the cell's condition."""
        change = functools.partial(msgspec.structs.replace, size)
        match self.cell.condition:
            case workloads.Condition.SLOW_ENGINE if index == 0:
                return change(slowdown=workloads.SLOWDOWN)
            case workloads.Condition.LAG_100_MS:
                return change(report_lag_s=0.1, event_lag_s=0.1, event_loss=0.0)
            case workloads.Condition.LAG_2_S:
                return change(report_lag_s=2.0, event_lag_s=2.0, event_loss=0.1)
            case workloads.Condition.LAG_5_S:
                return change(report_lag_s=5.0, event_lag_s=5.0, event_loss=0.2)
        return size

    def make_gateway(self, index: int) -> dispatch.Dispatcher:
        """Return a gateway's dispatcher that knows all engines."""
        places = self.cell.deployment.data_centres
        place = ids.DataCentreId(places[index % len(places)])
        generator = random.Random(self.random.random())
        gateway = factory.make_dispatcher(self.rules, place, generator)
        views = tuple(item.view for item in self.engines.values())
        gateway.table.update(views, 0.0)
        return gateway

    def at(self, delay_s: float, call: Callable[[], None]) -> None:
        """Run a call after a delay on the virtual clock."""
        entry = (self.now_s + delay_s, next(self.counter), call)
        heapq.heappush(self.events, entry)

    def run(self) -> None:
        """Run until all requests have ended or the time is up."""
        for stream in self.streams:
            self.at(stream.arrival.time_s, functools.partial(self.arrive, stream))
            self.at(stream.deadline_s, functools.partial(self.give_up, stream))
        self.at(0.0, self.tick)
        self.at(0.0, self.note_progress)
        self.at(0.0, self.pump)
        # The baselines don't read what peers have in flight.
        shares = self.rules.policy is settings.PolicyName.PREDICTIVE
        if self.cell.gateways > 1 and shares:
            self.at(0.0, self.share)
        if self.cell.condition is workloads.Condition.DATA_CENTRE_LOST:
            self.at(workloads.LOSS_S, self.lose)
        while self.events and self.now_s < END_S:
            self.now_s, _, call = heapq.heappop(self.events)
            call()
            if self.now_s > workloads.ARRIVALS_S and not self.current:
                break

    def arrive(self, stream: Stream) -> None:
        """Submit a request, or what is left of it, to its gateway."""
        arrival = stream.arrival
        stream.attempt += 1
        stream.request_id = ids.RequestId(f"{stream.number}/{stream.attempt}")
        stream.noted = stream.generated
        self.current[stream.request_id] = stream
        item = work.WorkItem(
            stream.request_id,
            ids.OrganisationId(arrival.organisation),
            ids.ClassName(arrival.work_class.name),
            ids.ModelName(arrival.model),
            adapter=arrival.adapter and ids.AdapterName(arrival.adapter),
            prompt_tokens=arrival.prompt_tokens,
            prefix_hashes=arrival.prefix_hashes,
            priority=arrival.work_class.priority,
            must_not_drop=arrival.work_class.must_not_drop,
            deadline_s=stream.deadline_s,
            max_tokens=arrival.work_class.max_tokens,
            generated_tokens=stream.generated,
        )
        gateway = self.gateways[stream.gateway]
        start = time.thread_time()
        decisions = gateway.submit(item, self.now_s)
        self.totals.decision_s.append(time.thread_time() - start)
        self.carry_out(decisions)

    def carry_out(self, decisions: list[dispatch.Decision]) -> None:
        """Send placed requests to their engines and end refused ones."""
        for decision in decisions:
            stream = self.current[decision.item.request_id]
            if isinstance(decision, dispatch.Refusal):
                stream.refused = True
                self.totals.refused_must_not_drop += decision.item.must_not_drop
                self.end_pause(stream, self.now_s)
                del self.current[stream.request_id]
                continue
            stream.engine = self.engines[decision.choice.server_id]
            send = functools.partial(self.send, stream, stream.request_id)
            self.at(self.cell.deployment.one_way_s, send)

    def send(self, stream: Stream, request_id: ids.RequestId) -> None:
        """Hand a request to its engine unless it has ended on the way."""
        place = stream.engine
        if request_id not in self.current or place.dead:
            return
        arrival = stream.arrival
        size = place.model.settings
        cached = place.model.memory.count_cached_blocks(arrival.prefix_hashes)
        self.totals.prompt_tokens += arrival.prompt_tokens
        self.totals.matched_tokens += cached * size.block_tokens
        place.model.submit(
            engine.EngineRequest(
                ids.GenerationId(request_id),
                arrival.prompt_tokens,
                arrival.output_tokens,
                arrival.prefix_hashes,
                arrival.work_class.priority,
                arrival.adapter and ids.AdapterName(arrival.adapter),
                stream.generated,
            )
        )
        if not place.busy:
            self.begin_step(place)

    def begin_step(self, place: Engine) -> None:
        """Run one step of an engine; its results exist at its end."""
        if place.dead or place.model.idle:
            place.busy = False
            return
        place.busy = True
        outcome = place.model.step(self.now_s)
        self.totals.preemptions += len(outcome.preempted)
        for generation_id in outcome.preempted:
            stream = self.current.get(ids.RequestId(generation_id))
            if stream and stream.first_token_s and stream.paused_s is None:
                stream.paused_s = self.now_s
        self.at(outcome.duration_s, functools.partial(self.end_step, place, outcome))

    def end_step(self, place: Engine, outcome: engine.StepOutcome) -> None:
        """Count the tokens of a step and begin the next one."""
        if place.dead:
            return
        if place.view.model == self.cell.deployment.model and outcome.decoded:
            self.totals.add_gap(outcome.duration_s, outcome.decoded)
        for generation_id in outcome.joined:
            stream = self.current.get(ids.RequestId(generation_id))
            if stream:
                self.join(stream)
        for generation_id in outcome.finished:
            stream = self.current.get(ids.RequestId(generation_id))
            if stream:
                stream.generated = stream.arrival.output_tokens
                stream.finished_s = self.now_s
                self.release(stream, work.ReservationOutcome.COMPLETED)
        self.begin_step(place)

    def join(self, stream: Stream) -> None:
        """Count the first token of a request, or the first after a pause."""
        if stream.first_token_s is None:
            stream.first_token_s = self.now_s
        self.end_pause(stream, self.now_s)
        if stream.noted == 0:
            stream.noted = 1
            self.gateways[stream.gateway].on_tokens(stream.request_id, 1)

    def end_pause(self, stream: Stream, now_s: float) -> None:
        """Count the gap of a stream that was paused, if it was."""
        if stream.paused_s is not None:
            self.totals.add_gap(now_s - stream.paused_s, 1)
            stream.paused_s = None

    def release(self, stream: Stream, outcome: work.ReservationOutcome) -> None:
        """Give back a request's place."""
        del self.current[stream.request_id]
        gateway = self.gateways[stream.gateway]
        if stream.generated > stream.noted:
            gateway.on_tokens(stream.request_id, stream.generated - stream.noted)
        decisions = gateway.release(stream.request_id, outcome, self.now_s)
        self.carry_out(decisions)

    def give_up(self, stream: Stream) -> None:
        """End a request whose caller has gone."""
        if stream.request_id not in self.current:
            return
        self.end_pause(stream, self.now_s)
        gateway = self.gateways[stream.gateway]
        if gateway.cancel(stream.request_id):
            stream.refused = True
            must_not_drop = stream.arrival.work_class.must_not_drop
            self.totals.refused_must_not_drop += must_not_drop
            del self.current[stream.request_id]
            return
        if not stream.engine.dead:
            stream.engine.model.cancel(ids.GenerationId(stream.request_id))
        self.release(stream, work.ReservationOutcome.CANCELLED)

    def tick(self) -> None:
        """Hand reports, cache events and progress to the gateways."""
        for place in self.engines.values():
            if place.dead:
                continue
            report = place.model.load_report(self.now_s)
            events = place.model.cache_events(self.now_s)
            for gateway in self.gateways:
                if report is not None:
                    gateway.table.observe_report(place.view.server_id, report)
                for event in events:
                    gateway.table.observe_cache_event(place.view.server_id, event)
        self.at(TICK_S, self.tick)

    def note_progress(self) -> None:
        """Tell the gateways how far their streams have come."""
        for place in self.engines.values():
            if place.dead:
                continue
            for generation_id, sequence in place.model.decoding.items():
                stream = self.current[ids.RequestId(generation_id)]
                generated = sequence.generated_at(place.model.step_number)
                stream.generated = generated
                if generated > stream.noted:
                    gateway = self.gateways[stream.gateway]
                    gateway.on_tokens(stream.request_id, generated - stream.noted)
                    stream.noted = generated
        self.at(PROGRESS_S, self.note_progress)

    def pump(self) -> None:
        """Let the gateways look at their queues."""
        for gateway in self.gateways:
            if gateway.queued or gateway.table.ejection_ends:
                self.carry_out(gateway.process_queues(self.now_s))
        self.at(PUMP_INTERVAL_S, self.pump)

    def share(self) -> None:
        """Let the gateways exchange what they have in flight."""
        self.peer_sequence += 1
        for index, gateway in enumerate(self.gateways):
            message = servers.PeerDispatches(
                ids.VmId(f"gateway-{index}"),
                self.peer_sequence,
                gateway.table.own_loads(),
            )
            for peer in self.gateways:
                if peer is not gateway:
                    deliver = functools.partial(self.deliver, peer, message)
                    self.at(self.cell.deployment.one_way_s, deliver)
        self.at(PEER_INTERVAL_S, self.share)

    def deliver(
        self, gateway: dispatch.Dispatcher, message: servers.PeerDispatches
    ) -> None:
        """Hand a peer's summary to a gateway."""
        gateway.table.observe_peer(message, self.now_s)

    def lose(self) -> None:
        """Lose the engines of the first data centre."""
        lost = self.cell.deployment.data_centres[0]
        for place in self.engines.values():
            if place.view.data_centre == lost:
                place.dead = True
                notice = functools.partial(self.notice_loss, place, self.now_s)
                self.at(LOSS_DETECTED_S, notice)

    def notice_loss(self, place: Engine, lost_s: float) -> None:
        """Let the gateways resume elsewhere what ran on a dead engine."""
        for gateway in self.gateways:
            view = msgspec.structs.replace(
                place.view, state=servers.ServerState.LEAVING
            )
            views = [
                record.view
                for record in gateway.table.records.values()
                if record.server_id != view.server_id
            ]
            gateway.table.update((*views, view), self.now_s)
        for stream in list(self.current.values()):
            if stream.engine is not place:
                continue
            if stream.request_id in self.gateways[stream.gateway].queued:
                continue
            if stream.first_token_s and stream.paused_s is None:
                stream.paused_s = lost_s
            self.release(stream, work.ReservationOutcome.SERVER_LOST)
            self.arrive(stream)


@functools.cache
def capacity_per_s(deployment: workloads.Deployment) -> float:
    """Return the requests of the mix per second that the model's engines can do.

    One engine works off a backlog; its rate times the replicas is 100% load.
    """
    model = engine.EngineModel(workloads.ENGINE, random.Random(0))
    generator = workloads.Generator(deployment, 0)
    for number in range(CAPACITY_REQUESTS):
        arrival = generator.mixed(0.0)
        model.submit(
            engine.EngineRequest(
                ids.GenerationId(str(number)),
                arrival.prompt_tokens,
                arrival.output_tokens,
                arrival.prefix_hashes,
            )
        )
    now_s = 0.0
    finished = 0
    # The last requests run in a batch that is no longer full.
    while finished < CAPACITY_REQUESTS * 0.8:
        outcome = model.step(now_s)
        now_s += outcome.duration_s
        finished += len(outcome.finished)
    return finished / now_s * deployment.replicas

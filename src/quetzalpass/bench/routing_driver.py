"""Discrete-event simulation of real dispatchers with simulated engines.

There is no network model: dispatches and tokens arrive after constant delays. There are
no processes and no consensus: gateways exchange only their peer summaries.
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

REPORT_INTERVAL_S = 0.25
PROGRESS_INTERVAL_S = 0.5
PEER_INTERVAL_S = 0.25
QUEUE_POLL_INTERVAL_S = 0.05
LOSS_DETECTION_S = 1.0
STALL_LIMIT_S = 0.25
GAP_BIN_S = 0.0005
END_S = workloads.ARRIVALS_S + 150.0
CAPACITY_REQUESTS = 600


class Cell(msgspec.Struct, frozen=True):
    """One cell of the benchmark: a deployment, a load, a condition and gateways."""

    deployment: workloads.Deployment
    load: float
    condition: workloads.Condition
    gateways: int


class Stream:
    """One request of a caller, with all its attempts."""

    def __init__(self, number: int, arrival: workloads.Arrival, gateway: int) -> None:
        self.number = number
        self.arrival = arrival
        self.gateway = gateway
        self.attempt = 0
        self.request_id = ids.RequestId("")
        self.engine: SimulatedEngine | None = None
        self.generated = 0
        self.reported = 0
        self.first_token_s: float | None = None
        self.paused_s: float | None = None
        self.finished_s: float | None = None
        self.refused = False

    @property
    def deadline_s(self) -> float:
        """Time at which the caller cancels the request."""
        return self.arrival.time_s + self.arrival.work_class.deadline_s


class SimulatedEngine:
    """An engine model and its state in the simulation."""

    def __init__(self, view: servers.ServerView, model: engine.EngineModel) -> None:
        self.view = view
        self.model = model
        self.is_running_step = False
        self.is_lost = False


class Totals:
    """Totals over all streams of a run."""

    def __init__(self) -> None:
        self.gaps: dict[int, int] = {}
        self.stall_s = 0.0
        self.preemptions = 0
        self.prompt_tokens = 0
        self.matched_tokens = 0
        self.refused_must_not_drop = 0
        self.decision_s: list[float] = []

    def add_gap(self, gap_s: float, count: int) -> None:
        """Count a number of equal gaps between tokens."""
        index = int(gap_s / GAP_BIN_S)
        self.gaps[index] = self.gaps.get(index, 0) + count
        if gap_s > STALL_LIMIT_S:
            self.stall_s += (gap_s - STALL_LIMIT_S) * count

    def gap_quantile_ms(self, share: float) -> float:
        """Return a quantile of the gaps in milliseconds."""
        remaining = share * sum(self.gaps.values())
        for index in sorted(self.gaps):
            remaining -= self.gaps[index]
            if remaining <= 0:
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
        Requests per second of the usual mix that all engines together can serve.
    seed : int
        Seed of the arrivals and of all random choices.
    """

    def __init__(
        self, cell: Cell, policy: settings.PolicyName, capacity: float, seed: int
    ) -> None:
        self.cell = cell
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.totals = Totals()
        self.random = random.Random(seed)
        self.engines = self.make_engines()
        self.routing_settings = settings.RoutingSettings(
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

    def make_engines(self) -> dict[ids.ServerId, SimulatedEngine]:
        """Create the engines, assigned to the data centres in round-robin order."""
        deployment = self.cell.deployment
        models = [(deployment.model, workloads.ENGINE)] * deployment.replicas
        models += [(deployment.service, workloads.SERVICE)] * (
            deployment.service_replicas
        )
        engines = {}
        for index, (model, engine_parameters) in enumerate(models):
            locations = deployment.data_centres
            view = servers.ServerView(
                ids.ServerId(f"{model}-{index}"),
                ids.DataCentreId(locations[index % len(locations)]),
                ids.VmId(f"vm-{index}"),
                ids.ModelName(model),
                memory_blocks=engine_parameters.memory_blocks,
                block_tokens=engine_parameters.block_tokens,
                batch_limit=engine_parameters.batch_limit,
                adapter_slots=engine_parameters.adapter_slots,
            )
            engines[view.server_id] = SimulatedEngine(
                view,
                engine.EngineModel(
                    self.apply_condition(engine_parameters, index), self.random
                ),
            )
        return engines

    def apply_condition(
        self, engine_parameters: parameters.EngineParameters, index: int
    ) -> parameters.EngineParameters:
        """Return an engine's parameters, changed by the condition of the cell."""
        change = functools.partial(msgspec.structs.replace, engine_parameters)
        match self.cell.condition:
            case workloads.Condition.SLOW_ENGINE if index == 0:
                return change(slowdown=workloads.SLOWDOWN)
            case workloads.Condition.LAG_100_MS:
                return change(report_lag_s=0.1, event_lag_s=0.1, event_loss=0.0)
            case workloads.Condition.LAG_2_S:
                return change(report_lag_s=2.0, event_lag_s=2.0, event_loss=0.1)
            case workloads.Condition.LAG_5_S:
                return change(report_lag_s=5.0, event_lag_s=5.0, event_loss=0.2)
        return engine_parameters

    def make_gateway(self, index: int) -> dispatch.Dispatcher:
        """Create the dispatcher of a gateway, with all engines in its table."""
        locations = self.cell.deployment.data_centres
        data_centre = ids.DataCentreId(locations[index % len(locations)])
        generator = random.Random(self.random.random())
        gateway = factory.make_dispatcher(self.routing_settings, data_centre, generator)
        views = tuple(item.view for item in self.engines.values())
        gateway.table.update(views, 0.0)
        return gateway

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay on the virtual clock."""
        entry = (self.now_s + delay_s, next(self.event_numbers), callback)
        heapq.heappush(self.events, entry)

    def run(self) -> None:
        """Run until all requests have ended or ``END_S`` is reached."""
        for stream in self.streams:
            self.schedule(stream.arrival.time_s, functools.partial(self.submit, stream))
            self.schedule(
                stream.deadline_s, functools.partial(self.cancel_at_deadline, stream)
            )
        self.schedule(0.0, self.report_load)
        self.schedule(0.0, self.report_progress)
        self.schedule(0.0, self.process_queues)
        # The baseline policies ignore the requests that peers have in flight.
        uses_summaries = self.routing_settings.policy is settings.PolicyName.PREDICTIVE
        if self.cell.gateways > 1 and uses_summaries:
            self.schedule(0.0, self.exchange_summaries)
        if self.cell.condition is workloads.Condition.DATA_CENTRE_LOST:
            self.schedule(workloads.LOSS_S, self.lose_data_centre)
        while self.events and self.now_s < END_S:
            self.now_s, _, callback = heapq.heappop(self.events)
            callback()
            if self.now_s > workloads.ARRIVALS_S and not self.current:
                break

    def submit(self, stream: Stream) -> None:
        """Submit a request, or the rest of it after a lost attempt, to its gateway."""
        arrival = stream.arrival
        stream.attempt += 1
        stream.request_id = ids.RequestId(f"{stream.number}/{stream.attempt}")
        stream.reported = stream.generated
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
        self.apply_decisions(decisions)

    def apply_decisions(self, decisions: list[dispatch.Decision]) -> None:
        """Send dispatched requests to their engines, and end refused ones."""
        for decision in decisions:
            stream = self.current[decision.item.request_id]
            if isinstance(decision, dispatch.Refusal):
                stream.refused = True
                self.totals.refused_must_not_drop += decision.item.must_not_drop
                self.end_pause(stream, self.now_s)
                del self.current[stream.request_id]
                continue
            stream.engine = self.engines[decision.choice.server_id]
            delivery = functools.partial(
                self.deliver_request, stream, stream.request_id
            )
            self.schedule(self.cell.deployment.one_way_s, delivery)

    def deliver_request(self, stream: Stream, request_id: ids.RequestId) -> None:
        """Deliver a request to its engine, unless it has ended in the meantime."""
        server = stream.engine
        if request_id not in self.current or server.is_lost:
            return
        arrival = stream.arrival
        engine_parameters = server.model.settings
        cached = server.model.memory.count_cached_blocks(arrival.prefix_hashes)
        self.totals.prompt_tokens += arrival.prompt_tokens
        self.totals.matched_tokens += cached * engine_parameters.block_tokens
        server.model.submit(
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
        if not server.is_running_step:
            self.begin_step(server)

    def begin_step(self, server: SimulatedEngine) -> None:
        """Begin a step of an engine, whose results take effect when it ends."""
        if server.is_lost or server.model.idle:
            server.is_running_step = False
            return
        server.is_running_step = True
        outcome = server.model.step(self.now_s)
        self.totals.preemptions += len(outcome.preempted)
        for generation_id in outcome.preempted:
            stream = self.current.get(ids.RequestId(generation_id))
            if stream and stream.first_token_s and stream.paused_s is None:
                stream.paused_s = self.now_s
        self.schedule(
            outcome.duration_s, functools.partial(self.end_step, server, outcome)
        )

    def end_step(self, server: SimulatedEngine, outcome: engine.StepOutcome) -> None:
        """Count the tokens of a step, and begin the next step."""
        if server.is_lost:
            return
        if server.view.model == self.cell.deployment.model and outcome.decoded:
            self.totals.add_gap(outcome.duration_s, outcome.decoded)
        for generation_id in outcome.joined:
            stream = self.current.get(ids.RequestId(generation_id))
            if stream:
                self.on_first_token(stream)
        for generation_id in outcome.finished:
            stream = self.current.get(ids.RequestId(generation_id))
            if stream:
                stream.generated = stream.arrival.output_tokens
                stream.finished_s = self.now_s
                self.release(stream, work.ReservationOutcome.COMPLETED)
        self.begin_step(server)

    def on_first_token(self, stream: Stream) -> None:
        """Record the first token of a request, or the first after a pause."""
        if stream.first_token_s is None:
            stream.first_token_s = self.now_s
        self.end_pause(stream, self.now_s)
        if stream.reported == 0:
            stream.reported = 1
            self.gateways[stream.gateway].on_tokens(stream.request_id, 1)

    def end_pause(self, stream: Stream, now_s: float) -> None:
        """If a stream was paused, count the pause as a gap between tokens."""
        if stream.paused_s is not None:
            self.totals.add_gap(now_s - stream.paused_s, 1)
            stream.paused_s = None

    def release(self, stream: Stream, outcome: work.ReservationOutcome) -> None:
        """Release the reservation of a request."""
        del self.current[stream.request_id]
        gateway = self.gateways[stream.gateway]
        if stream.generated > stream.reported:
            gateway.on_tokens(stream.request_id, stream.generated - stream.reported)
        decisions = gateway.release(stream.request_id, outcome, self.now_s)
        self.apply_decisions(decisions)

    def cancel_at_deadline(self, stream: Stream) -> None:
        """Cancel a request whose deadline has passed."""
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
        if not stream.engine.is_lost:
            stream.engine.model.cancel(ids.GenerationId(stream.request_id))
        self.release(stream, work.ReservationOutcome.CANCELLED)

    def report_load(self) -> None:
        """Deliver load reports and cache events to the gateways."""
        for server in self.engines.values():
            if server.is_lost:
                continue
            report = server.model.load_report(self.now_s)
            events = server.model.cache_events(self.now_s)
            for gateway in self.gateways:
                if report is not None:
                    gateway.table.observe_report(server.view.server_id, report)
                for event in events:
                    gateway.table.observe_cache_event(server.view.server_id, event)
        self.schedule(REPORT_INTERVAL_S, self.report_load)

    def report_progress(self) -> None:
        """Report to the gateways the tokens that their streams have generated."""
        for server in self.engines.values():
            if server.is_lost:
                continue
            for generation_id, sequence in server.model.decoding.items():
                stream = self.current[ids.RequestId(generation_id)]
                generated = sequence.generated_at(server.model.step_number)
                stream.generated = generated
                if generated > stream.reported:
                    gateway = self.gateways[stream.gateway]
                    gateway.on_tokens(stream.request_id, generated - stream.reported)
                    stream.reported = generated
        self.schedule(PROGRESS_INTERVAL_S, self.report_progress)

    def process_queues(self) -> None:
        """Let the gateways process their queues."""
        for gateway in self.gateways:
            if gateway.queued or gateway.table.ejection_ends:
                self.apply_decisions(gateway.process_queues(self.now_s))
        self.schedule(QUEUE_POLL_INTERVAL_S, self.process_queues)

    def exchange_summaries(self) -> None:
        """Let the gateways exchange summaries of their requests in flight."""
        self.peer_sequence += 1
        for index, gateway in enumerate(self.gateways):
            message = servers.PeerDispatches(
                ids.VmId(f"gateway-{index}"),
                self.peer_sequence,
                gateway.table.own_loads(),
            )
            for peer in self.gateways:
                if peer is not gateway:
                    delivery = functools.partial(self.deliver_summary, peer, message)
                    self.schedule(self.cell.deployment.one_way_s, delivery)
        self.schedule(PEER_INTERVAL_S, self.exchange_summaries)

    def deliver_summary(
        self, gateway: dispatch.Dispatcher, message: servers.PeerDispatches
    ) -> None:
        """Deliver a peer's summary to a gateway."""
        gateway.table.observe_peer(message, self.now_s)

    def lose_data_centre(self) -> None:
        """Fail all engines of the first data centre."""
        lost_data_centre = self.cell.deployment.data_centres[0]
        for server in self.engines.values():
            if server.view.data_centre == lost_data_centre:
                server.is_lost = True
                callback = functools.partial(self.on_engine_lost, server, self.now_s)
                self.schedule(LOSS_DETECTION_S, callback)

    def on_engine_lost(self, server: SimulatedEngine, lost_s: float) -> None:
        """Let the gateways resume the requests of a lost engine on other engines."""
        for gateway in self.gateways:
            view = msgspec.structs.replace(
                server.view, state=servers.ServerState.LEAVING
            )
            views = [
                record.view
                for record in gateway.table.records.values()
                if record.server_id != view.server_id
            ]
            gateway.table.update((*views, view), self.now_s)
        for stream in list(self.current.values()):
            if stream.engine is not server:
                continue
            if stream.request_id in self.gateways[stream.gateway].queued:
                continue
            if stream.first_token_s and stream.paused_s is None:
                stream.paused_s = lost_s
            self.release(stream, work.ReservationOutcome.SERVER_LOST)
            self.submit(stream)


@functools.cache
def capacity_per_s(deployment: workloads.Deployment) -> float:
    """Return the requests per second of the usual mix that all replicas can serve.

    One engine processes a backlog; its rate times the number of replicas is 100% load.
    """
    model = engine.EngineModel(workloads.ENGINE, random.Random(0))
    generator = workloads.Generator(deployment, 0)
    for number in range(CAPACITY_REQUESTS):
        arrival = generator.draw_request(0.0)
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
    # The last 20% are left out, since they run in a batch that isn't full.
    while finished < CAPACITY_REQUESTS * 0.8:
        outcome = model.step(now_s)
        now_s += outcome.duration_s
        finished += len(outcome.finished)
    return finished / now_s * deployment.replicas

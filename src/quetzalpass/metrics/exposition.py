"""Metrics of a process, exposed over HTTP in Prometheus's text format."""

import prometheus_client
from aiohttp import web
from prometheus_client import exposition

from quetzalpass import background, event_log, odd_values
from quetzalpass.storage import health

PATH = "/metrics"
# Route names come from the declaration; those above this number share one label.
MAX_ROUTE_LABELS = 64
OTHER = "other"
LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    1.8,
    4.0,
    8.0,
    20.0,
    40.0,
)
PAUSE_BUCKETS_S = (0.03, 0.06, 0.12, 0.18, 0.3, 0.6, 1.2, 2.5, 7.5)


class ProcessMetrics:
    """All metrics of one process.

    Attributes
    ----------
    registry : CollectorRegistry
        Registry of all exposed metrics.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.known_labels: set[str] = set()
        self.decisions = self.counter(
            "decisions", "Decisions on requests", "decision", "route"
        )
        self.crash_checks = self.counter(
            "crash_checks", "Checks of servers that broke off a request", "outcome"
        )
        self.suspects = self.gauge(
            "suspects", "Requests under which backend servers have crashed"
        )
        self.refused_suspects = self.gauge(
            "refused_suspects", "Requests that are refused for crashes of servers"
        )
        self.refused_parts = self.gauge(
            "refused_prompt_parts", "Sets of prompt parts that are refused for crashes"
        )
        self.lost_services = self.gauge(
            "lost_services", "Services none of whose servers this gateway reaches"
        )
        self.operator_calls = self.counter(
            "operator_calls", "Calls of operators by outcome", "call", "outcome"
        )
        self.request_s = self.histogram(
            "request_seconds", "Time to the end of a request", LATENCY_BUCKETS_S
        )
        self.first_event_s = self.histogram(
            "first_event_seconds", "Time to a stream's first event", LATENCY_BUCKETS_S
        )
        self.stream_pause_s = self.histogram(
            "longest_pause_seconds", "Longest pause of a stream", PAUSE_BUCKETS_S
        )
        self.revision = self.gauge("revision", "Revision in force")
        self.is_leader = self.gauge("is_leader", "1 on the leading control node")
        self.running = self.gauge("requests_running", "Running requests")
        self.list_age_s = self.gauge("list_age_seconds", "Age of the list of servers")
        self.servers = self.gauge("servers", "Listed backend servers", "state")
        self.dropped_log_lines = self.gauge(
            "log_lines_left_out", "Log lines dropped because the queue was full"
        )
        self.dropped_log_lines.set_function(dropped_log_lines)
        self.background_failures = self.gauge(
            "background_failures", "Failures of background tasks"
        )
        self.background_failures.set_function(background.failure_count)
        self.odd_values = self.gauge(
            "odd_values", "Values of other processes that were left out as malformed"
        )
        self.odd_values.set_function(odd_values.total_count)
        self.disk_condition = self.gauge(
            "disk_condition",
            "1 for the present condition of a group's disk",
            "group",
            "condition",
        )
        self.disk_trouble_s = self.gauge(
            "disk_trouble_seconds", "Time since a group's disk is in trouble", "group"
        )
        self.disk_failures = self.gauge(
            "disk_failures", "Operations that a disk failed", "group", "condition"
        )
        self.disk_recoveries = self.gauge(
            "disk_recoveries", "Operations that succeeded again", "group"
        )

    def watch_disk(self, disk_health: health.DiskHealth) -> None:
        """Expose the condition of a group's disk."""
        name = disk_health.name
        for condition in health.Condition:
            self.disk_condition.labels(name, condition.value).set_function(
                lambda each=condition: float(disk_health.condition is each)
            )
            self.disk_failures.labels(name, condition.value).set_function(
                lambda each=condition: float(disk_health.failure_counts[each])
            )
        self.disk_trouble_s.labels(name).set_function(disk_health.failing_for_s)
        self.disk_recoveries.labels(name).set_function(
            lambda: float(disk_health.recovery_count)
        )

    def counter(self, name: str, text: str, *labels: str) -> prometheus_client.Counter:
        """Register a counter."""
        return prometheus_client.Counter(
            f"quetzalpass_{name}", text, labels, registry=self.registry
        )

    def gauge(self, name: str, text: str, *labels: str) -> prometheus_client.Gauge:
        """Register a gauge."""
        return prometheus_client.Gauge(
            f"quetzalpass_{name}", text, labels, registry=self.registry
        )

    def histogram(
        self, name: str, text: str, buckets: tuple[float, ...]
    ) -> prometheus_client.Histogram:
        """Register a histogram that is labelled by route."""
        return prometheus_client.Histogram(
            f"quetzalpass_{name}",
            text,
            ("route",),
            registry=self.registry,
            buckets=buckets,
        )

    def bounded_label(self, name: str) -> str:
        """Return the name, or ``OTHER`` if too many names are in use already."""
        if name not in self.known_labels:
            if len(self.known_labels) >= MAX_ROUTE_LABELS:
                return OTHER
            self.known_labels.add(name)
        return name

    def add_route(self, app: web.Application) -> None:
        """Add the handler for the metrics to an application."""
        app.router.add_get(PATH, self.handle)

    async def handle(self, request: web.Request) -> web.Response:
        """Return all metrics as text."""
        body = exposition.generate_latest(self.registry)
        return web.Response(
            body=body, headers={"Content-Type": exposition.CONTENT_TYPE_LATEST}
        )


def dropped_log_lines() -> int:
    """Return the number of log lines dropped since the start."""
    log = event_log.EventLog.current
    return log.total_dropped if log is not None else 0

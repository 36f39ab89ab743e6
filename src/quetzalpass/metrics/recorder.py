"""Collection of a gateway's request metrics by organisation and priority class."""

import msgspec

from quetzalpass import ids
from quetzalpass.declarations import schema
from quetzalpass.metrics import labels, series
from quetzalpass.results import codes

SeriesLabels = tuple[str, str]


class MetricsSnapshot(msgspec.Struct, frozen=True):
    """Metrics for the status page."""

    series: tuple[series.SeriesSnapshot, ...]


class Recorder:
    """Counts durations, preemptions and results by organisation and class.

    Parameters
    ----------
    max_organisations : int
        Number of organisations with series of their own; all others share one.

    Attributes
    ----------
    metric_labels : Labels
        Labels of the declaration in force.
    series_by_labels : dict
        All series by their labels.
    series_by_caller : dict
        Cache of the series by a caller's organisation and class.
    """

    def __init__(self, max_organisations: int = labels.MAX_ORGANISATIONS) -> None:
        self.max_organisations = max_organisations
        self.metric_labels = labels.Labels(schema.Declaration())
        self.series_by_labels: dict[SeriesLabels, series.Series] = {}
        self.series_by_caller: dict[
            tuple[ids.OrganisationId, ids.ClassName | None], series.Series
        ] = {}

    def use_declaration(self, declaration: schema.Declaration) -> None:
        """Switch to the labels of a new declaration; counts are kept."""
        self.metric_labels = labels.Labels(declaration, self.max_organisations)
        self.series_by_caller.clear()

    def get_series(
        self, organisation: ids.OrganisationId, class_name: ids.ClassName | None
    ) -> series.Series:
        """Return the series of an organisation and class; make it if needed.

        Parameters
        ----------
        organisation : OrganisationId
            A declared organisation; callers' input must be checked first.
        class_name : ClassName or None
            A declared class.
        """
        known_series = self.series_by_caller.get((organisation, class_name))
        if known_series is not None:
            return known_series
        key = (
            self.metric_labels.organisation(organisation),
            self.metric_labels.priority_class(class_name),
        )
        if key not in self.series_by_labels:
            self.series_by_labels[key] = series.Series(*key)
        # Undeclared organisations are not cached: memory use would be unbounded.
        if organisation in self.metric_labels.organisations:
            self.series_by_caller[organisation, class_name] = self.series_by_labels[key]
        return self.series_by_labels[key]

    def observe_queue_time(
        self,
        organisation: ids.OrganisationId,
        class_name: ids.ClassName | None,
        seconds: float,
    ) -> None:
        """Count the time that a request waited in the gateway's queue."""
        self.get_series(organisation, class_name).queue_time.observe(seconds)

    def observe_first_token(
        self,
        organisation: ids.OrganisationId,
        class_name: ids.ClassName | None,
        seconds: float,
    ) -> None:
        """Count the time from arrival to the first token."""
        self.get_series(organisation, class_name).first_token.observe(seconds)

    def observe_token_gap(
        self,
        organisation: ids.OrganisationId,
        class_name: ids.ClassName | None,
        seconds: float,
    ) -> None:
        """Count the time between two tokens.

        A stream may instead keep ``get_series(...).token_gap`` and call its ``observe``
        for each token, which saves the lookup.
        """
        self.get_series(organisation, class_name).token_gap.observe(seconds)

    def observe_stall_time(
        self,
        organisation: ids.OrganisationId,
        class_name: ids.ClassName | None,
        seconds: float,
    ) -> None:
        """Count the stall time of a stream that has ended."""
        self.get_series(organisation, class_name).stall_time.observe(seconds)

    def count_preemption(
        self, organisation: ids.OrganisationId, class_name: ids.ClassName | None
    ) -> None:
        """Count a preemption by an engine."""
        self.get_series(organisation, class_name).preemptions += 1

    def count_result(
        self,
        organisation: ids.OrganisationId,
        class_name: ids.ClassName | None,
        code: codes.Code,
    ) -> None:
        """Count the result of a request."""
        self.get_series(organisation, class_name).results[code] += 1

    def drop_if_undeclared(self, inactive_series: series.Series) -> None:
        """Drop a series whose labels are not in the declaration in force.

        Otherwise the number of series would grow with each change of the set of
        organisations that have labels of their own.
        """
        if not self.metric_labels.includes(
            inactive_series.organisation, inactive_series.class_name
        ):
            self.series_by_labels.pop(
                (inactive_series.organisation, inactive_series.class_name), None
            )

    def snapshot(self) -> MetricsSnapshot:
        """Return the metrics for the status page."""
        snapshots = (
            self.series_by_labels[key].snapshot()
            for key in sorted(self.series_by_labels)
        )
        return MetricsSnapshot(tuple(snapshots))

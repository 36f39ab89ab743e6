"""Where the parts of a gateway report what happened to requests."""

import msgspec

from quetzalpass import ids
from quetzalpass.declarations import schema
from quetzalpass.metrics import labels, series
from quetzalpass.results import codes

SeriesKey = tuple[str, str]


class MetricsSnapshot(msgspec.Struct, frozen=True):
    """Metrics for the status page."""

    series: tuple[series.SeriesSnapshot, ...]


class Recorder:
    """Counts durations, preemptions and results by organisation and class.

    Parameters
    ----------
    max_organisations : int
        Organisations with series of their own; all others share one.

    Attributes
    ----------
    names : Labels
        Names in metrics under the declaration that is in force.
    known : dict
        Every series by its names.
    by_caller : dict
        Series by the organisation and class that callers name, filled as they come.
    """

    def __init__(self, max_organisations: int = labels.MAX_ORGANISATIONS) -> None:
        self.max_organisations = max_organisations
        self.names = labels.Labels(schema.Declaration())
        self.known: dict[SeriesKey, series.Series] = {}
        self.by_caller: dict[
            tuple[ids.OrganisationId, ids.ClassName | None], series.Series
        ] = {}

    def use_declaration(self, declaration: schema.Declaration) -> None:
        """Use the names of a new declaration; counts are kept."""
        self.names = labels.Labels(declaration, self.max_organisations)
        self.by_caller.clear()

    def get_series(
        self, organisation: ids.OrganisationId, class_name: ids.ClassName | None
    ) -> series.Series:
        """Return the series of an organisation and class.

        Parameters
        ----------
        organisation : OrganisationId
            A declared organisation; a name from outside must be checked before.
        class_name : ClassName or None
            A declared class.
        """
        found = self.by_caller.get((organisation, class_name))
        if found is not None:
            return found
        key = (
            self.names.organisation(organisation),
            self.names.priority_class(class_name),
        )
        if key not in self.known:
            self.known[key] = series.Series(*key)
        # Undeclared names are not kept: they would fill the memory.
        if organisation in self.names.organisations:
            self.by_caller[organisation, class_name] = self.known[key]
        return self.known[key]

    def observe_queue_time(
        self,
        organisation: ids.OrganisationId,
        class_name: ids.ClassName | None,
        seconds: float,
    ) -> None:
        """Count the time that a request waited in the gateway."""
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

        A stream that reports each token may keep ``get_series(...).token_gap`` and call
        ``observe`` on it, which saves the look-up.
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

    def forget_undeclared(self, counted: series.Series) -> None:
        """Drop a series whose names the declaration in force no longer gives.

        Without this, each change of the largest organisations would add series for
        ever.
        """
        if not self.names.holds(counted.organisation, counted.class_name):
            self.known.pop((counted.organisation, counted.class_name), None)

    def snapshot(self) -> MetricsSnapshot:
        """Return the metrics for the status page."""
        found = (self.known[key].snapshot() for key in sorted(self.known))
        return MetricsSnapshot(tuple(found))

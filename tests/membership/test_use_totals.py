import hypothesis
from hypothesis import strategies as st

from quetzalpass import ids
from quetzalpass.membership import fleet_messages, use_totals

COUNTS = st.integers(0, 50)
USES = st.builds(
    fleet_messages.ServerUse,
    st.sampled_from("abc").map(ids.ServerId),
    COUNTS,
    COUNTS,
    COUNTS,
    COUNTS,
)
REPORTS = st.lists(st.lists(USES, max_size=4), max_size=5)


def expected_totals(reports):
    sums = {}
    for use in (use for report in reports for use in report):
        old = sums.get(use.server, fleet_messages.ServerUse(use.server))
        sums[use.server] = old.plus(use)
    return {
        name: use for name, use in sums.items() if use != fleet_messages.ServerUse(name)
    }


class TestUseTotals:
    @hypothesis.given(REPORTS)
    def test_totals_equal_the_sum_of_the_reports(self, reports):
        totals = use_totals.UseTotals()
        for report in reports:
            totals.add(report)
        assert totals.uses == expected_totals(reports)
        for number, report in enumerate(reports):
            others = reports[:number] + reports[number + 1 :]
            found = {use.server: use for use in totals.without(report)}
            assert found == expected_totals(others)

    @hypothesis.given(REPORTS)
    def test_totals_are_empty_after_all_reports_are_subtracted(self, reports):
        totals = use_totals.UseTotals()
        for report in reports:
            totals.add(report)
        for report in reports:
            totals.subtract(report)
        assert totals.uses == {}

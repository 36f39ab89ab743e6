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


def plain_sum(reports):
    sums = {}
    for use in (use for report in reports for use in report):
        old = sums.get(use.server, fleet_messages.ServerUse(use.server))
        sums[use.server] = old.plus(use)
    return {
        name: use for name, use in sums.items() if use != fleet_messages.ServerUse(name)
    }


class TestUseTotals:
    @hypothesis.given(REPORTS)
    def test_the_sums_are_those_of_the_parts(self, reports):
        totals = use_totals.UseTotals()
        for report in reports:
            totals.add(report)
        assert totals.uses == plain_sum(reports)
        for number, report in enumerate(reports):
            others = reports[:number] + reports[number + 1 :]
            found = {use.server: use for use in totals.without(report)}
            assert found == plain_sum(others)

    @hypothesis.given(REPORTS)
    def test_nothing_is_left_when_all_are_taken_away(self, reports):
        totals = use_totals.UseTotals()
        for report in reports:
            totals.add(report)
        for report in reports:
            totals.subtract(report)
        assert totals.uses == {}

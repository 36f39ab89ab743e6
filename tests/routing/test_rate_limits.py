import pytest

from quetzalpass import ids
from quetzalpass.routing import rate_limits

SERVER = ids.ServerId("s-1")


class TestLimits:
    @pytest.mark.parametrize("per_s", [0.2, 2.0, 1000.0])
    def test_named_limit_holds_for_some_time_without_a_response(self, per_s):
        limits = rate_limits.RateLimits()
        limits.observe(SERVER, per_s, 100.0)
        assert limits.find(SERVER, 129.9) == per_s
        assert limits.find(SERVER, 130.0) is None

    def test_responses_without_a_limit_end_it(self):
        limits = rate_limits.RateLimits()
        limits.observe(SERVER, 2.0, 100.0)
        limits.observe(SERVER, None, 100.1)
        assert limits.find(SERVER, 100.9) == 2.0
        assert limits.find(SERVER, 101.0) is None

    def test_older_response_without_a_limit_does_not_end_it(self):
        limits = rate_limits.RateLimits()
        limits.observe(SERVER, None, 99.0)
        limits.observe(SERVER, 2.0, 100.0)
        limits.observe(SERVER, None, 100.1)
        limits.observe(SERVER, 3.0, 100.2)
        assert limits.find(SERVER, 102.0) == 3.0

    def test_server_that_names_no_limit_is_not_remembered(self):
        limits = rate_limits.RateLimits()
        limits.observe(SERVER, None, 100.0)
        assert limits.reports(100.0) == ()

    def test_limits_that_ended_long_ago_are_forgotten(self):
        limits = rate_limits.RateLimits()
        limits.observe(SERVER, 2.0, 100.0)
        assert len(limits.reports(129.0)) == 1
        assert limits.reports(130.0) == ()


class TestReports:
    @pytest.mark.parametrize("is_reversed", [False, True])
    def test_newest_name_wins_in_any_order(self, is_reversed):
        reports = [
            rate_limits.LimitReport(SERVER, 2.0, 1.0),
            rate_limits.LimitReport(SERVER, 4.0, 0.5),
        ]
        if is_reversed:
            reports.reverse()
        limits = rate_limits.RateLimits()
        limits.merge(reports, 100.0)
        assert limits.find(SERVER, 100.0) == 4.0

    def test_end_is_reported_too(self):
        first = rate_limits.RateLimits()
        first.observe(SERVER, 2.0, 50.0)
        second = rate_limits.RateLimits()
        second.merge(first.reports(50.5), 100.5)
        assert second.find(SERVER, 100.5) == 2.0
        first.observe(SERVER, None, 51.5)
        second.merge(first.reports(51.5), 101.5)
        assert second.find(SERVER, 101.5) is None

    def test_repeated_reports_do_not_prolong_a_limit(self):
        first = rate_limits.RateLimits()
        first.observe(SERVER, 2.0, 0.0)
        second = rate_limits.RateLimits()
        for number in range(61):
            first.merge(second.reports(number / 2), number / 2)
            second.merge(first.reports(number / 2), number / 2)
        assert second.find(SERVER, 30.0) is None

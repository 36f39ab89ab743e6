"""Responses to an operator's calls that fail."""

import types

from fleet_adapter import operator_api
from quetzalpass.metrics import exposition
from quetzalpass.results import codes, failures


def respond(failure):
    role = types.SimpleNamespace(metrics=exposition.ProcessMetrics())
    return operator_api.OperatorApi(role).unavailable_response("put", failure)


class TestUnavailable:
    def test_names_the_retry_time_and_the_reason_of_the_failure(self):
        failure = failures.Failure(
            codes.Code.STORAGE_FAILED, "vm-1 (no_room)", retry_after_ms=1_000
        )
        response = respond(failure)
        assert response.status == 503
        assert response.headers["Retry-After"] == "1"
        assert "vm-1 (no_room)" in response.text

    def test_names_a_short_retry_time_where_the_failure_names_none(self):
        response = respond(failures.Failure(codes.Code.DRAINING, "this node stops"))
        assert response.status == 503
        assert response.headers["Retry-After"] == "0.3"

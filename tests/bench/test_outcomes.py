import msgspec
import pytest

from quetzalpass.bench import outcome_records
from quetzalpass.standin import text

KIND = outcome_records.Kind
PROMPT = "stream-1 [tokens=5]"
GOOD = text.expected_text(PROMPT, 500)


def evaluate(requests, run_counts=None, fault_count=1):
    injected = outcome_records.Faults()
    for field in msgspec.structs.fields(outcome_records.Faults):
        setattr(injected, field.name, fault_count)
    run_counts = run_counts or outcome_records.RunCounts()
    return outcome_records.make_report(requests, run_counts, [1.0], injected)


def request(kind=KIND.STREAM, whole=True, **send):
    send.setdefault("ended", True)
    sends = [outcome_records.Send(**send)]
    return outcome_records.Request(kind, 1, PROMPT, sends, whole=whole)


class TestTokens:
    @pytest.mark.parametrize(
        "received",
        [
            GOOD.replace(" ", "  ", 1),
            GOOD[len(GOOD) // 5 :],
            GOOD + GOOD[-7:],
            GOOD[: -len(GOOD) // 5],
            text.expected_text("another [tokens=5]", 500),
        ],
    )
    def test_each_wrong_response_has_token_errors(self, received):
        assert outcome_records.count_token_errors(PROMPT, received, True, 500) > 0

    def test_complete_response_and_its_start_have_no_token_errors(self):
        assert outcome_records.count_token_errors(PROMPT, GOOD, True, 500) == 0
        start = GOOD[: len(GOOD) // 5 * 2]
        assert outcome_records.count_token_errors(PROMPT, start, False, 500) == 0


class TestEvaluation:
    def test_run_without_failures_misses_no_target(self):
        assert evaluate([request()]).missed == ()

    def test_kind_without_injected_faults_is_a_missed_target(self):
        assert "no fault was injected" in evaluate([request()], fault_count=0).missed[0]

    def test_second_run_is_a_missed_target(self):
        run_counts = outcome_records.RunCounts()
        run_counts.calls[PROMPT] = 2
        report = evaluate([request(KIND.FILING)], run_counts)
        assert report.double_runs == 1 and report.missed

    @pytest.mark.parametrize("runs_after, total", [(1, 1), (0, 1)])
    def test_false_not_run_is_counted(self, runs_after, total):
        run_counts = outcome_records.RunCounts()
        run_counts.calls[PROMPT] = total
        sent = request(KIND.FILING, execution="not_run", runs_after=runs_after)
        assert evaluate([sent], run_counts).false_not_run == 1

    def test_request_without_any_response_is_lost(self):
        report = evaluate([request(whole=False, ended=False)])
        assert report.lost == 1 and report.whole_share == 0.0

    def test_third_lost_server_and_refused_unrelated_request_are_missed_targets(self):
        run_counts = outcome_records.RunCounts()
        run_counts.crashes["crashing-0"] = 3
        report = evaluate([request(whole=False, code=208)], run_counts)
        assert report.servers_lost_per_crashing_request == 3
        assert report.innocents_refused == 1
        assert len(report.missed) == 3

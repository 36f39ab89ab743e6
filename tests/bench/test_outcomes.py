import msgspec
import pytest

from quetzalpass.bench import outcome_records
from quetzalpass.standin import text

KIND = outcome_records.Kind
PROMPT = "stream-1 [tokens=5]"
GOOD = text.expected_text(PROMPT, 500)


def verdict(requests, runs=None, faults=1):
    caused = outcome_records.Faults()
    for field in msgspec.structs.fields(outcome_records.Faults):
        setattr(caused, field.name, faults)
    runs = runs or outcome_records.Runs()
    return outcome_records.report_of(requests, runs, [1.0], caused)


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
    def test_each_wrong_answer_is_counted(self, received):
        assert outcome_records.token_errors_of(PROMPT, received, True, 500) > 0

    def test_whole_answer_and_the_start_of_one_are_right(self):
        assert outcome_records.token_errors_of(PROMPT, GOOD, True, 500) == 0
        start = GOOD[: len(GOOD) // 5 * 2]
        assert outcome_records.token_errors_of(PROMPT, start, False, 500) == 0


class TestVerdict:
    def test_good_run_misses_nothing(self):
        assert verdict([request()]).missed == ()

    def test_uncaused_fault_is_a_miss(self):
        assert "no fault was caused" in verdict([request()], faults=0).missed[0]

    def test_second_run_is_a_miss(self):
        runs = outcome_records.Runs()
        runs.calls[PROMPT] = 2
        report = verdict([request(KIND.FILING)], runs)
        assert report.double_runs == 1 and report.missed

    @pytest.mark.parametrize("runs_after, total", [(1, 1), (0, 1)])
    def test_false_not_run_is_a_miss(self, runs_after, total):
        runs = outcome_records.Runs()
        runs.calls[PROMPT] = total
        sent = request(KIND.FILING, execution="not_run", runs_after=runs_after)
        assert verdict([sent], runs).false_not_run == 1

    def test_request_without_any_answer_is_lost(self):
        report = verdict([request(whole=False, ended=False)])
        assert report.lost == 1 and report.whole_share == 0.0

    def test_third_server_and_refused_innocent_are_misses(self):
        runs = outcome_records.Runs()
        runs.crashes["crashing-0"] = 3
        report = verdict([request(whole=False, code=208)], runs)
        assert report.servers_lost_per_crashing_request == 3
        assert report.innocents_refused == 1
        assert len(report.missed) == 3

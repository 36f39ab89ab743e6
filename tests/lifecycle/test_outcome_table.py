import asyncio
import pathlib
import re

import pytest

from quetzalpass.standin import faults

pytestmark = pytest.mark.looptime
KIND = faults.FaultKind
OUTCOMES_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "outcomes.md"
PROMPT = "a draft [tokens=40]"
OFFSETS = {"first token": 0, "mid-stream": 20, "last token": 39}
START_FAULTS = {
    "server dies": KIND.CRASH,
    "server refuses": KIND.REFUSE,
    "link closes": KIND.CLOSE_BEFORE_ANSWER,
    "link goes silent": KIND.HANG,
}
STREAM_FAULTS = {
    "link closes": KIND.CLOSE_STREAM,
    "link goes silent": KIND.SILENCE,
    "tokens crossed": KIND.SWAP_OFFSETS,
    "link resumes too late": KIND.RESUME_LATE,
    "link resumes too early": KIND.RESUME_EARLY,
    "server refuses": KIND.REFUSE,
}


def table_rows(columns):
    found = []
    for line in OUTCOMES_PAGE.read_text().splitlines():
        cells = [each.strip() for each in line.strip("| ").split("|")]
        if len(cells) == columns and re.match(
            "stream|whole|once|look-up|fil", cells[0]
        ):
            found.append(cells)
    return found


class FailureScenario:
    """Injects the failures of one table row and sends its request."""

    def __init__(self, caller, kind):
        self.caller = caller
        self.kind = kind
        is_call = kind in ("look-up", "filing")
        cluster = caller.cluster
        self.standins = cluster.services if is_call else cluster.engines

    def inject_failure(self, phase, failure):
        first = self.standins[0]
        if phase == "before connect":
            # A filing makes only one attempt, so any live server would let it succeed.
            for standin in self.standins if self.kind == "filing" else [first]:
                standin.kill()
        elif phase in ("after send", "after the run"):
            kind = START_FAULTS[failure]
            if phase == "after the run":
                kind = KIND.CLOSE_AFTER_RUN
            self.inject(kind)
        elif phase == "after the last token":
            self.inject(KIND.NO_END_MARK)
        elif failure == "server dies":
            self.killer = asyncio.create_task(self.kill_at(OFFSETS[phase]))
        else:
            self.inject(STREAM_FAULTS[failure], at_offset=OFFSETS[phase])

    def inject(self, kind, **rest):
        """Add a fault that affects only the first server to receive the request."""
        for standin in self.standins:
            standin.add_fault(kind, **rest)
        self.watcher = asyncio.create_task(self.drop_others(kind))

    async def drop_others(self, kind):
        while all(each.server.plan.trigger_count == 0 for each in self.standins):
            await asyncio.sleep(0.001)
        for standin in self.standins:
            pending = standin.server.plan.pending
            pending[:] = [each for each in pending if each.kind is not kind]

    async def kill_at(self, produced):
        while True:
            for standin in self.standins:
                for each in standin.server.running.values():
                    if each.produced >= produced:
                        standin.kill()
                        return
            await asyncio.sleep(0.001)

    async def send(self):
        headers = {"Quetzalpass_Timeout_Ms": "60000"}
        if self.kind in ("once", "filing"):
            headers["Idempotency_Key"] = "k"
        if self.kind == "once":
            headers["Quetzalpass_Non_Idempotent"] = "true"
        if self.kind in ("look-up", "filing"):
            method = "GET" if self.kind == "look-up" else "POST"
            return await self.caller.call(method=method, **headers)
        stream = self.kind != "whole"
        return await self.caller.generate(PROMPT, stream=stream, **headers)

    def check_response(self, response, code, ran):
        if code == "ok":
            assert response.code == "0" and not response.error, response.error
            if self.kind not in ("look-up", "filing"):
                assert response.is_complete(PROMPT) and response.done
            return
        assert (response.error_name, response.execution) == (
            code,
            ran.replace(" ", "_"),
        )
        assert not response.done
        if ran == "not run":
            assert not any(each.runs for each in self.standins)

    def check_runs(self):
        if self.kind == "once":
            assert sum(len(each.started) for each in self.standins) <= 1
        if self.kind == "filing":
            assert sum(each.runs.get("k", 0) for each in self.standins) <= 1


class TestTable:
    async def check_row(self, open_cluster, kind, failures, code, ran):
        resumes = kind == "stream"
        caller = await open_cluster(
            engines=3, services=2, resumes_across_replicas=resumes
        )
        scenario = FailureScenario(caller, kind)
        for phase, failure in failures:
            scenario.inject_failure(phase, failure)
        scenario.check_response(await scenario.send(), code, ran)
        scenario.check_runs()
        again = await scenario.send()
        scenario.check_runs()
        if kind in ("once", "filing") and code == "outcome_unknown":
            assert again.error_name == "outcome_unknown"

    @pytest.mark.parametrize("row", table_rows(6), ids="/".join)
    async def test_one_failure(self, open_cluster, row):
        kind, phase, failure, _, code, ran = row
        await self.check_row(open_cluster, kind, [(phase, failure)], code, ran)

    @pytest.mark.parametrize("row", table_rows(7), ids="/".join)
    async def test_two_failures(self, open_cluster, row):
        kind, phase, failure, then, _, code, ran = row
        second = "last token" if then == "server dies" else phase
        failures = [(phase, failure), (second, then)]
        await self.check_row(open_cluster, kind, failures, code, ran)

    def test_page_has_a_row_for_each_kind_and_phase(self):
        single_failures = table_rows(6)
        assert len(single_failures) > 70 and len(table_rows(7)) >= 10
        assert len({(each[0], each[1], each[2]) for each in single_failures}) == len(
            single_failures
        )

import datetime

import fake_operators
import msgspec
import pytest

from quetzalpass import ids
from quetzalpass.cli import declared, exits, vm_changes, vms, waiting, watching
from quetzalpass.declarations import schema
from quetzalpass.results import codes

pytestmark = pytest.mark.looptime

CLOSED_URL = "http://127.0.0.1:9"
NOW = datetime.datetime(2026, 12, 4, 4, 0, tzinfo=datetime.UTC)
LEAVING = vm_changes.VmChange(
    ids.VmId("vm-1"), schema.ServiceState.LEAVING, "2026-12-04T06:00:00Z", "ann"
)


def change(**fields):
    values = {
        "declaration": fake_operators.DECLARATION,
        "base": None,
        "operation_id": ids.OperationId("op-1"),
        "author": "ann",
        "wait_timeout_s": None,
    }
    return declared.Change(**(values | fields))


@pytest.fixture
def fake():
    return fake_operators.FakeOperators()


class TestApply:
    async def test_the_newest_revision_is_the_default_base(self, fake, capsys):
        async with fake.client() as operators_client:
            code = await declared.apply_and_print(operators_client, change(), False)
        assert code is exits.Exit.OK
        assert fake.apply_requests[0].base_revision == 7
        assert capsys.readouterr().out == "revision 8 accepted\n"

    async def test_an_old_base_is_a_conflict(self, fake, capsys):
        async with fake.client() as operators_client:
            code = await declared.apply_and_print(
                operators_client, change(base=6), True
            )
        assert code is exits.Exit.CONFLICT
        assert msgspec.json.decode(capsys.readouterr().out)["code"] == 400

    async def test_a_lost_response_is_retried_with_the_same_operation_id(self, fake):
        fake.lost_responses = 2
        async with fake.client(CLOSED_URL) as operators_client:
            code = await declared.apply_and_print(
                operators_client, change(base=7), False
            )
        assert code is exits.Exit.OK
        assert fake.revision == 8
        assert {request.operation_id for request in fake.apply_requests} == {"op-1"}
        assert len(fake.apply_requests) == 3

    async def test_an_unknown_outcome_tells_how_to_resend(self, fake, capsys):
        fake.lost_responses = 100
        async with fake.client() as operators_client:
            code = await declared.apply_and_print(
                operators_client, change(base=7), False
            )
            assert code is exits.Exit.UNREACHABLE
            assert "--operation-id op-1 --base 7" in capsys.readouterr().err
            fake.lost_responses = 0
            code = await declared.apply_and_print(
                operators_client, change(base=7), False
            )
        assert code is exits.Exit.OK
        assert fake.revision == 8

    async def test_a_wrong_key_is_refused_without_a_retry(self, fake, capsys):
        async with fake.client(key="wrong") as operators_client:
            code = await declared.apply_and_print(operators_client, change(), False)
        assert code is exits.Exit.REFUSED
        assert "106 unknown_key" in capsys.readouterr().err

    async def test_no_quorum_is_retried_and_then_reported(self, fake):
        fake.failure_code = codes.Code.NO_QUORUM
        async with fake.client() as operators_client:
            code = await declared.apply_and_print(operators_client, change(), False)
        assert code is exits.Exit.UNREACHABLE

    async def test_waiting_names_the_vms_without_the_revision(self, fake, capsys):
        fake.vm_revisions = {"entry-1": None, "entry-2": 7}
        async with fake.client() as operators_client:
            waiting_change = change(wait_timeout_s=5.0)
            code = await declared.apply_and_print(
                operators_client, waiting_change, False
            )
        assert code is exits.Exit.NOT_IN_FORCE
        assert "entry-2 (at 7)" in capsys.readouterr().err

    async def test_waiting_ends_when_the_revision_is_in_force_everywhere(
        self, fake, capsys
    ):
        async with fake.client() as operators_client:
            code = await declared.apply_and_print(
                operators_client, change(wait_timeout_s=5.0), True
            )
        assert code is exits.Exit.OK
        printed = msgspec.json.decode(capsys.readouterr().out)
        assert printed == {"revision": 8, "digest": "digest", "in_force_on": 1}


class TestWatch:
    async def test_each_change_is_printed_once(self, fake, capsys):
        async with fake.client() as operators_client:
            watch = watching.Watch(operators_client, None, False)
            assert await watch.run(5.0) is exits.Exit.OK
            assert await watch.run(5.0) is exits.Exit.OK
        assert capsys.readouterr().out == "entry-1 dc: revision 7, ready\n"

    async def test_a_vm_that_lags_behind_fails_the_watch_at_the_timeout(self, fake):
        fake.vm_revisions = {"entry-1": None, "entry-2": 3}
        async with fake.client() as operators_client:
            code = await watching.Watch(operators_client, None, False).run(5.0)
        assert code is exits.Exit.NOT_IN_FORCE

    async def test_it_waits_for_an_accepted_revision_that_no_vm_has(self, fake):
        fake.vm_revisions = {"entry-1": 6}
        async with fake.client() as operators_client:
            code = await watching.Watch(operators_client, None, False).run(5.0)
        assert code is exits.Exit.NOT_IN_FORCE


class TestChangeVm:
    async def test_only_the_given_vm_changes(self, fake):
        async with fake.client() as operators_client:
            outcome = await vm_changes.change_vm(operators_client, LEAVING)
        assert outcome.unwrap().revision == 8
        first, second = fake.declaration.vms
        assert first.state is schema.ServiceState.LEAVING
        assert second == fake_operators.DECLARATION.vms[1]

    async def test_a_concurrent_change_of_other_items_is_retried(self, fake):
        def change_concurrently():
            fake.before_apply = lambda: None
            fake.change(objective=schema.Objective(stall_weight=5.0))

        fake.before_apply = change_concurrently
        async with fake.client() as operators_client:
            outcome = await vm_changes.change_vm(operators_client, LEAVING)
        assert outcome.unwrap().revision == 9
        assert fake.declaration.objective.stall_weight == 5.0
        assert len({request.operation_id for request in fake.apply_requests}) == 2

    async def test_a_concurrent_change_of_the_same_vm_is_a_conflict(self, fake):
        def change_concurrently():
            fake.before_apply = lambda: None
            out = schema.Vm("vm-1", "dc", schema.ServiceState.OUT_OF_SERVICE)
            fake.change(vms=(out, fake.declaration.vms[1]))

        fake.before_apply = change_concurrently
        async with fake.client() as operators_client:
            outcome = await vm_changes.change_vm(operators_client, LEAVING)
        failure = outcome.failure()
        assert failure.code is codes.Code.CONFLICT
        assert "out_of_service" in failure.message
        assert len(fake.apply_requests) == 1

    async def test_repeated_concurrent_changes_end_in_a_conflict(self, fake):
        fake.before_apply = lambda: fake.change()
        async with fake.client() as operators_client:
            outcome = await vm_changes.change_vm(operators_client, LEAVING)
        assert outcome.failure().code is codes.Code.CONFLICT

    async def test_an_unknown_vm_suggests_a_similar_name(self, fake):
        unknown = msgspec.structs.replace(LEAVING, vm="vm1")
        async with fake.client() as operators_client:
            outcome = await vm_changes.change_vm(operators_client, unknown)
        assert "did you mean 'vm-1'?" in outcome.failure().message


class TestReadDeadline:
    def test_a_time_from_now_becomes_a_time_with_zone(self):
        text = vms.parse_deadline("+30m", NOW).unwrap()
        assert text == "2026-12-04T04:30:00+00:00"

    @pytest.mark.parametrize("text", ["soon", "2026-12-04T05:00", "2026-12-04T03:00Z"])
    def test_invalid_texts_and_past_times_are_refused(self, text):
        failure = vms.parse_deadline(text, NOW).failure()
        assert failure.code is codes.Code.BAD_REQUEST


class TestStatusLines:
    async def test_columns_are_aligned(self, fake):
        async with fake.client() as operators_client:
            reply = (await operators_client.status()).unwrap()
        head, row = waiting.status_lines(reply)
        assert head.index("REVISION") == row.index("7")

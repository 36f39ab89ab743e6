import datetime

import fake_operators
import msgspec
import pytest

from quetzalpass import ids
from quetzalpass.cli import declared, exits, vm_changes, vms, waiting, watching
from quetzalpass.declarations import schema
from quetzalpass.results import codes

pytestmark = pytest.mark.looptime

CLOSED = "http://127.0.0.1:9"
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
    async def test_the_newest_revision_is_the_base(self, fake, capsys):
        async with fake.client() as operators_client:
            code = await declared.apply_and_print(operators_client, change(), False)
        assert code is exits.Exit.OK
        assert fake.applied[0].base_revision == 7
        assert capsys.readouterr().out == "revision 8 accepted\n"

    async def test_an_old_base_is_a_conflict(self, fake, capsys):
        async with fake.client() as operators_client:
            code = await declared.apply_and_print(
                operators_client, change(base=6), True
            )
        assert code is exits.Exit.CONFLICT
        assert msgspec.json.decode(capsys.readouterr().out)["code"] == 400

    async def test_a_lost_answer_is_asked_for_with_the_same_id(self, fake):
        fake.lose_answers = 2
        async with fake.client(CLOSED) as operators_client:
            code = await declared.apply_and_print(
                operators_client, change(base=7), False
            )
        assert code is exits.Exit.OK
        assert fake.revision == 8
        assert {order.operation_id for order in fake.applied} == {"op-1"}
        assert len(fake.applied) == 3

    async def test_an_unknown_outcome_says_how_to_resend(self, fake, capsys):
        fake.lose_answers = 100
        async with fake.client() as operators_client:
            code = await declared.apply_and_print(
                operators_client, change(base=7), False
            )
            assert code is exits.Exit.UNREACHABLE
            assert "--operation-id op-1 --base 7" in capsys.readouterr().err
            fake.lose_answers = 0
            code = await declared.apply_and_print(
                operators_client, change(base=7), False
            )
        assert code is exits.Exit.OK
        assert fake.revision == 8

    async def test_a_wrong_key_is_refused_without_another_try(self, fake, capsys):
        async with fake.client(key="wrong") as operators_client:
            code = await declared.apply_and_print(operators_client, change(), False)
        assert code is exits.Exit.REFUSED
        assert "106 unknown_key" in capsys.readouterr().err

    async def test_no_quorum_is_tried_again_and_then_reported(self, fake):
        fake.refusal = codes.Code.NO_QUORUM
        async with fake.client() as operators_client:
            code = await declared.apply_and_print(operators_client, change(), False)
        assert code is exits.Exit.UNREACHABLE

    async def test_waiting_names_the_vms_that_lack_the_revision(self, fake, capsys):
        fake.entry_revisions = {"entry-1": None, "entry-2": 7}
        async with fake.client() as operators_client:
            wanted = change(wait_timeout_s=5.0)
            code = await declared.apply_and_print(operators_client, wanted, False)
        assert code is exits.Exit.NOT_IN_FORCE
        assert "entry-2 (at 7)" in capsys.readouterr().err

    async def test_waiting_ends_when_it_is_in_force_everywhere(self, fake, capsys):
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

    async def test_a_vm_that_lags_ends_it_after_the_timeout(self, fake):
        fake.entry_revisions = {"entry-1": None, "entry-2": 3}
        async with fake.client() as operators_client:
            code = await watching.Watch(operators_client, None, False).run(5.0)
        assert code is exits.Exit.NOT_IN_FORCE

    async def test_an_accepted_revision_that_no_vm_has_is_waited_for(self, fake):
        fake.entry_revisions = {"entry-1": 6}
        async with fake.client() as operators_client:
            code = await watching.Watch(operators_client, None, False).run(5.0)
        assert code is exits.Exit.NOT_IN_FORCE


class TestChangeVm:
    async def test_only_that_vm_changes(self, fake):
        async with fake.client() as operators_client:
            outcome = await vm_changes.change_vm(operators_client, LEAVING)
        assert outcome.unwrap().revision == 8
        first, second = fake.declaration.vms
        assert first.state is schema.ServiceState.LEAVING
        assert second == fake_operators.DECLARATION.vms[1]

    async def test_a_race_on_other_items_is_tried_again(self, fake):
        def race():
            fake.before_apply = lambda: None
            fake.change(objective=schema.Objective(stall_weight=5.0))

        fake.before_apply = race
        async with fake.client() as operators_client:
            outcome = await vm_changes.change_vm(operators_client, LEAVING)
        assert outcome.unwrap().revision == 9
        assert fake.declaration.objective.stall_weight == 5.0
        assert len({order.operation_id for order in fake.applied}) == 2

    async def test_a_race_on_the_same_vm_is_a_conflict(self, fake):
        def race():
            fake.before_apply = lambda: None
            out = schema.Vm("vm-1", "dc", schema.ServiceState.OUT_OF_SERVICE)
            fake.change(vms=(out, fake.declaration.vms[1]))

        fake.before_apply = race
        async with fake.client() as operators_client:
            outcome = await vm_changes.change_vm(operators_client, LEAVING)
        failure = outcome.failure()
        assert failure.code is codes.Code.CONFLICT
        assert "out_of_service" in failure.message
        assert len(fake.applied) == 1

    async def test_endless_races_end_in_a_conflict(self, fake):
        fake.before_apply = lambda: fake.change()
        async with fake.client() as operators_client:
            outcome = await vm_changes.change_vm(operators_client, LEAVING)
        assert outcome.failure().code is codes.Code.CONFLICT

    async def test_an_unknown_vm_brings_the_near_name(self, fake):
        unknown = msgspec.structs.replace(LEAVING, vm="vm1")
        async with fake.client() as operators_client:
            outcome = await vm_changes.change_vm(operators_client, unknown)
        assert "did you mean 'vm-1'?" in outcome.failure().message


class TestReadDeadline:
    def test_a_time_from_now_becomes_a_time_with_zone(self):
        text = vms.parse_deadline("+30m", NOW).unwrap()
        assert text == "2026-12-04T04:30:00+00:00"

    @pytest.mark.parametrize("text", ["soon", "2026-12-04T05:00", "2026-12-04T03:00Z"])
    def test_other_texts_and_past_times_are_refused(self, text):
        failure = vms.parse_deadline(text, NOW).failure()
        assert failure.code is codes.Code.BAD_REQUEST


class TestStatusLines:
    async def test_columns_are_aligned(self, fake):
        async with fake.client() as operators_client:
            reply = (await operators_client.status()).unwrap()
        head, row = waiting.status_lines(reply)
        assert head.index("REVISION") == row.index("7")

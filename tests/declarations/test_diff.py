from quetzalpass.declarations import diff, schema

BEFORE = schema.Declaration(
    vms=(schema.Vm("vm-1", "a"), schema.Vm("vm-2", "a")),
)


class TestDiff:
    def test_the_order_of_items_makes_no_difference(self):
        reordered = schema.Declaration(vms=BEFORE.vms[::-1])
        assert diff.diff(BEFORE, reordered).changes == ()

    def test_added_removed_and_changed_items_are_listed(self):
        leaving = schema.Vm("vm-1", "a", schema.ServiceState.LEAVING)
        after = schema.Declaration(
            vms=(leaving, schema.Vm("vm-3", "a")),
            objective=schema.Objective(stall_weight=3.0),
        )
        assert list(diff.diff(BEFORE, after).lines()) == [
            "~ vms vm-1",
            '    state: "in_service" -> "leaving"',
            "- vms vm-2",
            "+ vms vm-3",
            "~ objective",
            "    stall_weight: 1.0 -> 3.0",
        ]

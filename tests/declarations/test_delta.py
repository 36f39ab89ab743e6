import hypothesis
from hypothesis import strategies

import builders
from quetzalpass import ids
from quetzalpass.declarations import delta, schema


def organisations(weights):
    return tuple(
        schema.Organisation(ids.OrganisationId(name), ("0" * 64,), weight=weight)
        for name, weight in weights.items()
    )


DECLARATIONS = strategies.builds(
    lambda weights, rate: builders.declaration(
        [],
        organisations=organisations(weights),
        weight_store=schema.WeightStore(rate),
    ),
    strategies.dictionaries(
        strategies.sampled_from("abcdef"), strategies.floats(1, 9), max_size=6
    ),
    strategies.floats(1, 9),
)


class TestDelta:
    @hypothesis.given(DECLARATIONS, DECLARATIONS)
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    def test_a_delta_exists_unless_entries_were_reordered(self, before, after):
        change = delta.delta_between(before, after)
        if change is None:
            old = [item.id for item in before.organisations]
            new = [item.id for item in after.organisations]
            kept = [name for name in old if name in new]
            assert [name for name in new if name in old] != kept
            return
        sent = delta.decode(delta.encode(change))
        assert delta.apply_delta(before, sent) == after

    def test_entries_can_be_inserted_in_the_middle(self):
        before = builders.declaration([], organisations=organisations({"a": 1, "c": 1}))
        after = builders.declaration(
            [], organisations=organisations({"a": 1, "b": 1, "c": 2, "d": 1})
        )
        change = delta.delta_between(before, after)
        assert [item.id for item in change.changed.organisations] == ["b", "c", "d"]
        assert delta.apply_delta(before, change) == after

    def test_contains_only_changed_entries(self):
        before = builders.declaration([], organisations=organisations({"a": 1, "b": 1}))
        after = builders.declaration([], organisations=organisations({"a": 1, "b": 2}))
        change = delta.delta_between(before, after)
        assert [item.id for item in change.changed.organisations] == ["b"]
        assert change.changed.models == ()

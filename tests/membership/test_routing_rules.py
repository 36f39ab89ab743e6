import random

import builders
from quetzalpass import ids
from quetzalpass.declarations import schema
from quetzalpass.lifecycle import queueing
from quetzalpass.membership import routing_rules
from quetzalpass.routing import factory

DATA_CENTRE = ids.DataCentreId("north-a")


class TestRules:
    def test_objective_and_weights_come_from_the_declaration(self):
        organisation = schema.Organisation(ids.OrganisationId("a"), ("0" * 64,), 3.0)
        declared = builders.declaration(
            [],
            organisations=(organisation,),
            objective=schema.Objective(stall_weight=3.0, gap_weight=1.0),
        )
        rules = routing_rules.rules_of(declared)
        assert (rules.objective.stall, rules.objective.gap_tail) == (0.75, 0.25)
        assert rules.organisation_weights == {"a": 3.0}

    def test_a_revision_changes_the_weights_of_existing_queues(self):
        admission = factory.make_admission(
            routing_rules.rules_of(schema.Declaration()), DATA_CENTRE, random.Random(1)
        )
        queue_weights = admission.dispatcher.rules.organisation_weights
        organisation = schema.Organisation(ids.OrganisationId("a"), ("0" * 64,), 3.0)
        rules = routing_rules.rules_of(
            builders.declaration([], organisations=(organisation,))
        )
        factory.update_rules(admission, rules)
        assert queue_weights == {"a": 3.0}

    def test_the_most_urgent_class_has_priority_zero(self):
        classes = tuple(
            schema.PriorityClass(ids.ClassName(name), priority)
            for name, priority in (("draft", 0), ("check", 5))
        )
        config = builders.create_configuration(
            builders.declaration([], classes=classes)
        )
        found = [queueing.queue_priority(config, each) for each in classes]
        assert found == [5, 0]

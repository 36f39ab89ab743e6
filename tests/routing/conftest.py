import random

import pytest

from quetzalpass import ids
from quetzalpass.routing import factory, servers, settings, work

DATA_CENTRE = ids.DataCentreId("flx-a")
MODEL = ids.ModelName("claims-llm")


def make_view(name, **rest):
    return servers.ServerView(
        ids.ServerId(name), DATA_CENTRE, ids.VmId(f"vm-{name}"), MODEL, **rest
    )


def make_item(name, organisation="org", **rest):
    rest.setdefault("prompt_tokens", 100)
    return work.WorkItem(
        ids.RequestId(name),
        ids.OrganisationId(organisation),
        ids.ClassName(rest.pop("class_name", "draft")),
        MODEL,
        **rest,
    )


@pytest.fixture
def build():
    def make(policy=settings.PolicyName.LEAST_IN_FLIGHT, names="ab", **rules):
        dispatcher = factory.make_dispatcher(
            settings.RoutingSettings(policy=policy, **rules),
            DATA_CENTRE,
            random.Random(7),
        )
        dispatcher.table.update(tuple(make_view(name) for name in names), 0.0)
        return dispatcher

    return make

import random

import pytest

from fakes import transports
from quetzalpass import ids
from quetzalpass.membership import (
    configuration,
    control_links,
    fleet_messages,
    fleet_view,
    suspect_reports,
)


def make_links():
    return control_links.ControlLinks(
        ids.VmId("gw-1"),
        (ids.VmId("c-1"),),
        configuration.ConfigurationHolder(),
        fleet_view.FleetView(),
        channel=None,
        source=None,
        make_request=None,
        rng=random.Random(1),
    )


@pytest.mark.looptime
class TestReplies:
    @pytest.mark.parametrize("is_watching", [False, True])
    async def test_suspects_are_taken_from_every_control_node(self, is_watching):
        links = make_links()
        received = []
        links.suspect_observers.append(received.append)
        reports = suspect_reports.SuspectReports(1, ())
        links.apply_reply(fleet_messages.FleetReply(is_watching, verdicts=reports))
        assert received == [reports]

    async def test_load_is_taken_from_the_active_control_node_only(self):
        links = make_links()
        received = []
        links.reply_observers.append(received.append)
        links.apply_reply(fleet_messages.FleetReply(False, gateways=5))
        assert received == []
        assert links.view.gateways == 1


@pytest.mark.looptime
class TestControlNodes:
    async def test_a_control_node_that_knows_no_leader_removes_no_other(self):
        links = make_links()
        links.channel = transports.FakeTransport(transports.FakeNetwork(), links.vm)
        known = ("c-2", "c-3", "c-4")
        links.apply_reply(
            fleet_messages.FleetReply(False, leader="c-2", controls=known)
        )
        # The seed has lost its disk: it knows itself alone.
        links.apply_reply(fleet_messages.FleetReply(False, controls=("c-1",)))
        assert links.controls == {"c-1", *known}
        links.apply_reply(
            fleet_messages.FleetReply(False, leader="c-2", controls=("c-2", "c-3"))
        )
        assert links.controls == {"c-1", "c-2", "c-3"}
        links.stop()

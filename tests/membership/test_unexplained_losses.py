import asyncio

import pytest

from quetzalpass import ids
from quetzalpass.membership import unexplained_losses

pytestmark = pytest.mark.looptime

LIFETIME_S = 10.0


def make_losses(*data_centres):
    """Return the losses of one request, each on a server of its own."""
    losses = unexplained_losses.UnexplainedLosses()
    for number, each in enumerate(data_centres):
        losses.add("request", f"s-{number}", ids.DataCentreId(each), LIFETIME_S)
    return losses


class TestHeldBackRequests:
    async def test_losses_in_one_data_centre_may_be_a_cut(self):
        losses = make_losses("flx-b", "flx-b")
        assert losses.held_back_s("request", False) == 0.0
        assert "request" in losses

    async def test_losses_in_two_data_centres_hold_back_a_request_for_a_time(self):
        losses = make_losses("flx-b", "flx-c")
        assert losses.held_back_s("request", False) == LIFETIME_S
        assert losses.held_back_s("other", False) == 0.0
        await asyncio.sleep(LIFETIME_S)
        assert losses.held_back_s("request", False) == 0.0

    async def test_crash_counts_beside_a_loss(self):
        assert make_losses("flx-b").held_back_s("request", True) == LIFETIME_S
        assert make_losses().held_back_s("request", True) == 0.0

    async def test_server_that_responds_again_ends_the_doubt(self):
        losses = make_losses("flx-b", "flx-c")
        losses.explain("s-1")
        assert losses.held_back_s("request", False) == 0.0

    async def test_servers_of_unknown_start_explain_nothing(self):
        losses = make_losses("flx-b", "flx-c")
        losses.explain("")
        assert losses.held_back_s("request", False) == LIFETIME_S

    async def test_run_without_a_crash_ends_the_doubt(self):
        losses = make_losses("flx-b", "flx-c")
        losses.remove("request")
        assert "request" not in losses

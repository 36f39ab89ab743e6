"""Finds tasks of the roles that end for good when something that they await fails.

Each task that is still there after a while is looked at, so that a new one needs no
entry here.
"""

import asyncio

import pytest

from daemon import test_control_role, test_process
from quetzalpass import ids

pytestmark = pytest.mark.looptime

cluster = test_control_role.cluster
start_site = test_process.start_site

IDLE_S = 12.0
BACK_S = 5.0
# Coroutines that go on after a failure of what they await, or are restarted.
RESTARTED = {"keep_running", "run_to_end"}
# The connections of the HTTP server, and the replicas of the groups, which
# tests/consensus covers.
OTHER_OWNERS = (
    "RequestHandler.start",
    "quetzalpass/consensus/",
    "quetzalpass/storage/",
)


def has_other_owner(task):
    """Return whether a task belongs to another library or to a group's replica."""
    code = task.get_coro().cr_code
    place = f"{code.co_filename}:{code.co_qualname}"
    return any(each in place for each in OTHER_OWNERS)


async def endless_tasks():
    """Return the tasks that run now and still do after a while."""
    before = asyncio.all_tasks()
    await asyncio.sleep(IDLE_S)
    tasks = (before & asyncio.all_tasks()) - {asyncio.current_task()}
    return [each for each in tasks if not has_other_owner(each)]


def fail_awaited(task):
    """Make what a task awaits fail, as if its owner had cancelled it."""
    task._fut_waiter.cancel()


async def check_tasks_go_on(least):
    tasks = await endless_tasks()
    names = sorted(each.get_coro().cr_code.co_qualname for each in tasks)
    assert len(tasks) >= least, names
    assert set(names) <= RESTARTED
    for each in tasks:
        fail_awaited(each)
    await asyncio.sleep(BACK_S)
    assert not [each for each in tasks if each.done()]


class TestControlAndGatewayRoles:
    # Per control node its registry and its monitor; per gateway its exchange, the
    # direct reader, one follower for each control node, and the watch for silence.
    LEAST = 3 * 2 + 6

    async def test_all_tasks_go_on_after_a_failure(self, cluster):
        await cluster.start_all()
        gateway = cluster.gateway()
        await test_control_role.publish(cluster.leader(), 5)
        await cluster.until(gateway.is_ready)
        await check_tasks_go_on(self.LEAST)
        await cluster.until(lambda: cluster.leader() is not None)
        await test_control_role.publish(cluster.leader(), 6)
        await cluster.until(lambda: gateway.holder.revision() == 6)
        age_s = asyncio.get_running_loop().time() - gateway.view.read_at_s
        assert age_s < BACK_S


class TestDaemons:
    # Per daemon its suspect reports, its metrics and its anti-entropy.
    LEAST = 3 * 3

    async def test_all_tasks_go_on_after_a_failure(self, start_site):
        site = await start_site()
        first = await site.apply(ids.Revision(0), test_process.DECLARED)
        await site.wait_in_force(first)
        await check_tasks_go_on(self.LEAST)
        changed = test_process.control_propagation.change_organisation(
            test_process.DECLARED, 1
        )
        await site.wait_in_force(await site.apply(first, changed))

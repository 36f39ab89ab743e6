"""Revisions that come into force although something fails meanwhile."""

import asyncio

import pytest

import builders
from quetzalpass import ids
from quetzalpass.control import declared_state
from quetzalpass.daemon import activation
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration

pytestmark = pytest.mark.looptime

BACK_S = 3.0


def accepted(revision):
    data = schema.encode(builders.declaration([]))
    return declared_state.AcceptedDeclaration(
        ids.Revision(revision), schema.digest_of(data), "author", data
    )


class TestFailedActivations:
    async def test_a_revision_is_in_force_after_memory_was_short(self, monkeypatch):
        declared = declared_state.DeclaredState()
        holder = configuration.ConfigurationHolder()
        activation.Activation(declared, holder)
        make = configuration.Configuration
        shortages = [MemoryError(), MemoryError()]

        def make_with_little_memory(*arguments):
            if shortages:
                raise shortages.pop()
            return make(*arguments)

        monkeypatch.setattr(configuration, "Configuration", make_with_little_memory)
        declared.current = accepted(3)
        for observer in declared.observers:
            observer(declared.current)
        await asyncio.sleep(BACK_S)
        assert not shortages
        assert holder.revision() == 3


class TestFailedObservers:
    async def test_each_observer_gets_the_revision_in_force(self):
        holder = configuration.ConfigurationHolder()
        failures = [MemoryError(), MemoryError()]
        observed = {"first": [], "second": []}

        def observe_with_failures(config):
            if failures:
                raise failures.pop()
            observed["first"].append(config.revision)

        holder.observers.append(observe_with_failures)
        holder.observers.append(
            lambda config: observed["second"].append(config.revision)
        )
        waiting = asyncio.create_task(holder.wait_newer(ids.Revision(0), BACK_S))
        await asyncio.sleep(0)
        newest = accepted(3)
        assert holder.activate(newest.revision, newest.digest, newest.data)
        assert await waiting
        assert observed == {"first": [], "second": [3]}
        await asyncio.sleep(BACK_S)
        assert observed == {"first": [3], "second": [3]}

    async def test_a_failed_observer_gets_only_the_newest_revision(self):
        holder = configuration.ConfigurationHolder()
        failures = [MemoryError()]
        observed = []

        def observe(config):
            if failures:
                raise failures.pop()
            observed.append(config.revision)

        holder.observers.append(observe)
        for revision in (3, 4):
            newest = accepted(revision)
            holder.activate(newest.revision, newest.digest, newest.data)
        await asyncio.sleep(BACK_S)
        assert observed == [4]

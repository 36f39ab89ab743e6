import contextlib

import pytest

from quetzalpass.bench import local_cluster
from quetzalpass.settings import schema

from .callers import Caller

LIMITS = schema.Limits(silent_stream_s=3.0, connect_timeout_s=1.0, caller_grace_s=5.0)


@pytest.fixture
async def open_cluster():
    async with contextlib.AsyncExitStack() as stack:

        async def start(**options):
            options.setdefault("limits", LIMITS)
            cluster = local_cluster.LocalCluster(**options)
            stack.push_async_callback(cluster.stop)
            await cluster.start()
            return Caller(cluster)

        yield start

import contextlib

import pytest

from soak import soak

# The smallest machine of the platform's pages.
MEMORY_BYTES = 128_000_000
BYTES_PER_MB = 1_000_000


class SmallSystem(soak.Soak):
    """One gateway and one control node as processes, and a replica of each service."""

    server_counts = {"model": 1, "ledger": 1}
    control_count = 1

    def __init__(self, folder, machine_limits):
        super().__init__(1, folder, gateways=1)
        self.cluster.machine_limits = machine_limits
        (self.gateway,) = self.cluster.gateways
        (self.control,) = self.cluster.controls

    async def serve_one(self):
        """Send one ordinary request, and return the status of its response."""
        return await self.send("once", soak.Caller(self, gateway=self.gateway))


@pytest.fixture
async def start_system(tmp_path):
    async with contextlib.AsyncExitStack() as stack:

        async def start(max_fds=4100):
            limits = {"memory_mb": MEMORY_BYTES // BYTES_PER_MB, "max_fds": max_fds}
            system = SmallSystem(tmp_path, limits)
            stack.push_async_callback(system.stop)
            await system.start()
            return system

        yield start

"""Hundreds of changes of a desired state with many routes; the platform limits memory."""

import asyncio
import pathlib
import time

import harness
import states

# memory_mb of a core machine of the site.
MEMORY_MB = 296.0
# Three times the routes of one "big_config" of the site (350).
EXTRA_ROUTES = 1050
CHANGES = 700
CHANGE_INTERVAL_S = 0.08
PLAY_S = 80.0
LEAD_S = 4.0
POLL_S = 0.1
RESTART_S = 0.5
SETTLE_S = 4.0
FINAL_READ_S = 14.0


def big_state(version):
    """Return a desired state with many routes; the changes move one time-out."""
    extra = [
        states.route(f"r-{i:07x}", f"/p{i:06x}/", "idempotent", "ledger",
                     timeout_ms=800 + (version % 7), attempts=2)
        for i in range(EXTRA_ROUTES if harness.trouble() else 0)
    ]
    return states.desired_state(version, extra)


class MemoryGuard:
    """Kills a process that uses more than its memory, and restarts it, as the platform."""

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.kills = 0
        self.peak_mb = 0.0
        self.peak_disk_mb = 0.0
        self.is_ending = False

    async def run(self):
        await asyncio.gather(*(self.watch(each) for each in self.deployment.controls))

    async def watch(self, process):
        while not self.is_ending:
            await asyncio.sleep(POLL_S)
            used_mb = process.rss_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            self.peak_disk_mb = max(self.peak_disk_mb, process.disk_mb())
            if used_mb > MEMORY_MB:
                self.kills += 1
                self.record.say(f"platform: {process.ip} uses {used_mb:.0f} MB, more "
                                f"than {MEMORY_MB:.0f} MB, and is killed; its disk holds "
                                f"{process.disk_mb():.0f} MB")
                await process.kill()
                await asyncio.sleep(RESTART_S)
                await process.start()


async def play(deployment, operator, guard, record):
    await deployment.start()
    await asyncio.sleep(LEAD_S)
    began = time.monotonic()
    version = 0
    while version < CHANGES and time.monotonic() < began + PLAY_S:
        await asyncio.sleep(began + version * CHANGE_INTERVAL_S - time.monotonic())
        version += 1
        body = big_state(version)
        status = await operator.put(version, body, 6.0, quiet=True, patience_s=3.0)
        if version % 50 == 0 or status != 200:
            record.write(
                f"version {version} ({len(body)} bytes): {status}; memory "
                f"{[round(e.rss_mb()) for e in deployment.controls]} MB, disks "
                f"{[round(e.disk_mb()) for e in deployment.controls]} MB")
        if status is None:
            # No node has acknowledged the change for some time.
            break
    record.say(f"{operator.acked} changes were acknowledged in "
               f"{time.monotonic() - began:.0f} s; memory at most {guard.peak_mb:.0f} MB, "
               f"disk at most {guard.peak_disk_mb:.0f} MB, {guard.kills} kills")
    await asyncio.sleep(SETTLE_S)
    operator.counts.clear()
    read = await operator.get(FINAL_READ_S)
    record.say(f"newest acknowledged version {operator.acked}, read back: {read}; "
               f"{guard.kills} kills so far; responses {dict(operator.counts)}")
    return read is not None and read >= operator.acked


async def main(record):
    deployment = harness.Deployment(record)
    operator = harness.Operator(deployment, record)
    platform_list = harness.InstanceList(deployment)
    guard = MemoryGuard(deployment, record)
    watching = None
    try:
        await platform_list.start()
        watching = asyncio.create_task(guard.run())
        return await play(deployment, operator, guard, record)
    finally:
        guard.is_ending = True
        if watching is not None:
            await watching
        platform_list.stop()
        await deployment.close()


harness.run(main, pathlib.Path(__file__).parent / "record.txt")

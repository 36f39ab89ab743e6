"""Changes of the settings file, which may be missing or half written for a time."""

import asyncio

import pytest

from fleet_adapter import main, node_settings

BACK_S = 3.0
CONTENT = """
node: wien-a
ip: 10.0.0.1
zone: wien
listen: {{}}
internal_ports: [7000, 7010]
cloud: {{addr: "10.0.0.9:80"}}
seeds: [{seeds}]
"""
BROKEN = "node: [wien-a"


def content(*hosts):
    return CONTENT.format(seeds=", ".join(f'"{each}:80"' for each in hosts))


class Watched:
    """A process that watches its settings file."""

    def __init__(self, path):
        self.path = path
        self.adopted = []
        self.error = None
        self.reload = asyncio.Event()

    def adopt(self, seeds):
        if self.error is not None:
            error, self.error = self.error, None
            raise error
        self.adopted.append(seeds)

    def write(self, *hosts):
        self.path.write_text(content(*hosts))
        self.reload.set()

    async def until_adopted(self, *hosts):
        wanted = tuple(f"{each}:7000" for each in hosts)
        async with asyncio.timeout(BACK_S):
            while not self.adopted or self.adopted[-1] != wanted:
                await asyncio.sleep(0.01)


@pytest.fixture
async def watched(tmp_path, monkeypatch):
    made = Watched(tmp_path / "node.yaml")
    monkeypatch.setenv(node_settings.SETTINGS_PATH_VARIABLE, str(made.path))
    made.write("10.0.0.2")
    task = main.start_watching_settings(made.reload, made.adopt)
    await made.until_adopted("10.0.0.2")
    yield made
    task.cancel()


class TestUnreadableFiles:
    async def test_seeds_stay_while_the_file_is_missing_and_change_afterwards(
        self, watched
    ):
        watched.path.unlink()
        watched.reload.set()
        await asyncio.sleep(0.2)
        assert len(watched.adopted) == 1
        watched.write("10.0.0.3")
        await watched.until_adopted("10.0.0.3")

    async def test_seeds_stay_while_the_file_is_broken_and_change_afterwards(
        self, watched
    ):
        watched.path.write_text(BROKEN)
        watched.reload.set()
        await asyncio.sleep(0.2)
        assert len(watched.adopted) == 1
        watched.write("10.0.0.3", "10.0.0.4")
        await watched.until_adopted("10.0.0.3", "10.0.0.4")

    async def test_seeds_that_could_not_be_applied_are_applied_again(self, watched):
        watched.error = MemoryError()
        watched.write("10.0.0.3")
        await watched.until_adopted("10.0.0.3")
        assert watched.error is None

import asyncio

import logbook
import pytest

from quetzalpass import background


@pytest.mark.looptime
class TestKeepRunning:
    async def test_exception_is_logged_and_the_task_is_restarted(self):
        runs = []

        async def work():
            runs.append(len(runs))
            if len(runs) == 1:
                raise ValueError("odd")
            await asyncio.sleep(100)

        with logbook.TestHandler() as handler:
            task = asyncio.create_task(background.keep_running("work", work))
            await asyncio.sleep(5)
            task.cancel()
        assert runs == [0, 1]
        assert any("work failed" in record.message for record in handler.records)

    async def test_cancellation_ends_the_task(self):
        async def work():
            await asyncio.sleep(100)

        task = asyncio.create_task(background.keep_running("work", work))
        await asyncio.sleep(1)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    async def test_the_task_goes_on_if_something_that_it_awaits_is_cancelled(self):
        runs = []

        async def work():
            runs.append(len(runs))
            if len(runs) == 1:
                awaited = asyncio.get_running_loop().create_future()
                awaited.cancel()
                await awaited
            await asyncio.sleep(100)

        task = asyncio.create_task(background.keep_running("work", work))
        await asyncio.sleep(5)
        assert runs == [0, 1]
        assert not task.done()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

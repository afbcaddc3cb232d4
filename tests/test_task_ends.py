"""Tasks that have to end: their end is bounded and the log says when it was not reached."""

import asyncio
import contextlib

from seamlb.net.tasks import end_tasks
from tests.loopback import DaemonTestCase

WITHIN = 0.05  # seconds


async def endless() -> None:
    """Ignore the first cancellation."""
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.sleep(60.0)
    await asyncio.sleep(60.0)


async def failing() -> None:
    """Raise as it ends."""
    try:
        await asyncio.sleep(60.0)
    finally:
        raise ValueError


class TaskEnds(DaemonTestCase):
    # Incident 86c537: a task that lost its cancellation kept the process from ending.
    async def test_the_end_is_bounded_and_the_log_names_what_has_not_ended(self) -> None:
        tasks = [asyncio.create_task(work()) for work in (endless, failing)]
        await asyncio.sleep(0)
        async with asyncio.timeout(1.0):
            await end_tasks("test", tasks, WITHIN)
        (line,) = self.events("tasks_overdue")
        self.assertEqual((line["owner"], line["tasks"]), ("test", ["endless"]))
        await end_tasks("test", tasks[:1], 1.0)
        self.assertEqual(len(self.events("tasks_overdue")), 1)

    # Incident 86c537: closing waited without a bound for tasks that had lost their cancellation.
    async def test_the_daemon_closes_although_a_task_does_not_end(self) -> None:
        daemon = await self.start()
        daemon.tasks.append(task := asyncio.create_task(endless()))
        await asyncio.sleep(0)
        async with asyncio.timeout(2.0):
            await daemon.close()
        self.assertEqual([line["owner"] for line in self.events("tasks_overdue")], ["daemon"])
        task.cancel()

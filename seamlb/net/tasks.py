"""Periodic background tasks, and the end of tasks within a bounded time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from seamlb import log

END_WITHIN = 0.15  # seconds a cancelled task may take to end; at the end of a drain SIGKILL is near


async def end_tasks(owner: str, tasks: Collection[asyncio.Task[None]], within: float = END_WITHIN) -> None:
    """Cancel tasks and wait until they have ended, at most `within` seconds; the log names those that have not."""
    for task in tasks:
        task.cancel()
    if not tasks:
        return
    done, overdue = await asyncio.wait(tasks, timeout=within)
    for task in done:
        if not task.cancelled():
            task.exception()  # retrieved, so that the event loop does not report it again
    if overdue:
        names = [task.get_coro().__qualname__ for task in overdue]  # type: ignore[union-attr]
        log.event("tasks_overdue", owner=owner, tasks=names, seconds=within)


async def repeat(seconds: float, where: str, function: Callable[[], None]) -> None:
    """Call a function every `seconds` until cancelled; an error in it is logged and ends nothing."""
    while True:
        await asyncio.sleep(seconds)
        try:
            function()
        except Exception as error:
            log.event("fault", where=where, error=repr(error), trace=log.trace(error))

"""Background tasks that go on after an unexpected error."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briarfork.border.error_place import find_place
from briarfork.border.events import Event

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from briarfork.border.events import EventLog

# Pause before a failed task is started again, so that a lasting error cannot keep the process busy.
RESTART_PAUSE_S = 0.5


async def run_supervised(
    run: Callable[[], Awaitable[None]], events: EventLog, pause_s: float = RESTART_PAUSE_S
) -> None:
    """Runs a background task until it returns, and starts it again after an error.

    In a task group, an error of one task cancels all others. In a process that serves requests this
    ends each request in progress without an answer.

    Args:
        run: Coroutine function of the task; it must be able to start again after any error.
        events: Log for the errors.
        pause_s: Pause before the next start, in seconds.
    """
    while True:
        try:
            await run()
            return
        # Whatever one task meets, the requests that other tasks serve must go on.
        except Exception as error:
            events.record(
                Event.TASK_FAILED,
                task=getattr(run, "__qualname__", repr(run)),
                error=repr(error),
                place=find_place(error),
            )
        await asyncio.sleep(pause_s)

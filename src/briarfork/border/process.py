"""The event loop of a process, and the reason and exit status of its end."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from contextlib import suppress
from enum import IntEnum
from types import CoroutineType
from typing import TYPE_CHECKING
from typing import Any

import uvloop

from briarfork.border.events import Event
from briarfork.border.failures import find_place
from briarfork.border.failures import list_errors

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from briarfork.border.events import EventLog

EXIT_STATUSES = """exit statuses:
  0  planned stop
  1  failure
  2  bad settings or arguments"""


class ExitStatus(IntEnum):
    """Exit statuses of the programs that serve."""

    STOPPED = 0
    FAILED = 1
    BAD_SETTINGS = 2


def run_event_loop(run: Callable[[], Coroutine[None, None, None]], events: EventLog) -> ExitStatus:
    """Runs a coroutine in an event loop of its own and logs the errors that end it."""
    # libuv reads this when the loop is created; the platform does not allow io_uring.
    os.environ["UV_USE_IO_URING"] = "0"
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run())
    # Whatever ends the process must be in its log, also what is not an Exception.
    except BaseException as error:
        record_failure(error, ExitStatus.FAILED, events)
        # Standard error may have no reader, or one that does not keep up.
        with suppress(OSError):
            traceback.print_exception(error)
        return ExitStatus.FAILED
    return ExitStatus.STOPPED


def bound_exit(delay_s: float, events: EventLog) -> None:
    """Exits at the end of a planned stop even if a task does not end when it is cancelled.

    Args:
        delay_s: Time until the exit in seconds, after which only tasks without callers are left.
        events: Log for the tasks that are left.
    """
    asyncio.get_running_loop().call_later(delay_s, _exit_beside_tasks, events)


def _exit_beside_tasks(events: EventLog) -> None:
    names = sorted(_name_awaited(task) for task in asyncio.all_tasks())
    events.record(
        Event.TASK_FAILED,
        task=", ".join(names),
        error="still running at the end of the planned stop",
    )
    events.record(Event.STOPPED)
    sys.stderr.flush()
    os._exit(ExitStatus.STOPPED)


def _name_awaited(task: asyncio.Task[Any]) -> str:
    """Returns the names of the coroutine functions that wait for each other in a task."""
    names = []
    coroutine: Any = task.get_coro()
    while isinstance(coroutine, CoroutineType):
        names.append(coroutine.__qualname__)
        coroutine = coroutine.cr_await
    return " > ".join(names)


def record_failure(error: BaseException, status: ExitStatus, events: EventLog) -> None:
    """Logs why the process ends; each error of a group has its own line."""
    for part in list_errors(error):
        events.record(
            Event.PROCESS_FAILED, status=int(status), error=repr(part), place=find_place(part)
        )

"""Tests of background tasks that go on after an error."""

from __future__ import annotations

import asyncio

import pytest

from briarfork.border.events import EventLog
from briarfork.border.supervision import run_supervised


class FailingTask:
    """Fails at its first runs, then returns."""

    def __init__(self, *errors: BaseException) -> None:
        self.errors = list(errors)

    async def run(self) -> None:
        await asyncio.sleep(0.0)
        if self.errors:
            raise self.errors.pop(0)


class TestRunSupervised:
    async def test_error_of_one_task_does_not_end_the_others(self) -> None:
        """Guards against a process whose requests end because a background task fails."""
        task = FailingTask(KeyError("x"), ExceptionGroup("", [RecursionError()]))
        async with asyncio.TaskGroup() as group:
            request = group.create_task(asyncio.sleep(0.05, "answered"))
            group.create_task(run_supervised(task.run, EventLog("test"), pause_s=0.0))
        assert request.result() == "answered"
        assert task.errors == []

    async def test_cancellation_of_something_else_does_not_end_the_task(self) -> None:
        """Guards against a task that ends without a line, because it awaited a cancelled one."""
        task = FailingTask(asyncio.CancelledError())
        await run_supervised(task.run, EventLog("test"), pause_s=0.0)
        assert task.errors == []

    async def test_cancellation_ends_the_task(self) -> None:
        """Guards against a planned stop that waits for a task which starts again."""
        supervised = asyncio.create_task(
            run_supervised(lambda: asyncio.sleep(60.0), EventLog("test"))
        )
        await asyncio.sleep(0.0)
        supervised.cancel()
        with pytest.raises(asyncio.CancelledError):
            await supervised

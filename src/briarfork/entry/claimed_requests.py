"""Requests with a claim, which run to completion even if their caller disconnects."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from aiohttp import web


class ClaimedRequests:
    """Runs each request with a claim in its own task.

    A caller that disconnects cancels the task of its connection. A request with a claim continues,
    so that the claim holds the response when the caller retries the request.
    """

    def __init__(self) -> None:
        self._group = asyncio.TaskGroup()
        self._tasks: set[asyncio.Task[web.StreamResponse | Exception]] = set()

    async def run(self) -> None:
        """Keeps the task group open until cancelled."""
        async with self._group:
            await asyncio.get_running_loop().create_future()

    async def run_to_completion(
        self, request: Coroutine[None, None, web.StreamResponse]
    ) -> web.StreamResponse:
        """Runs a request to completion, even if the calling task is cancelled.

        Raises:
            Exception: The error with which the request ended.
        """
        task = self._group.create_task(_return_error(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        result = await asyncio.shield(task)
        if isinstance(result, Exception):
            raise result
        return result

    async def wait_until_done(self, timeout_s: float) -> None:
        """Waits for the requests in progress at a planned stop."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)


async def _return_error(
    request: Coroutine[None, None, web.StreamResponse],
) -> web.StreamResponse | Exception:
    # An error that leaves the task would cancel the task group with all other requests.
    try:
        return await request
    except Exception as error:
        return error

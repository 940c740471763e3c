"""Permits, and staggered requests for a permit at several sites of a region."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.errors import NotRun

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable
    from collections.abc import Sequence
    from typing import Any

    from briarfork.configuration import RequestClass
    from briarfork.entry.slots import SlotKey
    from briarfork.pools import ServerAddress

    PermitRequester = Callable[[], Coroutine[Any, Any, "Permit | NotRun"]]
    PermitTask = asyncio.Task["Permit | NotRun"]

# Owners of permits that were granted locally. Names of VMs begin with a letter or a digit, so
# these values never collide with one.
LOCAL_SHARE = "-share"
LOCAL_SELECTION = "-choice"
# Delay before a permit is also requested at the next site. It equals the round-trip time between
# two zones of a region.
OVERFLOW_DELAY_S = 0.004


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to send one request to one server.

    Attributes:
        name: Unique name.
        owner: Entry VM that granted the permit, or the kind of a permit that this VM granted.
        limit_per_s: Requests per second that the owner grants for the server, infinite if it knows
            of no limit.
    """

    name: str
    service: str
    site: str
    request_class: RequestClass
    server: ServerAddress
    owner: str
    limit_per_s: float = math.inf

    @property
    def key(self) -> SlotKey:
        """Service and site of the slot."""
        return self.service, self.site

    @property
    def is_local(self) -> bool:
        """Whether this VM granted the permit without the owner of the slots."""
        return self.owner in (LOCAL_SHARE, LOCAL_SELECTION)


async def request_staggered(
    requesters: Sequence[PermitRequester], release_unused: Callable[[Permit], None]
) -> list[Permit]:
    """Requests a permit at the first site and, after a delay or a refusal, at the next ones too.

    Args:
        requesters: Start the request at each site, in order of preference.
        release_unused: Called with each granted permit if this call fails or is cancelled.

    Returns:
        The permits that were granted, at least one; those after the first are not needed.

    Raises:
        NotRun: The refusal of the first site, if all refuse.
    """
    tasks: list[PermitTask] = []
    try:
        async with asyncio.TaskGroup() as group:
            for start_request in requesters:
                tasks.append(group.create_task(start_request()))
                await _wait_for_permit(
                    tasks, OVERFLOW_DELAY_S if len(tasks) < len(requesters) else None
                )
                if _list_permits(tasks):
                    break
            for task in tasks:
                task.cancel()
    except BaseException:
        for permit in _list_permits(tasks):
            release_unused(permit)
        raise
    permits = _list_permits(tasks)
    if not permits:
        raise next(result for result in _list_results(tasks) if isinstance(result, NotRun))
    return permits


def _list_results(tasks: Iterable[PermitTask]) -> list[Permit | NotRun]:
    done = [task for task in tasks if task.done() and not task.cancelled()]
    return [task.result() for task in done if task.exception() is None]


def _list_permits(tasks: Iterable[PermitTask]) -> list[Permit]:
    return [result for result in _list_results(tasks) if isinstance(result, Permit)]


async def _wait_for_permit(tasks: list[PermitTask], timeout_s: float | None) -> None:
    """Waits until a task has a permit, all tasks are refused, or the time is over."""
    try:
        async with asyncio.timeout(timeout_s):
            pending = set(tasks)
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                if _list_permits(done):
                    return
    except TimeoutError:
        return

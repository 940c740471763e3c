"""Permits, and requests for one at several sites of a region of which the first counts."""

from __future__ import annotations

import asyncio
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

    Ask = Callable[[], Coroutine[Any, Any, "Permit | NotRun"]]
    Asked = asyncio.Task["Permit | NotRun"]

# Names of VMs begin with a letter or a digit, so these cannot be owners.
LOCAL_SHARE = "-share"
LOCAL_CHOICE = "-choice"
# A request that gets no slot in its own site within the round-trip time to another zone of the
# region also waits there.
OVERFLOW_AFTER_S = 0.004


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to send one request to one server.

    Attributes:
        owner: Entry VM that granted it, or the kind of a permit that needs no owner.
    """

    name: str
    service: str
    site: str
    request_class: RequestClass
    server: ServerAddress
    owner: str

    @property
    def key(self) -> SlotKey:
        """The slots that it belongs to."""
        return self.service, self.site

    @property
    def is_local(self) -> bool:
        """Whether this VM granted it without the owner of the slots."""
        return self.owner in (LOCAL_SHARE, LOCAL_CHOICE)


async def ask_in_turn(asks: Sequence[Ask], give_back: Callable[[Permit], None]) -> list[Permit]:
    """Asks the first site and, while it does not grant, the next ones as well.

    Returns:
        The permits that were granted, at least one; those after the first are not needed.

    Raises:
        NotRun: The refusal of the first site, if all refuse.
    """
    tasks: list[Asked] = []
    try:
        async with asyncio.TaskGroup() as group:
            for ask in asks:
                tasks.append(group.create_task(ask()))
                await _wait_for_permit(tasks, OVERFLOW_AFTER_S if len(tasks) < len(asks) else None)
                if _list_permits(tasks):
                    break
            for task in tasks:
                task.cancel()
    except BaseException:
        for permit in _list_permits(tasks):
            give_back(permit)
        raise
    permits = _list_permits(tasks)
    if not permits:
        raise next(result for result in _list_results(tasks) if isinstance(result, NotRun))
    return permits


def _list_results(tasks: Iterable[Asked]) -> list[Permit | NotRun]:
    ended = [task for task in tasks if task.done() and not task.cancelled()]
    return [task.result() for task in ended if task.exception() is None]


def _list_permits(tasks: Iterable[Asked]) -> list[Permit]:
    return [result for result in _list_results(tasks) if isinstance(result, Permit)]


async def _wait_for_permit(tasks: list[Asked], patience_s: float | None) -> None:
    """Waits until a task has a permit, all tasks are refused, or the patience ends."""
    try:
        async with asyncio.timeout(patience_s):
            pending = set(tasks)
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                if _list_permits(done):
                    return
    except TimeoutError:
        return

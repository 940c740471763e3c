"""Decides which requests of a connection run before the responses ahead of them are written."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Callable

# Requests of one connection that run at the same time, the one whose turn it is included.
MAX_CONCURRENT_REQUESTS: Final = 16
# Responses of one connection that are held until their turn. Sixteen lookups of 32 KB fit, and half
# of them still fit with responses of 64 KB, which is one part of a body.
MAX_HELD_BYTES: Final = 512 * 1024
# Memory that a request takes while it runs ahead, without the body of its response. Tasks, headers
# and the connection to a server take 20 to 30 KB.
REQUEST_BYTES: Final = 24 * 1024
# Size of a response before others have told what to expect, and the bytes of one response that the
# event loop reads from a connection at a time.
UNKNOWN_RESPONSE_BYTES: Final = 200 * 1024
MAX_BUFFERED_BYTES: Final = 256 * 1024
# After 30 small responses, a large one has nearly no effect.
EXPECTED_SIZE_DECAY: Final = 0.9
# Part of the memory for responses up to which requests run ahead, with what those are expected to
# need. A service may hold half of the memory, so responses ahead rarely have to be dropped. With
# half of it, 60% of the requests of 300 callers that read nothing were dropped and ran twice.
AHEAD_FRACTION: Final = 0.25


@dataclass(slots=True, eq=False)
class Turn:
    """The place of a request in the order of its connection.

    Attributes:
        read_at: Monotonic time at which the head of the request was complete.
        is_ahead: Whether it runs although responses ahead of it have not been written.
        on_drop: Ends the run of a request that is ahead, which runs again when its turn comes.
    """

    read_at: float
    is_ahead: bool = False
    on_drop: Callable[[], None] | None = None

    def begin_ahead(self, on_drop: Callable[[], None]) -> None:
        """Records that the request runs before its turn."""
        self.is_ahead, self.on_drop = True, on_drop

    def end_ahead(self) -> None:
        """Records that the turn has come, or that the request no longer runs."""
        self.is_ahead, self.on_drop = False, None

    def drop(self) -> None:
        """Ends the run if it is ahead of its turn; its memory is needed by others."""
        if self.on_drop is not None:
            self.on_drop()


class AheadBudget:
    """Limits the requests of all connections of a VM that run ahead, by the memory they need.

    The load is a thousand callers with a window of large responses each, on a VM with 200 MB. Bytes
    that a server has sent are in memory before they are granted, so a request that runs counts
    with the size that responses had recently.

    Example:
        >>> budget = AheadBudget(capacity_bytes=2_000_000, measure_held=lambda: 0)
        >>> [budget.take(), budget.take(), budget.take()]
        [229376, 229376, 0]
        >>> budget.hold(229376)
        24576
        >>> budget.take()
        229376

    Attributes:
        requests: Number of requests that run ahead or hold a response until their turn.
    """

    def __init__(self, capacity_bytes: int, measure_held: Callable[[], int]) -> None:
        """Creates the budget.

        Args:
            capacity_bytes: Memory of the VM for responses.
            measure_held: Returns how much of it is granted.
        """
        self._capacity_bytes = capacity_bytes
        self._measure_held = measure_held
        self._expected_bytes: float = UNKNOWN_RESPONSE_BYTES
        self._waiting: dict[Callable[[], object], None] = {}
        self.requests = 0
        self._needed_bytes = 0

    def take(self, expected_bytes: int = 0) -> int:
        """Counts a request if it may run ahead now.

        Args:
            expected_bytes: Size of its response as far as its connection knows.

        Returns:
            The memory that it is expected to need, 0 if it may not run ahead.
        """
        needed_bytes = REQUEST_BYTES + max(expected_bytes, int(self._expected_bytes))
        total_bytes = self._measure_held() + self._needed_bytes + needed_bytes
        if total_bytes > AHEAD_FRACTION * self._capacity_bytes:
            return 0
        self.requests += 1
        self._needed_bytes += needed_bytes
        return needed_bytes

    def hold(self, needed_bytes: int) -> int:
        """Returns what a request needs whose response is complete, without its granted memory."""
        self._needed_bytes += REQUEST_BYTES - needed_bytes
        return REQUEST_BYTES

    def give_back(self, needed_bytes: int) -> None:
        """Ends the count of a request that no longer is ahead of its turn."""
        self.requests -= 1
        self._needed_bytes -= needed_bytes
        self._wake()

    def learn(self, size_bytes: int) -> None:
        """Records the size of a response, so that few requests run ahead if they are large."""
        size = min(size_bytes, MAX_BUFFERED_BYTES)
        self._expected_bytes = max(size, EXPECTED_SIZE_DECAY * self._expected_bytes)
        self._wake()

    def wait(self, on_room: Callable[[], object]) -> None:
        """Has a function called once when another request may run ahead."""
        self._waiting[on_room] = None

    def stop_waiting(self, on_room: Callable[[], object]) -> None:
        """Forgets a function that waits."""
        self._waiting.pop(on_room, None)

    def _wake(self) -> None:
        """Calls the functions that have waited longest; two, as a small size makes more room."""
        for on_room in list(islice(self._waiting, 2)):
            del self._waiting[on_room]
            on_room()


@dataclass(slots=True, eq=False)
class _Queued:
    """A request that was read and whose response has not been written.

    Attributes:
        may_run_ahead: Whether it may run ahead and others behind it, None if not asked yet.
        was_started: Whether it was started ahead of its turn once.
        needed_bytes: What it takes of the budget, 0 unless it runs or is held ahead of its turn.
        held_bytes: Size of its response, None while there is none.
    """

    may_run_ahead: bool | None = None
    was_started: bool = False
    needed_bytes: int = 0
    held_bytes: int | None = None

    @property
    def is_ahead(self) -> bool:
        """Whether it runs or is held ahead of its turn."""
        return self.needed_bytes > 0


class PipelineWindow:
    """The unanswered requests of one connection, in the order in which they were read.

    The first one is the one whose turn it is. Others run ahead of their turn if all requests up to
    them may be run more than once, within a count and a number of bytes. The load is callers that
    send a slow request and several fast ones without waiting for responses.

    Example:
        >>> window = PipelineWindow(AheadBudget(10**7, lambda: 0), on_room=print)
        >>> [window.add() for _ in range(4)]
        [0, 1, 2, 3]
        >>> window.choose(lambda number: number != 2)
        [1]
        >>> window.remove_first()
        >>> window.remove_first(), window.remove_first()
        (None, None)
        >>> window.close()
        []
    """

    def __init__(self, budget: AheadBudget, on_room: Callable[[], object]) -> None:
        """Creates a window.

        Args:
            budget: What all connections share.
            on_room: Called when there is room for a request that found none; must return at once.
        """
        self._budget = budget
        self._on_room = on_room
        self._queue: deque[_Queued] = deque()
        self._first = 0
        self._is_closed = False
        self._held_bytes = 0
        self._running = 0
        self._expected_bytes = REQUEST_BYTES

    def add(self) -> int:
        """Adds a request that was read and returns its number."""
        self._queue.append(_Queued())
        return self._first + len(self._queue) - 1

    def choose(self, may_run_ahead: Callable[[int], bool]) -> list[int]:
        """Returns the requests to start ahead of their turn now.

        Args:
            may_run_ahead: Whether the request with a number has no body and may run more than once.
        """
        chosen: list[int] = []
        if self._is_closed or len(self._queue) < 2:
            return chosen
        for offset, item in enumerate(islice(self._queue, MAX_CONCURRENT_REQUESTS)):
            if item.may_run_ahead is None:
                item.may_run_ahead = may_run_ahead(self._first + offset)
            if not item.may_run_ahead:
                break
            if offset == 0 or item.was_started:
                continue
            if not self._has_room():
                break
            item.needed_bytes = self._budget.take(self._expected_bytes)
            if not item.is_ahead:
                self._budget.wait(self._on_room)
                break
            item.was_started = True
            self._running += 1
            chosen.append(self._first + offset)
        return chosen

    def hold(self, number: int, size_bytes: int) -> bool:
        """Records the response of a request that is ahead; returns False to drop it."""
        item = self._queue[number - self._first]
        self._expected_bytes = max(size_bytes, self._expected_bytes // 2)
        if not item.is_ahead:
            return True
        if self._held_bytes + size_bytes > MAX_HELD_BYTES:
            self._budget.learn(size_bytes)
            return False
        self._running -= 1
        item.needed_bytes = self._budget.hold(item.needed_bytes)
        item.held_bytes = size_bytes
        self._held_bytes += size_bytes
        self._budget.learn(size_bytes)
        return True

    def drop(self, number: int) -> None:
        """Records that a request no longer is ahead; it runs again when its turn comes."""
        self._end_ahead(self._queue[number - self._first])

    def take_first(self) -> None:
        """Records that the turn of the first request has come."""
        self._end_ahead(self._queue[0])

    def learn(self, size_bytes: int) -> None:
        """Records the size of a response that is written in its turn."""
        self._budget.learn(size_bytes)

    def remove_first(self) -> None:
        """Removes the first request, whose response was written."""
        self._end_ahead(self._queue.popleft())
        self._first += 1

    def close(self) -> list[int]:
        """Starts no more requests; returns those that are ahead, which have to be cancelled."""
        self._is_closed = True
        self._budget.stop_waiting(self._on_room)
        # It refers to the owner of the window.
        self._on_room = lambda: None
        ahead = []
        for offset, item in enumerate(self._queue):
            if item.is_ahead:
                ahead.append(self._first + offset)
                self._end_ahead(item)
        return ahead

    def _has_room(self) -> bool:
        """Returns whether the response of one more request is expected to fit."""
        expected = (self._running + 1) * self._expected_bytes
        return self._held_bytes + expected <= MAX_HELD_BYTES

    def _end_ahead(self, item: _Queued) -> None:
        if not item.is_ahead:
            return
        needed_bytes, item.needed_bytes = item.needed_bytes, 0
        self._budget.give_back(needed_bytes)
        if item.held_bytes is None:
            self._running -= 1
        else:
            self._held_bytes -= item.held_bytes

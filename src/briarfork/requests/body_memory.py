"""Divides a bounded number of bytes among the request bodies that a process holds."""

from __future__ import annotations

import itertools
from bisect import insort
from collections import Counter
from dataclasses import dataclass
from typing import Final

from briarfork.errors import ErrorKind
from briarfork.errors import NotRun

# Bodies up to this size never wait: a short request must not queue behind large bodies.
SMALL_BODY_BYTES: Final = 4096


@dataclass(slots=True, eq=False)
class Reservation:
    """Memory for one request body.

    Attributes:
        priority: Priority of the request, 0 is the highest.
        number: Order of arrival.
        held_bytes: Granted bytes.
        wanted_bytes: Bytes that the body still waits for, 0 if it does not wait.
    """

    priority: int
    number: int
    held_bytes: int = 0
    wanted_bytes: int = 0

    @property
    def rank(self) -> tuple[bool, int, int]:
        """Order among waiting reservations; bodies that have begun to arrive go first."""
        return not self.held_bytes, self.priority, self.number


class BodyMemory:
    """Grants memory to request bodies by priority, and by arrival within a priority.

    Example:
        >>> memory = BodyMemory(capacity_bytes=100_000)
        >>> first, second = memory.reserve(90_000, priority=1), memory.reserve(20_000, priority=1)
        >>> second.wanted_bytes
        20000
        >>> memory.release(first) == [second], second.held_bytes
        (True, 20000)
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self._used_bytes = 0
        self._numbers = itertools.count()
        self._waiting: list[Reservation] = []
        self._waiting_bytes: Counter[int] = Counter()

    @property
    def used_bytes(self) -> int:
        """Granted bytes, above the capacity only by bodies of at most `SMALL_BODY_BYTES` each."""
        return self._used_bytes

    @property
    def waiting(self) -> int:
        """Number of waiting reservations."""
        return len(self._waiting)

    def reserve(self, size_bytes: int, priority: int) -> Reservation:
        """Reserves memory for a new body; it waits if the memory is in use.

        Raises:
            NotRun: If the body can never fit, or if as many bytes as fit at a time already wait
                with the same or a higher priority.
        """
        if size_bytes > self.capacity_bytes:
            raise NotRun(
                ErrorKind.OVERLOADED,
                f"body: {size_bytes} bytes exceed the {self.capacity_bytes} bytes for bodies",
            )
        ahead = sum(size for rank, size in self._waiting_bytes.items() if rank <= priority)
        if size_bytes > SMALL_BODY_BYTES and ahead + size_bytes > self.capacity_bytes:
            raise NotRun(ErrorKind.OVERLOADED, "too many request bodies wait for memory")
        reservation = Reservation(priority, next(self._numbers))
        self._request(reservation, size_bytes)
        return reservation

    def grow(self, reservation: Reservation, size_bytes: int) -> None:
        """Requests more memory for a body of unknown length.

        Raises:
            NotRun: If the body can never fit.
        """
        if reservation.held_bytes + size_bytes > self.capacity_bytes:
            raise NotRun(ErrorKind.OVERLOADED, "body: exceeds the memory for bodies")
        self._request(reservation, size_bytes)

    def release(self, reservation: Reservation) -> list[Reservation]:
        """Frees the memory of a body, or removes it from the waiting ones.

        Returns:
            The reservations that are granted now.
        """
        if reservation.wanted_bytes:
            self._waiting.remove(reservation)
            self._waiting_bytes[reservation.priority] -= reservation.wanted_bytes
            reservation.wanted_bytes = 0
        self._used_bytes -= reservation.held_bytes
        reservation.held_bytes = 0
        granted = []
        while self._waiting and self._fits(self._waiting[0].wanted_bytes):
            granted.append(self._waiting.pop(0))
            self._waiting_bytes[granted[-1].priority] -= granted[-1].wanted_bytes
            self._grant(granted[-1])
        return granted

    def _request(self, reservation: Reservation, size_bytes: int) -> None:
        reservation.wanted_bytes = size_bytes
        is_small = reservation.held_bytes + size_bytes <= SMALL_BODY_BYTES
        is_next = not self._waiting or reservation.rank < self._waiting[0].rank
        if is_small or (is_next and self._fits(size_bytes)):
            self._grant(reservation)
            return
        self._waiting_bytes[reservation.priority] += size_bytes
        insort(self._waiting, reservation, key=lambda item: item.rank)

    def _fits(self, size_bytes: int) -> bool:
        return self._used_bytes + size_bytes <= self.capacity_bytes

    def _grant(self, reservation: Reservation) -> None:
        self._used_bytes += reservation.wanted_bytes
        reservation.held_bytes += reservation.wanted_bytes
        reservation.wanted_bytes = 0

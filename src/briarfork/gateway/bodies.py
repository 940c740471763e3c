"""Collects the bodies of requests within the memory that the gateway has for them."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Protocol

from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.requests import Deadline

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from briarfork.gateway.request import BodyPart
    from briarfork.requests import BodyMemory
    from briarfork.requests import Reservation
    from briarfork.routing import CallerLimits
    from briarfork.routing import Route

# Fraction of the latency objective that a body may wait for memory.
MEMORY_WAIT_FRACTION = 0.5
# First reservation for a body of unknown length; it is doubled whenever it is full.
UNKNOWN_LENGTH_BYTES = 65536
# Chunks are joined up to this size.
PART_BYTES = 65536


class BodySource(Protocol):
    """The body of a request, which its caller may still be sending."""

    @property
    def declared_bytes(self) -> int | None:
        """Length that the caller declared, None if it is not known in advance."""

    @property
    def has_arrived(self) -> bool:
        """Whether the end of the body has been received."""

    async def read_chunk(self) -> bytes:
        """Returns the next bytes, empty at the end of the body.

        Raises:
            NotRun: If the body is malformed.
        """


class BodyCollector:
    """Collects each body whole before a slot is requested for it.

    A slot is never held while a caller is still sending, and a body that is whole can be sent to
    another server if the first one refuses it.
    """

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._granted: dict[int, asyncio.Future[None]] = {}

    @asynccontextmanager
    async def collect(
        self, source: BodySource, limits: CallerLimits, route: Route, deadline: Deadline
    ) -> AsyncIterator[tuple[BodyPart, ...]]:
        """Yields the parts of the complete body and frees its memory afterwards.

        Args:
            source: The body.
            limits: Limits on the size of the body and on the time between two chunks.
            route: Route of the request.
            deadline: Latest time at which the body must be complete.

        Raises:
            NotRun: If the body is malformed, too long or too slow, or if no memory is free in time.
        """
        declared = source.declared_bytes
        check_length(declared or 0, limits)
        reservation = self._memory.reserve(
            UNKNOWN_LENGTH_BYTES if declared is None else declared, route.priority
        )
        try:
            wait_until = time.monotonic() + MEMORY_WAIT_FRACTION * route.objective_s
            wait_deadline = Deadline(min(wait_until, deadline.expires_at))
            await self._wait_for_memory(reservation, wait_deadline)
            parts: list[BodyPart] = []
            size = 0
            while chunk := await _read_chunk(source, limits, deadline):
                append_chunk(parts, chunk)
                size += len(chunk)
                check_length(size, limits)
                if size > reservation.held_bytes:
                    self._memory.grow(reservation, self._choose_growth(reservation, size))
                    await self._wait_for_memory(reservation, deadline)
            yield tuple(parts)
        finally:
            self._release(reservation)

    async def _wait_for_memory(self, reservation: Reservation, deadline: Deadline) -> None:
        if not reservation.wanted_bytes:
            return
        future = asyncio.get_running_loop().create_future()
        self._granted[reservation.number] = future
        try:
            async with asyncio.timeout(deadline.remaining_s(time.monotonic())):
                await future
        except TimeoutError as error:
            raise NotRun(ErrorKind.OVERLOADED, "no memory for the body became free") from error
        finally:
            del self._granted[reservation.number]

    def _choose_growth(self, reservation: Reservation, size: int) -> int:
        """Returns by how many bytes to grow a reservation: to its double, if the memory allows."""
        held = reservation.held_bytes
        return max(size - held, min(held, self._memory.capacity_bytes - held))

    def _release(self, reservation: Reservation) -> None:
        for granted in self._memory.release(reservation):
            future = self._granted.get(granted.number)
            if future is not None and not future.done():
                future.set_result(None)


def append_chunk(parts: list[BodyPart], chunk: bytes) -> None:
    """Appends a chunk to the parts of a body.

    Short chunks are joined, because each part takes memory of its own. Bodies are not joined as a
    whole: large blocks of memory, once freed, do not fit bodies of other sizes.
    """
    last = parts[-1] if parts else None
    if isinstance(last, bytearray) and len(last) + len(chunk) <= PART_BYTES:
        last += chunk
    elif len(chunk) < PART_BYTES:
        parts.append(bytearray(chunk))
    else:
        parts.append(chunk)


def check_length(size_bytes: int, limits: CallerLimits) -> None:
    """Checks the length of a body.

    Raises:
        NotRun: If it exceeds the limit.
    """
    if size_bytes > limits.body_bytes:
        raise NotRun(
            ErrorKind.BODY_TOO_LARGE,
            f"body: expected at most {limits.body_bytes} bytes, found {size_bytes}",
        )


async def _read_chunk(source: BodySource, limits: CallerLimits, deadline: Deadline) -> bytes:
    """Returns the next bytes of a body, empty at its end.

    Raises:
        NotRun: If the caller sends nothing for too long, or if the deadline expires.
    """
    try:
        async with asyncio.timeout(min(limits.idle_s, deadline.remaining_s(time.monotonic()))):
            return await source.read_chunk()
    except TimeoutError as error:
        raise NotRun(ErrorKind.REQUEST_TIMEOUT, "the body did not arrive in time") from error

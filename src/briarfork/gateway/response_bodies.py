"""Collects the bodies of responses within the memory that the gateway has for them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

from briarfork.gateway.bodies import PART_BYTES
from briarfork.gateway.bodies import append_chunk
from briarfork.requests import DropReason
from briarfork.requests import ResponseDropped
from briarfork.requests.response_memory import SMALL_RESPONSE_BYTES

if TYPE_CHECKING:
    from briarfork.gateway.request import BodyPart
    from briarfork.requests import HeldResponse
    from briarfork.requests import ResponseMemory
    from briarfork.requests import Turn

# By how much a response of unknown length grows at a time.
GROWTH_BYTES = 4 * PART_BYTES


class ResponseSource(Protocol):
    """The body of a response, which a server may still be sending."""

    @property
    def declared_bytes(self) -> int | None:
        """Length that the server declared, None if it is not known in advance."""

    @property
    def has_ended(self) -> bool:
        """Whether the end of the body has been read."""

    async def read_chunk(self, max_bytes: int) -> bytes:
        """Returns the next bytes, empty at the end of the body."""


class ResponseCollector:
    """Collects responses whole; one that waits for memory is not read meanwhile."""

    def __init__(self, memory: ResponseMemory) -> None:
        self.memory = memory
        self._granted: dict[int, asyncio.Future[None]] = {}

    def open(self, service: str, server: str, turn: Turn | None = None) -> ResponseBody:
        """Returns a body without bytes; its owner has to release it."""
        return ResponseBody(self, self.memory.open(service, server, turn))

    async def reserve(self, held: HeldResponse, size_bytes: int, grows: bool) -> None:
        """Waits until a response may take more memory.

        Raises:
            ResponseDropped: If it is longer than the limit, or given up.
        """
        is_ahead = held.is_ahead
        self.wake(self.memory.request(held, size_bytes, grows))
        # One that is given up ahead of its turn waits for the cancellation of its request, after
        # which it no longer counts as ahead.
        if held.wanted_bytes and (is_ahead or not held.is_given_up):
            future = asyncio.get_running_loop().create_future()
            self._granted[held.number] = future
            try:
                await future
            finally:
                del self._granted[held.number]
        if held.is_given_up:
            raise ResponseDropped(
                DropReason.GIVEN_UP,
                f"given up with {held.held_bytes} bytes: responses of unknown length fill the "
                "memory for responses",
            )

    def wake(self, changed: list[HeldResponse]) -> None:
        """Resumes the responses that have got memory or are given up.

        The request of a response that is given up ahead of its turn is ended.
        """
        for held in changed:
            if held.is_given_up and held.turn is not None and held.is_ahead:
                held.turn.drop()
                continue
            future = self._granted.get(held.number)
            if future is not None and not future.done():
                future.set_result(None)


class ResponseBody:
    """The body of one response and the memory that is reserved for it."""

    def __init__(self, collector: ResponseCollector, held: HeldResponse) -> None:
        self._collector = collector
        self._held = held
        # Not a variable of `collect`: an exception keeps those until it is collected as garbage.
        self._parts: list[BodyPart] = []
        self._size = 0
        # Whether it waits for memory, or did when it was cancelled.
        self.lacks_memory = False

    @property
    def parts(self) -> tuple[BodyPart, ...]:
        """What has been read, nothing after the release."""
        return tuple(self._parts)

    async def collect(self, source: ResponseSource) -> None:
        """Reads the whole body.

        Raises:
            ResponseDropped: If the body is too long or given up.
        """
        declared = source.declared_bytes
        await self._reserve(
            SMALL_RESPONSE_BYTES if declared is None else declared, declared is None
        )
        while not source.has_ended:
            if self._size == self._held.held_bytes and declared is None:
                await self._reserve(self._choose_growth(), grows=True)
            room = self._held.held_bytes - self._size
            self._append(await source.read_chunk(min(PART_BYTES, max(1, room))))
        self._collector.wake(self._collector.memory.finish(self._held, self._size))

    def release(self) -> None:
        """Frees the memory; repeated calls have no effect."""
        self._parts.clear()
        self._collector.wake(self._collector.memory.release(self._held))

    def _append(self, chunk: bytes) -> None:
        append_chunk(self._parts, chunk)
        self._size += len(chunk)

    async def _reserve(self, size_bytes: int, grows: bool) -> None:
        self.lacks_memory = True
        await self._collector.reserve(self._held, size_bytes, grows)
        self.lacks_memory = False

    def _choose_growth(self) -> int:
        """Returns by how many bytes to grow, at least one, so that the limit is noticed."""
        left = self._collector.memory.limit_bytes - self._held.held_bytes
        return max(1, min(GROWTH_BYTES, left))

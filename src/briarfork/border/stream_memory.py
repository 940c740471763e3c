"""The memory that all message streams of one server take together."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class HoldingStream(Protocol):
    """A stream that holds bytes of incomplete messages and of messages that were not sent."""

    @property
    def peer(self) -> str:
        """Address of the peer."""

    @property
    def held_bytes(self) -> int:
        """Bytes that the stream holds at present."""

    def abort(self) -> None:
        """Closes the stream and discards what it holds."""


class StreamMemory:
    """Bounds the bytes that the streams of one server hold together.

    Each stream may hold a long message, and any number of peers can connect. When the streams hold
    too much, those that hold most are closed, so that peers with short messages keep theirs.
    """

    def __init__(self, max_bytes: int, on_closed: Callable[[str, int], None]) -> None:
        """Creates a bound.

        Args:
            max_bytes: Bytes that all streams together may hold.
            on_closed: Called with the peer and the held bytes of each stream that is closed.
        """
        self._max_bytes = max_bytes
        self._on_closed = on_closed
        self._held: dict[HoldingStream, int] = {}
        self._total_bytes = 0

    def update(self, stream: HoldingStream) -> None:
        """Counts what a stream holds now, and closes streams if all of them hold too much."""
        held_bytes = stream.held_bytes
        self._total_bytes += held_bytes - self._held.get(stream, 0)
        self._held[stream] = held_bytes
        if self._total_bytes > self._max_bytes:
            self._reduce()

    def remove(self, stream: HoldingStream) -> None:
        """Forgets a stream that has ended."""
        self._total_bytes -= self._held.pop(stream, 0)

    def _reduce(self) -> None:
        # Send buffers may have been emptied since they were counted.
        self._held = {stream: stream.held_bytes for stream in self._held}
        self._total_bytes = sum(self._held.values())
        while self._total_bytes > self._max_bytes:
            largest = max(self._held, key=self._held.__getitem__)
            self._on_closed(largest.peer, self._held[largest])
            self.remove(largest)
            largest.abort()

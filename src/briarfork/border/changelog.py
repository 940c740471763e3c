"""Stores the timeline as one entry per change."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from briarfork.border.store import ABSENT
from briarfork.border.store import StoreConflict
from briarfork.border.store import StoreUnavailable
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.timeline import Change

if TYPE_CHECKING:
    from briarfork.border.store import Store

KEY_PREFIX = "changes/"
GENERATION_DIGITS = 10
PAGE_SIZE = 64
# Creating the same entry again is idempotent. Unlike a read, it also settles the outcome of an
# earlier write that is still in flight. After the last attempt the outcome is reported as unknown.
APPEND_ATTEMPTS = 5


def build_change_key(generation: int) -> str:
    """Returns the store key of a change.

    Example:
        >>> build_change_key(7)
        'changes/0000000007'
    """
    return f"{KEY_PREFIX}{generation:0{GENERATION_DIGITS}d}"


@dataclass(frozen=True, slots=True)
class ChangePage:
    """Some changes, in order of generation.

    Attributes:
        changes: The changes.
        revision: Store revision at which they were read.
        size: Length of the stored values, in characters.
        has_more: Whether the store may hold later changes.
    """

    changes: list[Change]
    revision: int
    size: int
    has_more: bool


class ChangeLog:
    """Reads and appends changes in the store."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read_after(self, generation: int) -> ChangePage:
        """Returns a page of changes after a generation.

        Raises:
            StoreUnavailable: If the store does not respond.
            BriarforkError: With kind `invalid_configuration` if a stored change is invalid.
        """
        listing = await self._store.list_range(KEY_PREFIX, build_change_key(generation), PAGE_SIZE)
        changes = [_decode(entry.value) for entry in listing.entries]
        return ChangePage(changes, listing.revision, listing.size, listing.has_more)

    async def find_latest_generation(self, known: int) -> int:
        """Returns the highest generation in the store, up to a known generation.

        Generations are consecutive, so this is a binary search. The known generation is tried
        first.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        present, absent = 0, known + 1
        while absent - present > 1:
            middle = absent - 1 if absent == known + 1 else (present + absent) // 2
            if await self._store.get(build_change_key(middle)) is None:
                absent = middle
            else:
                present = middle
        return present

    async def watch(self, revision: int) -> tuple[list[Change], int]:
        """Waits for changes after a store revision.

        Returns:
            The new changes and the store revision.

        Raises:
            ResponseTooLarge: If the new changes have to be read page by page.
            StoreUnavailable: If the store does not respond.
            BriarforkError: With kind `invalid_configuration` if a stored change is invalid.
        """
        listing = await self._store.watch(KEY_PREFIX, revision)
        return [_decode(entry.value) for entry in listing.entries], listing.revision

    async def append(self, change: Change, deadline: float) -> Change | None:
        """Commits a change by creating its entry.

        Args:
            change: The change, validated against all earlier changes.
            deadline: Monotonic time in seconds after which the validation is too old to write the
                change, because this process was paused or the store is slow.

        Returns:
            The stored change: this one or an earlier write with the same change id. None if another
            change has taken the generation or the deadline passed before the write; the change then
            has to be validated again.

        Raises:
            StoreUnavailable: If it is unknown whether the change was committed.
        """
        key = build_change_key(change.generation)
        value = msgspec.json.encode(change).decode()
        last_error: StoreUnavailable | None = None
        for _ in range(APPEND_ATTEMPTS):
            if time.monotonic() > deadline:
                break
            try:
                await self._store.put(key, value, expect=ABSENT)
                return change
            except StoreConflict:
                # An earlier attempt may have taken effect although its response was lost.
                return await self._read_stored(change)
            except StoreUnavailable as error:
                last_error = error
        if last_error is not None:
            raise last_error
        return None

    async def _read_stored(self, change: Change) -> Change | None:
        for attempt in range(APPEND_ATTEMPTS):
            try:
                entry = await self._store.get(build_change_key(change.generation))
                stored = None if entry is None else _decode(entry.value)
                return stored if stored and stored.change_id == change.change_id else None
            except StoreUnavailable:
                if attempt == APPEND_ATTEMPTS - 1:
                    raise
        return None


def _decode(value: str) -> Change:
    try:
        return msgspec.json.decode(value, type=Change)
    except (msgspec.ValidationError, msgspec.DecodeError, RecursionError) as error:
        raise BriarforkError(
            ErrorKind.INVALID_CONFIGURATION, f"the store contains an invalid change: {error}"
        ) from error

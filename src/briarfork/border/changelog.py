"""The timeline as the store keeps it: one entry for each change."""

from __future__ import annotations

import time
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

PREFIX = "changes/"
GENERATION_DIGITS = 10
READ_LIMIT = 64
# Creating the same entry again is idempotent and, unlike a read, also settles a write that is still
# on its way. After the last attempt the outcome is reported as unknown.
APPEND_ATTEMPTS = 5


def name_change(generation: int) -> str:
    """Returns the key of a change.

    Example:
        >>> name_change(7)
        'changes/0000000007'
    """
    return f"{PREFIX}{generation:0{GENERATION_DIGITS}d}"


class ChangeLog:
    """Reads and appends changes in the store."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read_after(self, generation: int) -> tuple[list[Change], int]:
        """Returns some changes after a generation, and the revision of the store.

        Raises:
            StoreUnavailable: If the store does not answer.
        """
        listing = await self._store.list_range(PREFIX, name_change(generation), READ_LIMIT)
        return [_decode(entry.value) for entry in listing.entries], listing.revision

    async def find_generation(self, known: int) -> int:
        """Returns the highest generation in the store, up to a known one.

        Generations are consecutive, so a binary search finds it; the known one is tried first.

        Raises:
            StoreUnavailable: If the store does not answer.
        """
        present, absent = 0, known + 1
        while absent - present > 1:
            middle = absent - 1 if absent == known + 1 else (present + absent) // 2
            if await self._store.get(name_change(middle)) is None:
                absent = middle
            else:
                present = middle
        return present

    async def watch(self, revision: int) -> tuple[list[Change], int]:
        """Waits for changes after a revision of the store.

        Raises:
            StoreUnavailable: If the store does not answer.
        """
        listing = await self._store.watch(PREFIX, revision)
        return [_decode(entry.value) for entry in listing.entries], listing.revision

    async def append(self, change: Change, deadline: float) -> Change | None:
        """Creates the entry of a change; this is the commit.

        Args:
            change: The change, checked against all changes before it.
            deadline: Monotonic time after which the check is too old to write the change, because
                this process was paused or the store is slow.

        Returns:
            The change as the store has it: an earlier write of the same name, or this one. None if
            another change has its generation, or the deadline has passed before it was written;
            then it has to be checked again.

        Raises:
            StoreUnavailable: If the store does not tell whether the change was accepted.
        """
        key = name_change(change.generation)
        value = msgspec.json.encode(change).decode()
        unsettled: StoreUnavailable | None = None
        for _ in range(APPEND_ATTEMPTS):
            if time.monotonic() > deadline:
                break
            try:
                await self._store.put(key, value, expect=ABSENT)
                return change
            except StoreConflict:
                # An earlier attempt may have taken effect although its answer was lost.
                return await self._find_written(change)
            except StoreUnavailable as error:
                unsettled = error
        if unsettled is not None:
            raise unsettled
        return None

    async def _find_written(self, change: Change) -> Change | None:
        for attempt in range(APPEND_ATTEMPTS):
            try:
                entry = await self._store.get(name_change(change.generation))
                written = None if entry is None else _decode(entry.value)
                return written if written and written.change_id == change.change_id else None
            except StoreUnavailable:
                if attempt == APPEND_ATTEMPTS - 1:
                    raise
        return None


def _decode(value: str) -> Change:
    try:
        return msgspec.json.decode(value, type=Change)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise BriarforkError(
            ErrorKind.INVALID_CONFIGURATION, f"the store holds a change that is not valid: {error}"
        ) from error

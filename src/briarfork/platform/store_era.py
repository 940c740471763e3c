"""The era of the platform's store, which rises when the store is restored from an older copy."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Final

from briarfork.border.events import Event
from briarfork.border.store import StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.border.events import EventLog

# Era of a store that names none; lower than any that a store names.
NO_ERA: Final = -1
# A single malformed era above all real ones would make this VM discard all later responses.
MAX_ERA: Final = 10**9


class EraEnded(Exception):
    """The era on which a call depends has ended, so its revisions or its lease mean nothing."""


class StaleResponse(StoreUnavailable):
    """The response was sent in an earlier era, so it is discarded."""


@dataclass(frozen=True, slots=True)
class StorePosition:
    """A revision together with its era; revisions of different eras are never compared."""

    era: int
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease, whose number a later era may give to another VM."""

    era: int
    number: int


class StoreEra:
    """Follows the era that the responses of the store name.

    A response without an era counts as one of the era in which its call was sent.

    Attributes:
        current: Highest era so far, `NO_ERA` if the store has named none.
    """

    def __init__(self, events: EventLog) -> None:
        self.current = NO_ERA
        # Whether the store has responded without an era.
        self._was_unnamed = False
        self._events = events
        self._ended = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls a function after each change from one era to a higher one."""
        self._listeners.append(listener)

    def observe(self, header: str | None, sent_in: int) -> int:
        """Takes note of a response and returns its era.

        Args:
            header: The value of the era header, None if the response has none.
            sent_in: Era in which the call was sent.
        """
        era = parse_era(header)
        era = sent_in if era is None else era
        self._was_unnamed = self._was_unnamed or era == NO_ERA
        if era > self.current:
            self._advance(era)
        return era

    def check(self, era: int, bound: int | None) -> None:
        """Checks that a response, or a call before it is sent, belongs to the present era.

        Args:
            era: Era of the response.
            bound: Era on which the call depends, None if it depends on none.

        Raises:
            EraEnded: If the call depends on an era that has ended.
            StaleResponse: If the response was sent in an earlier era.
        """
        if bound is not None:
            self.require(bound)
        if era < self.current:
            raise StaleResponse(f"response of era {era}, the store is in era {self.current}")

    def require(self, era: int) -> None:
        """Checks that an era has not ended.

        Raises:
            EraEnded: If it has.
        """
        if era != self.current:
            raise EraEnded(f"expected era {era}, found {self.current}")

    async def wait_for_end(self, era: int, longest_s: float) -> None:
        """Waits for a time that ends early if the era ends.

        Raises:
            EraEnded: If the era has ended.
        """
        if self.current == era:
            with suppress(TimeoutError):
                async with asyncio.timeout(longest_s):
                    await self._ended.wait()
        self.require(era)

    def _advance(self, era: int) -> None:
        earlier, self.current = self.current, era
        self._ended.set()
        self._ended = asyncio.Event()
        if not self._was_unnamed and earlier == NO_ERA:
            # The first response of a process tells the era and changes nothing.
            return
        self._events.record(Event.STORE_ERA_CHANGED, before=earlier, after=era)
        for listener in self._listeners:
            listener()


def parse_era(header: str | None) -> int | None:
    """Returns the era that a header names, None if there is none or it is malformed."""
    if header is None or not (header.isascii() and header.isdigit()):
        return None
    # The length is checked first: Python refuses to convert very long numbers.
    era = int(header) if len(header) <= len(str(MAX_ERA)) else MAX_ERA + 1
    return era if era <= MAX_ERA else None

"""Refusals of slots: cached for a short time, and passed to callers with a time to come back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Final

from briarfork.entry.slot_client import SlotRefused
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from briarfork.entry.slots import SlotKey

MAX_REFUSAL_S: Final = 0.2
# Entries are kept for each workspace that was refused; expired ones are removed beyond this number.
MAX_CACHED_REFUSALS: Final = 1024
# Callers honour Retry-After up to a third of the time that they have left. A longer forecast would
# make all of them come back at that point, whatever the spread of up to 1.5 times the forecast.
MAX_RETRY_FRACTION: Final = 1 / 3 / 1.5


@dataclass(frozen=True, slots=True)
class CachedRefusal:
    """A refusal by the owner of the slots of a zone.

    Attributes:
        until: Time up to which the zone is not asked again, in seconds.
        retry_at: Time at which the owner expects room, in seconds.
        detail: Why the owner refused.
    """

    until: float
    retry_at: float
    detail: str


class RefusalCache:
    """Caches refusals for a short time, so that full zones are not asked again at once.

    A refusal counts for one workspace only: the burst of one must not refuse the others, which may
    still get their share.
    """

    def __init__(self) -> None:
        self._refusals: dict[tuple[SlotKey, int, str], CachedRefusal] = {}

    def record(
        self, key: SlotKey, priority: int, workspace: str, refused: SlotRefused, now: float
    ) -> None:
        """Caches a refusal for half of its expected wait, at most 0.2 s.

        A refusal without an expected wait is not cached: it does not predict later decisions.
        """
        wait_s = refused.wait_s
        if wait_s <= 0.0:
            return
        if len(self._refusals) >= MAX_CACHED_REFUSALS:
            self._refusals = {
                entry: cached for entry, cached in self._refusals.items() if cached.until > now
            }
        until = now + min(MAX_REFUSAL_S, wait_s / 2)
        self._refusals[key, priority, workspace] = CachedRefusal(
            until, now + wait_s, refused.detail
        )

    def find(self, key: SlotKey, priority: int, workspace: str, now: float) -> SlotRefused | None:
        """Returns a cached refusal with the wait that is left of its forecast, or None."""
        cached = self._refusals.get((key, priority, workspace))
        if cached is None or cached.until <= now:
            return None
        return SlotRefused(ErrorKind.OVERLOADED, cached.detail, cached.retry_at - now)


class RefusalSummary:
    """Combines the refusals of several zones into the one that the caller gets."""

    def __init__(self) -> None:
        self._shortest: SlotRefused | None = None

    def add(self, refused: SlotRefused) -> None:
        """Adds the refusal of a zone; the caller gets the one with the shortest known wait."""
        if refused.wait_s > 0.0 and (
            self._shortest is None or refused.wait_s < self._shortest.wait_s
        ):
            self._shortest = refused

    def build(self, left_s: float) -> SlotRefused:
        """Returns the refusal for a caller.

        Args:
            left_s: How long the caller still waits, in seconds.
        """
        detail = "no zone has a free slot"
        if self._shortest is None:
            return SlotRefused(ErrorKind.OVERLOADED, detail)
        wait_s = min(self._shortest.wait_s, MAX_RETRY_FRACTION * left_s)
        return SlotRefused(ErrorKind.OVERLOADED, f"{detail}: {self._shortest.detail}", wait_s)

"""What the calls of this VM show about the store."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from briarfork.border.events import Event

if TYPE_CHECKING:
    from briarfork.border.events import EventLog

# The store counts as unhealthy for this long after a failed call: leases may have expired.
UNHEALTHY_S = 4.0
MS_PER_S = 1000.0


class StoreHealth:
    """Judges the store by all calls together and logs when it is lost and when it is back."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._failed_at = float("-inf")
        self._recovered_at = float("-inf")
        self._viewed_at = time.monotonic()
        self._lost = False

    def record_failure(self, reason: str) -> None:
        """Records that a call failed."""
        self._failed_at = time.monotonic()
        if not self._lost:
            self._lost = True
            age_ms = round(self.compute_view_age() * MS_PER_S)
            self._events.record(Event.STORE_LOST, reason=reason, view_age_ms=age_ms)

    def record_response(self) -> None:
        """Records that the store has answered a call."""
        if self._lost:
            self._lost = False
            self._recovered_at = time.monotonic()
            age_ms = round(self.compute_view_age() * MS_PER_S)
            self._events.record(Event.STORE_BACK, view_age_ms=age_ms)

    def record_view(self) -> None:
        """Records that a response has brought this VM's view of the store up to date."""
        self._viewed_at = time.monotonic()

    def compute_view_age(self) -> float:
        """Returns the time since the view was last known to be up to date, in seconds."""
        return time.monotonic() - self._viewed_at

    def find_recovery(self) -> float:
        """Returns when the store responded again after its last loss, or now while it is lost."""
        return time.monotonic() if self._lost else self._recovered_at

    def is_healthy(self) -> bool:
        """Returns whether no call has failed recently."""
        return time.monotonic() - self._failed_at > UNHEALTHY_S

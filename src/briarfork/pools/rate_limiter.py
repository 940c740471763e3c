"""Limits the request rate of a backend server that names a limit."""

from __future__ import annotations

from typing import Final

# For a moment two VMs may both act as owner of the slots. With this factor, two owners together
# stay below 1.5 times the limit.
RATE_FACTOR: Final = 0.75
# Requests that may be sent at once after a time without requests.
MAX_BURST: Final = 2.0
# The same for a share of a limit.
MAX_SHARE_BURST: Final = 1.0
# A share that no request has asked for in this time starts again with its phase at most. Requests
# that wait for a share ask about every 0.8 s (`permit_silence`).
SHARE_IDLE_S: Final = 2.0


class RateLimiter:
    """Token bucket for the requests to one server.

    Attributes:
        per_s: Requests per second that the server accepts.

    Example:
        >>> limiter = RateLimiter(per_s=2.0, now=0.0)
        >>> [(limiter.allows(0.0), limiter.record(0.0))[0] for _ in range(2)]
        [True, True]
        >>> limiter.allows(0.0), limiter.allows(0.5), limiter.allows(0.7)
        (False, False, True)
    """

    __slots__ = ("_asked_at", "_max_tokens", "_share_phase", "_tokens", "_updated_at", "per_s")

    def __init__(self, per_s: float, now: float, *, share_phase: float | None = None) -> None:
        """Creates a limiter.

        Args:
            per_s: Requests per second that may be sent.
            now: Time, in seconds.
            share_phase: For one VM's share of a limit, the fraction of a request that it starts
                with, also after a time without requests. It differs between VMs, so that their
                bursts do not add up.
        """
        self.per_s = per_s
        self._max_tokens = MAX_BURST if share_phase is None else MAX_SHARE_BURST
        self._tokens = MAX_BURST if share_phase is None else share_phase
        self._updated_at = now
        self._share_phase = share_phase
        self._asked_at = now

    @property
    def usable_per_s(self) -> float:
        """Requests per second that are allowed in the long run."""
        return RATE_FACTOR * self.per_s

    def allows(self, now: float) -> bool:
        """Returns whether another request may be sent now."""
        if self._share_phase is not None and now - self._asked_at > SHARE_IDLE_S:
            self._tokens = min(self._share_phase, self._count_tokens(now))
            self._updated_at = now
        self._asked_at = now
        return self._count_tokens(now) >= 1.0

    def record(self, now: float) -> None:
        """Records that a request is sent."""
        self._tokens = self._count_tokens(now) - 1.0
        self._updated_at = now

    def _count_tokens(self, now: float) -> float:
        added = self.usable_per_s * max(0.0, now - self._updated_at)
        return min(self._max_tokens, self._tokens + added)

"""The deadline of a request, which is propagated between processes as the remaining time."""

from __future__ import annotations

from dataclasses import dataclass

from briarfork.errors import ErrorKind
from briarfork.errors import NotRun

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Deadline:
    """A point in time on the monotonic clock.

    Attributes:
        expires_at: Time of expiry, in seconds.

    Example:
        >>> Deadline.after_ms(250, now=10.0).remaining_ms(now=10.1)
        150
    """

    expires_at: float

    @classmethod
    def after_ms(cls, milliseconds: float, now: float) -> Deadline:
        """Returns a deadline that expires in a number of milliseconds."""
        return cls(now + milliseconds / MS_PER_S)

    @classmethod
    def parse(cls, header: str | None, limit_ms: int, now: float) -> Deadline:
        """Parses the remaining time from a header value.

        Args:
            header: Value of `Briarfork-Deadline-Ms`, or None if the request has no such header.
            limit_ms: Upper limit in milliseconds, which applies also without a header.
            now: Time, in seconds on the monotonic clock.

        Raises:
            NotRun: If the value is not a whole number of milliseconds or the deadline has expired.
        """
        if header is None:
            return cls.after_ms(limit_ms, now)
        if not (header.isascii() and header.removeprefix("-").isdigit() and len(header) <= 12):
            raise NotRun(
                ErrorKind.BAD_REQUEST,
                f"Briarfork-Deadline-Ms: expected milliseconds, found {header[:40]!r}",
            )
        if int(header) <= 0:
            raise NotRun(ErrorKind.DEADLINE_EXPIRED, "the deadline had expired on arrival")
        return cls.after_ms(min(int(header), limit_ms), now)

    def halve(self, now: float) -> Deadline:
        """Returns a deadline after half of the remaining time, until which to wait for a slot.

        A request that waits longer may reach its deadline at the server, where it uses capacity
        and ends with an unknown outcome.
        """
        return Deadline(now + self.remaining_s(now) / 2)

    def has_expired(self, now: float) -> bool:
        """Returns whether the deadline has expired."""
        return now >= self.expires_at

    def remaining_s(self, now: float) -> float:
        """Returns the remaining time in seconds, at least 0."""
        return max(0.0, self.expires_at - now)

    def remaining_ms(self, now: float) -> int:
        """Returns the remaining time in milliseconds, rounded, at least 0."""
        return round(self.remaining_s(now) * MS_PER_S)

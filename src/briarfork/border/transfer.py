"""The timeout of a call to the store or the platform, whose response may be long."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Longest time for the body of a response that keeps arriving: the longest one takes 14 s on a link
# of 5 Mbit/s, and the store may keep its history for 20 s.
TRANSFER_S = 15.0


@dataclass(frozen=True, slots=True)
class TransferTime:
    """How long a call took.

    Attributes:
        call_s: Time from the beginning of the call, in seconds.
        body_s: Time from the header of the response on, in seconds.
    """

    call_s: float
    body_s: float


class Transfer:
    """The timeout of a call, which is extended while the body of its response arrives.

    A response of a few megabytes takes seconds on a slow link, or from another region.

    Attributes:
        timeout: The timeout, to be entered when the call begins.
    """

    def __init__(
        self, timeout_s: float, pause_s: float, on_part: Callable[[], None] | None = None
    ) -> None:
        """Creates a timeout.

        Args:
            timeout_s: Longest time until the body begins.
            pause_s: Longest time between two parts of the body.
            on_part: Called after each part of the body.
        """
        self._pause_s = pause_s
        self._on_part = on_part
        self._began_at = self._body_began_at = asyncio.get_running_loop().time()
        self._expires_at = self._began_at + timeout_s
        self.timeout = asyncio.timeout_at(self._expires_at)

    def begin_body(self) -> None:
        """Records that the header of the response has arrived."""
        self._body_began_at = asyncio.get_running_loop().time()

    def measure(self) -> TransferTime:
        """Returns how long the call has taken so far."""
        now = asyncio.get_running_loop().time()
        return TransferTime(now - self._began_at, now - self._body_began_at)

    def extend(self) -> None:
        """Extends the timeout because a part of the body has arrived."""
        when = asyncio.get_running_loop().time() + self._pause_s
        when = min(max(when, self._expires_at), self._expires_at + TRANSFER_S)
        self.timeout.reschedule(when)
        if self._on_part is not None:
            self._on_part()

"""Permits that are granted and not yet released, and those whose requester was lost."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from briarfork.pools.permit import HeldPermit
    from briarfork.pools.permit import Requester

# A requester whose stream was closed reconnects and declares its permits within this time, unless
# its process died. In that case its connections to the servers are closed as well, which cancels
# its requests there.
ORPHAN_GRACE_S: Final = 2.0


class HeldPermits:
    """The held permits of one queue by name."""

    def __init__(self) -> None:
        self._permits: dict[str, HeldPermit] = {}
        self._next_orphan_expiry = math.inf

    def __len__(self) -> int:
        return len(self._permits)

    def __getitem__(self, permit: str) -> HeldPermit:
        return self._permits[permit]

    def add(self, permit: str, held: HeldPermit) -> None:
        """Adds a permit."""
        self._permits[permit] = held

    def pop(self, permit: str) -> HeldPermit | None:
        """Removes and returns a permit, or returns None if it is unknown."""
        return self._permits.pop(permit, None)

    def change_requester(self, permit: str, requester: Requester) -> bool:
        """Moves a permit to the stream that declares it; returns whether the permit is known."""
        held = self._permits.get(permit)
        if held is None:
            return False
        held.requester = requester
        held.orphaned_until = math.inf
        return True

    def list_of_earlier_streams(self, requester: Requester) -> list[str]:
        """Returns the permits of a VM's earlier streams that its new stream has not declared."""
        return [
            permit
            for permit, held in self._permits.items()
            if held.requester.vm == requester.vm and held.requester != requester
        ]

    def orphan(self, requester: Requester, silent: bool, now: float) -> None:
        """Keeps the permits of a lost stream for a time, because its requests may still run.

        They are kept until the requester declares them again, or for a grace period if the stream
        was closed. If the stream went silent, they are kept until the requests have expired,
        because a process that is paused or partitioned keeps its connections to the servers.
        """
        for held in self._permits.values():
            if held.requester == requester:
                grace_end = now + ORPHAN_GRACE_S
                request_end = held.expires_at if held.expires_at < math.inf else grace_end
                held.orphaned_until = max(request_end, grace_end) if silent else grace_end
                self._next_orphan_expiry = min(self._next_orphan_expiry, held.orphaned_until)

    def list_expired_orphans(self, now: float) -> list[str]:
        """Returns the permits that are no longer kept for a lost stream; they must be released."""
        if now < self._next_orphan_expiry:
            return []
        ends = (held.orphaned_until for held in self._permits.values())
        self._next_orphan_expiry = min((end for end in ends if end > now), default=math.inf)
        return [permit for permit, held in self._permits.items() if held.orphaned_until <= now]

"""Chooses the owners of credit and sends them messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarfork.border.streams import StreamClosed
from briarfork.membership import put_fast_members_first
from briarfork.membership import rank_members

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.border.messages import CreditAsk
    from briarfork.gateway.permits import GatewayPermits
    from briarfork.gateway.view import GatewayView
    from briarfork.membership import Member

# VMs that are tried as owners, before a VM uses its own entitlement alone.
MAX_CANDIDATES = 3
# A stream to a VM that runs is open after this time: two round trips to another region and a
# message of the owner.
CONNECT_S = 1.0
# An owner that was silent is not chosen again for this time, also if its stream is still open.
AVOID_S = 2.0


class CreditLinks:
    """Finds the owner of a shard for a zone and for the fleet, among the VMs that answer."""

    def __init__(
        self,
        view: GatewayView,
        permits: GatewayPermits,
        send_locally: Callable[[CreditAsk], None],
    ) -> None:
        """Creates the links.

        Args:
            view: This VM's view of the members.
            permits: Holds the streams to other VMs.
            send_locally: Handles a message to this VM itself.
        """
        self.vm = view.settings.vm
        self._view = view
        self._permits = permits
        self._send_locally = send_locally
        self._members: dict[str, Member] | None = None
        self._ranked: dict[tuple[int, bool], list[Member]] = {}
        self._opened_at: dict[str, float] = {}
        self._avoid_until: dict[str, float] = {}

    def find_owner(self, shard: int, fleet: bool, now: float) -> str:
        """Returns the owner of a shard for this VM's zone or for the fleet.

        It is this VM if no candidate answers, and empty while the stream to a candidate is opened.
        """
        for member in self.rank(shard, fleet)[:MAX_CANDIDATES]:
            if member.vm == self.vm:
                return self.vm
            link = self._permits.open_link(member)
            opened_at = self._opened_at.setdefault(member.vm, now)
            if now < self._avoid_until.get(member.vm, now):
                continue
            if link.is_open:
                return member.vm
            if now - opened_at < CONNECT_S:
                return ""
        return self.vm

    def avoid(self, owner: str, now: float) -> None:
        """Leaves an owner out that was silent."""
        self._avoid_until[owner] = now + AVOID_S

    def send(self, owner: str, message: CreditAsk) -> None:
        """Sends a message; one that cannot be sent stays without an answer."""
        if owner == self.vm:
            self._send_locally(message)
            return
        member = self._view.members.get(owner)
        if member is None:
            return
        try:
            self._permits.open_link(member).send(message)
        except StreamClosed:
            return

    def rank(self, shard: int, fleet: bool) -> list[Member]:
        """Returns the candidates for the owner of a shard, the best first."""
        if self._view.members is not self._members:
            self._members = self._view.members
            self._ranked.clear()
            for known in (self._opened_at, self._avoid_until):
                for vm in [vm for vm in known if vm not in self._view.members]:
                    del known[vm]
        key = (shard, fleet)
        if key not in self._ranked:
            location = self._view.location
            if fleet:
                members = self._view.list_fast_entries()
                ranked = rank_members(f"credit|{shard}", members)
            else:
                members = self._view.order_entries(location.zone, location.region)
                ranked = rank_members(f"credit|{shard}|{location.zone}", members)
            # A decision on credit may take 55 ms, and a body on a slow link takes longer.
            self._ranked[key] = put_fast_members_first(ranked)
        return self._ranked[key]

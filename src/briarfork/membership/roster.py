"""The roster of members, merged from several sources."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from briarfork.hashing import hash_text
from briarfork.membership.member import Member
from briarfork.membership.member import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

ZONE_NEIGHBOURS = 3
REMOTE_NEIGHBOURS = 2
FOLLOWERS_PER_ZONE = 2


def rank_members(key: str, members: Iterable[Member]) -> list[Member]:
    """Orders members for a key by rendezvous hashing, the owner first."""
    return sorted(
        members,
        key=lambda member: (hash_text(f"{key}|{member.vm}"), member.vm),
    )


class Roster:
    """All members that this VM knows, itself included.

    Records are merged by incarnation, version and state, so the order in which they arrive does
    not matter.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members: dict[str, Member] = {own.vm: own}
        self._heard_at: dict[str, float] = {}

    def merge(self, records: Iterable[Member]) -> list[Member]:
        """Merges records and returns those that changed the roster.

        A record that calls this VM suspect or dead is refuted by a higher version.
        """
        changed = []
        for record in records:
            known = self._members.get(record.vm)
            if known is not None and not record.supersedes(known):
                continue
            if record.vm == self.own.vm:
                if record.incarnation > self.own.incarnation:
                    continue
                record = self._replace_own(version=record.version + 1)
            self._members[record.vm] = record
            changed.append(record)
        return changed

    def leave(self) -> Member:
        """Marks this VM as leaving."""
        return self._replace_own(state=MemberState.LEAVING, version=self.own.version + 1)

    def set_serving(self, serving: bool) -> Member:
        """Records whether the entry process of this VM runs."""
        if serving == self.own.serving:
            return self.own
        return self._replace_own(serving=serving, version=self.own.version + 1)

    def hear(self, vm: str, now: float) -> None:
        """Records direct evidence that a member is alive."""
        self._heard_at[vm] = now

    def suspect_silent(self, peers: Sequence[str], silence_s: float, now: float) -> list[Member]:
        """Marks peers that were not heard within the silence limit.

        If most of the peers are silent at the same time, this VM is more likely the one that is
        cut off, so nobody is marked.
        """
        silent = [vm for vm in peers if now - self._heard_at.get(vm, now) > silence_s]
        if len(peers) > 1 and 2 * len(silent) > len(peers):
            return []
        suspected = [
            self._members[vm].with_state(MemberState.SUSPECT)
            for vm in silent
            if vm in self._members and self._members[vm].state is MemberState.LIVE
        ]
        return self.merge(suspected)

    def remove_absent(self, listed: set[str]) -> list[str]:
        """Forgets suspect members that the platform no longer lists; returns their names."""
        absent = [
            vm
            for vm, member in self._members.items()
            if vm not in listed
            and vm != self.own.vm
            and member.state in (MemberState.SUSPECT, MemberState.LEAVING, MemberState.DEAD)
        ]
        for vm in absent:
            del self._members[vm]
            self._heard_at.pop(vm, None)
        return absent

    def find(self, vm: str) -> Member | None:
        """Returns the record of a VM, or None if it is unknown."""
        return self._members.get(vm)

    def list_all(self) -> list[Member]:
        """Returns all members, sorted by name."""
        return [self._members[vm] for vm in sorted(self._members)]

    def list_live(self, zone: str | None = None) -> list[Member]:
        """Returns the live members, of one zone or of all."""
        return [
            member
            for member in self.list_all()
            if member.state is MemberState.LIVE and zone in (None, member.zone)
        ]

    def list_serving(self) -> list[Member]:
        """Returns the live members whose entry process runs."""
        return [member for member in self.list_live() if member.serving]

    def list_followers(self, zone: str) -> list[Member]:
        """Returns the members of a zone that follow the store."""
        candidates = [member for member in self.list_serving() if member.zone == zone]
        return rank_members(f"follow|{zone}", candidates)[:FOLLOWERS_PER_ZONE]

    def is_follower(self) -> bool:
        """Returns whether this VM follows the store for its zone."""
        return any(member.vm == self.own.vm for member in self.list_followers(self.own.zone))

    def list_neighbours(self) -> list[Member]:
        """Returns the members to which this VM keeps a stream.

        The next member in the ring of the zone and of all members keeps the graph connected; the
        others, chosen by rendezvous hashing, keep the paths short. Suspect members are included,
        so that the streams return after a partition.
        """
        reachable = (MemberState.LIVE, MemberState.SUSPECT)
        others = [
            member
            for member in self.list_all()
            if member.state in reachable and member.vm != self.own.vm
        ]
        mates = [member for member in others if member.zone == self.own.zone]
        remote = [member for member in others if member.zone != self.own.zone]
        chosen = rank_members(self.own.vm, mates)[:ZONE_NEIGHBOURS]
        chosen += rank_members(self.own.vm, remote)[:REMOTE_NEIGHBOURS]
        chosen += _find_next(self.own.vm, mates) + _find_next(self.own.vm, others)
        return [self._members[vm] for vm in sorted({member.vm for member in chosen})]

    def _replace_own(self, **fields: object) -> Member:
        self.own = replace(self.own, **fields)  # type: ignore[arg-type]
        self._members[self.own.vm] = self.own
        return self.own


def _find_next(vm: str, members: Sequence[Member]) -> list[Member]:
    """Returns the member that follows a name in the sorted ring, as a list of at most one."""
    if not members:
        return []
    ordered = sorted(members, key=lambda member: member.vm)
    later = [member for member in ordered if member.vm > vm]
    return later[:1] or ordered[:1]

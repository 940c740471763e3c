"""The roster of cluster members, with failure detection and selection of neighbours."""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right
from bisect import insort
from dataclasses import replace
from heapq import nsmallest
from typing import TYPE_CHECKING

from briarfork.hashing import hash_text
from briarfork.membership.digest import Digest
from briarfork.membership.digest import find_bucket
from briarfork.membership.member import Member
from briarfork.membership.member import MemberState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

ZONE_NEIGHBOURS = 3
REMOTE_NEIGHBOURS = 2
FOLLOWERS_PER_ZONE = 2
# Maximum factor on the silence limit. At a limit of 3 s, a member that only other VMs can reach is
# suspected once a minute.
MAX_LIMIT_FACTOR = 20
REACHABLE_STATES = (MemberState.LIVE, MemberState.SUSPECT)


def rank_members(key: str, members: Iterable[Member]) -> list[Member]:
    """Returns the members in order of rendezvous hashing for a key, the owner first."""
    return sorted(
        members,
        key=lambda member: (hash_text(f"{key}|{member.vm}"), member.vm),
    )


def _select_first(key: str, members: Iterable[Member], count: int) -> list[Member]:
    """Returns the first members in order of rendezvous hashing without sorting all of them."""
    return nsmallest(count, members, lambda member: (hash_text(f"{key}|{member.vm}"), member.vm))


class Roster:
    """All known members, including this VM.

    Of several records of a VM, the one that is highest in a total order is kept, so the order in
    which records arrive does not matter.

    Attributes:
        own: Record of this VM.
        digest: Digest of all records.
        revision: Incremented with every change of the roster.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.digest = Digest()
        self.revision = 0
        self._members: dict[str, Member] = {}
        self._names: list[str] = []
        self._not_live: set[str] = set()
        self._zones: dict[str, list[str]] = {}
        self._heard_at: dict[str, float] = {}
        self._limit_factors: dict[str, int] = {}
        self._neighbours: tuple[int, list[Member]] = (-1, [])
        self._followers: tuple[int, list[Member]] = (-1, [])
        self._put(own)

    def merge(self, records: Iterable[Member]) -> list[Member]:
        """Merges records and returns those that changed the roster.

        A record that reports this VM as suspect or dead is refuted with a higher version. One that
        reports it as leaving is accepted, because leaving is final within an incarnation.
        """
        changed = []
        for record in records:
            known = self._members.get(record.vm)
            if known is not None and not record.supersedes(known):
                continue
            if record.vm == self.own.vm:
                changed.append(self._refute(record))
            else:
                self._raise_limit_factor(known, record)
                self._put(record)
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

    def record_heartbeat(self, vm: str, now: float) -> None:
        """Records that a message arrived directly from a member, so it is alive."""
        self._heard_at[vm] = now
        self._limit_factors.pop(vm, None)

    def reset_silence_timers(self) -> None:
        """Restarts the silence timers of all members, after this VM itself was paused."""
        self._heard_at.clear()

    def suspect_silent(self, peers: Sequence[str], silence_s: float, now: float) -> list[Member]:
        """Marks peers as suspect that have been silent for longer than the limit.

        The timer of a peer that has never been heard starts with the first call that names it. If
        more than half of the peers are silent at the same time, this VM is more likely to be
        partitioned, so no peer is marked.

        Args:
            peers: Names of the members that are expected to send heartbeats to this VM.
            silence_s: Silence limit in seconds.
            now: Time, in seconds on the monotonic clock.

        Returns:
            The records that changed.
        """
        silent = [
            vm
            for vm in peers
            if now - self._heard_at.setdefault(vm, now) > silence_s * self._limit_factors.get(vm, 1)
        ]
        if len(peers) > 1 and 2 * len(silent) > len(peers):
            return []
        suspected = [
            self._members[vm].with_state(MemberState.SUSPECT)
            for vm in silent
            if vm in self._members and self._members[vm].state is MemberState.LIVE
        ]
        return self.merge(suspected)

    def remove_absent(self, is_listed: Callable[[str], bool]) -> list[str]:
        """Removes members that are neither live nor listed, and returns their names."""
        absent = [vm for vm in sorted(self._not_live - {self.own.vm}) if not is_listed(vm)]
        for vm in absent:
            self._remove(vm)
        return absent

    def find(self, vm: str) -> Member | None:
        """Returns the record of a VM, or None if it is unknown."""
        return self._members.get(vm)

    def find_by_address(self, address: str, port: int) -> str | None:
        """Returns the member that has announced itself with a control address, None if none has."""
        for member in self._members.values():
            if (member.address, member.ports["control"]) == (address, port) and member.incarnation:
                return member.vm
        return None

    def list_all(self, buckets: set[int] | None = None) -> list[Member]:
        """Returns all members, or those in the given buckets of the digest, sorted by name."""
        return [
            self._members[vm] for vm in self._names if buckets is None or find_bucket(vm) in buckets
        ]

    def list_live(self, zone: str | None = None) -> list[Member]:
        """Returns the live members of one zone or of all zones."""
        return [
            member
            for member in self.list_all()
            if member.state is MemberState.LIVE and zone in (None, member.zone)
        ]

    def count_live(self) -> int:
        """Returns the number of live members."""
        return len(self._names) - len(self._not_live)

    def list_serving(self) -> list[Member]:
        """Returns the live members whose entry process runs."""
        return [member for member in self.list_live() if member.serving]

    def list_followers(self, zone: str) -> list[Member]:
        """Returns the members of a zone that follow the store."""
        candidates = [member for member in self.list_serving() if member.zone == zone]
        return rank_members(f"follow|{zone}", candidates)[:FOLLOWERS_PER_ZONE]

    def is_follower(self) -> bool:
        """Returns whether this VM follows the store for its zone."""
        if self._followers[0] != self.revision:
            self._followers = (self.revision, self.list_followers(self.own.zone))
        return any(member.vm == self.own.vm for member in self._followers[1])

    def list_neighbours(self) -> list[Member]:
        """Returns the members to which this VM keeps a stream.

        Streams to the next live member in the ring of the zone and in the ring of all members keep
        the graph connected. Streams to members selected by rendezvous hashing keep its paths
        short. Suspect members are included, so that streams are restored after a partition.
        """
        if self._neighbours[0] != self.revision:
            self._neighbours = (self.revision, self._select_neighbours())
        return self._neighbours[1]

    def list_ring_successors(self, vm: str) -> list[Member]:
        """Returns the successors of a VM in the ring of its zone and in the ring of all members.

        In each ring, these are the next live or suspect member and the next live member.
        """
        zone = self._members[vm].zone
        chosen = []
        for names in (self._zones[zone], self._names):
            for states in (REACHABLE_STATES, (MemberState.LIVE,)):
                chosen += self._find_successor(vm, names, states)
        return chosen

    def _find_successor(
        self, vm: str, names: Sequence[str], states: Sequence[MemberState]
    ) -> list[Member]:
        start = bisect_right(names, vm)
        for offset in range(len(names)):
            member = self._members[names[(start + offset) % len(names)]]
            if member.vm != vm and member.state in states:
                return [member]
        return []

    def _select_neighbours(self) -> list[Member]:
        others = [
            member
            for member in self._members.values()
            if member.state in REACHABLE_STATES and member.vm != self.own.vm
        ]
        zone_members = [member for member in others if member.zone == self.own.zone]
        remote = [member for member in others if member.zone != self.own.zone]
        chosen = _select_first(self.own.vm, zone_members, ZONE_NEIGHBOURS)
        chosen += _select_first(self.own.vm, remote, REMOTE_NEIGHBOURS)
        chosen += self.list_ring_successors(self.own.vm)
        return [self._members[vm] for vm in sorted({member.vm for member in chosen})]

    def _raise_limit_factor(self, known: Member | None, record: Member) -> None:
        """Doubles the silence limit of a suspect member that refuted through other members.

        Otherwise its state would flap while two regions are disconnected from each other but both
        reach a third.
        """
        if known is None or known.state is not MemberState.SUSPECT:
            return
        if record.state is MemberState.LIVE and record.incarnation == known.incarnation:
            factor = self._limit_factors.get(record.vm, 1)
            self._limit_factors[record.vm] = min(MAX_LIMIT_FACTOR, 2 * factor)
            self._heard_at.pop(record.vm, None)

    def _refute(self, record: Member) -> Member:
        """Replaces this VM's record after another VM sent one that supersedes it.

        A higher incarnation comes from a former process whose clock was ahead.
        """
        if record.state is MemberState.LEAVING and record.incarnation == self.own.incarnation:
            version = max(self.own.version, record.version) + 1
            return self._replace_own(state=MemberState.LEAVING, version=version)
        if record.incarnation > self.own.incarnation:
            return self._replace_own(incarnation=record.incarnation + 1, version=1)
        return self._replace_own(version=record.version + 1)

    def _replace_own(self, **fields: object) -> Member:
        self.own = replace(self.own, **fields)  # type: ignore[arg-type]
        self._put(self.own)
        return self.own

    def _put(self, member: Member) -> None:
        self._remove(member.vm, keep_liveness=True)
        self._members[member.vm] = member
        insort(self._names, member.vm)
        if member.state is not MemberState.LIVE:
            self._not_live.add(member.vm)
        insort(self._zones.setdefault(member.zone, []), member.vm)
        self.digest.toggle(member.vm, _build_digest_content(member))
        self.revision += 1

    def _remove(self, vm: str, keep_liveness: bool = False) -> None:
        known = self._members.pop(vm, None)
        if known is not None:
            self._not_live.discard(vm)
            del self._names[bisect_left(self._names, vm)]
            zone_members = self._zones[known.zone]
            del zone_members[bisect_left(zone_members, vm)]
            self.digest.toggle(vm, _build_digest_content(known))
            self.revision += 1
        if not keep_liveness:
            self._heard_at.pop(vm, None)
            self._limit_factors.pop(vm, None)


def _build_digest_content(member: Member) -> str:
    return f"{member.incarnation}|{member.version}|{member.state.value}|{member.serving}"

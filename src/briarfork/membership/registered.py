"""The registered entry VMs, also while a store that was restored from an older copy lacks some."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarfork.membership.member import Member

# Members that have ended are remembered for this long; copies are some seconds old.
ENDED_MEMBER_MEMORY_S: Final = 60.0
# An entry of the copy that nobody renews expires with its lease, and is then seen to be deleted
# within this time.
EXPIRY_MARGIN_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class EndedMember:
    """A member whose entry has disappeared.

    Attributes:
        member: The member as it was last known.
        at: Time of its end, in seconds on the monotonic clock.
    """

    member: Member
    at: float


@dataclass(slots=True)
class RegisteredMembers:
    """Entry VMs according to their entries in the store.

    A store that is restored from an older copy begins a new era. A member that the copy lacks, or
    shows as it was before a restart, is kept until it has had time to register again. A member that
    the copy shows although it has ended is not used unless its entry is written anew or outlives
    its lease. So the owners of slots do not change when the store is restored.

    Attributes:
        lease_s: Time-to-live of an entry without a renewal, in seconds.
        current: The members by name.
    """

    lease_s: float
    current: dict[str, Member] = field(default_factory=dict)
    # Members as they were before the era, with entries of the copy that are older, if it has any.
    _kept: dict[str, Member | None] = field(default_factory=dict)
    # Entries of members that have ended.
    _held: dict[str, Member] = field(default_factory=dict)
    _ended: dict[str, EndedMember] = field(default_factory=dict)
    _era_began_at: float = -math.inf

    def begin_era(self, now: float) -> None:
        """Prepares for a listing of a store that was restored from a copy.

        Args:
            now: Time, in seconds on the monotonic clock.
        """
        self._era_began_at = now

    def record_outage(self, ended_at: float) -> None:
        """Gives the time to register anew, as nobody can register during an outage of the store.

        Args:
            ended_at: Time at which the outage ended, in seconds on the monotonic clock.
        """
        if self._kept or self._held:
            self._era_began_at = max(self._era_began_at, ended_at)

    def replace(self, shown: Mapping[str, Member | None], now: float) -> None:
        """Applies all entries that the store shows.

        Args:
            shown: Members by name, None for those whose entries are invalid.
            now: Time, in seconds on the monotonic clock.
        """
        is_registering = now < self._era_began_at + self.lease_s
        self._held = {name: item for name, item in self._held.items() if name in shown}
        for name in [name for name in self.current if name not in shown]:
            if is_registering:
                self._kept[name] = None
            else:
                self._end(name, now)
        for name, member in shown.items():
            if member is not None:
                self.show(name, member, now)

    def show(self, name: str, member: Member, now: float) -> None:
        """Applies an entry that a listing shows.

        Args:
            name: Name of the member.
            member: The member.
            now: Time, in seconds on the monotonic clock.
        """
        is_registering = now < self._era_began_at + self.lease_s
        known = self.current.get(name)
        if self._is_of_copy(name, member, is_registering):
            self._held[name] = member
        elif is_registering and known is not None and known.supersedes(member):
            self._kept[name] = member
        else:
            self.put(name, member)

    def put(self, name: str, member: Member) -> None:
        """Applies an entry that was written."""
        self.current[name] = member
        self._kept.pop(name, None)
        self._held.pop(name, None)
        self._ended.pop(name, None)

    def remove(self, name: str, now: float) -> None:
        """Applies the deletion of an entry.

        Args:
            name: Name of the member.
            now: Time, in seconds on the monotonic clock.
        """
        self._held.pop(name, None)
        if name in self._kept:
            # Only the entry of the copy has ended.
            self._kept[name] = None
        else:
            self._end(name, now)

    def expire(self, now: float) -> bool:
        """Ends the exceptions after a restore, and returns whether that changed the members.

        Args:
            now: Time, in seconds on the monotonic clock.
        """
        oldest = now - ENDED_MEMBER_MEMORY_S
        self._ended = {
            name: item
            for name, item in self._ended.items()
            if item.at > oldest or name in self._held
        }
        due: dict[str, Member | None] = {}
        if now >= self._era_began_at + self.lease_s:
            due |= self._kept
            self._kept = {}
        if now >= self._era_began_at + self.lease_s + EXPIRY_MARGIN_S:
            due |= self._held
            self._held = {}
        for name, member in due.items():
            if member is None:
                self._end(name, now)
            else:
                self.put(name, member)
        return bool(due)

    def list_kept(self) -> list[str]:
        """Returns the members that are kept although the restored store does not show them."""
        return sorted(self._kept)

    def list_held(self) -> list[str]:
        """Returns the members that the restored store shows although they have ended."""
        return sorted(self._held)

    def _is_of_copy(self, name: str, member: Member, is_registering: bool) -> bool:
        """Returns whether the entry of a member that has ended comes from the copy."""
        ended = self._ended.get(name)
        may_return = is_registering or name in self._held
        return ended is not None and may_return and not member.supersedes(ended.member)

    def _end(self, name: str, now: float) -> None:
        self._kept.pop(name, None)
        member = self.current.pop(name, None)
        if member is not None:
            self._ended[name] = EndedMember(member, now)

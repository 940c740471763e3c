"""Selects the entry VMs of an availability zone that callers are directed to."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from briarfork.membership.member import Member

# Links below this fraction of the fastest one of the zone are slow: they delay each body twice.
FAST_LINK_FRACTION: Final = 0.5
# Part of the zone's processors that the VMs with fast links must have to serve all its callers.
MIN_PROCESSOR_FRACTION: Final = 1 / 3
# With one VM alone, its callers would know no other when it fails.
MIN_FAST_MEMBERS: Final = 2


def select_fast_members(members: Sequence[Member]) -> Sequence[Member]:
    """Returns the members with fast links if these can carry the load, else all members.

    Members that do not tell their link or their processor are of an earlier version; among them,
    all members are returned.
    """
    if not all(member.link_mbps and member.cores for member in members):
        return members
    fast = [member for member in members if not _is_slow(member, members)]
    cores = sum(member.cores for member in members)
    has_cores = sum(member.cores for member in fast) >= MIN_PROCESSOR_FRACTION * cores
    return fast if has_cores and len(fast) >= MIN_FAST_MEMBERS else members


def put_fast_members_first(members: Sequence[Member]) -> list[Member]:
    """Returns the members in the same order, but those with slow links after the others.

    For work of few bytes that must not wait behind bodies on a slow link, and that a single VM of a
    zone can do.
    """
    return sorted(members, key=lambda member: _is_slow(member, members))


def _is_slow(member: Member, members: Sequence[Member]) -> bool:
    fastest = max((item.link_mbps for item in members), default=0.0)
    return member.link_mbps < FAST_LINK_FRACTION * fastest

"""Membership of entry VMs and the replicated list of all VMs."""

from briarfork.membership.capacity import put_fast_members_first
from briarfork.membership.capacity import select_fast_members
from briarfork.membership.directory import Directory
from briarfork.membership.directory import ListedVm
from briarfork.membership.directory import ListRecord
from briarfork.membership.member import Member
from briarfork.membership.member import MemberState
from briarfork.membership.registered import RegisteredMembers
from briarfork.membership.roster import Roster
from briarfork.membership.roster import rank_members

__all__ = [
    "Directory",
    "ListRecord",
    "ListedVm",
    "Member",
    "MemberState",
    "RegisteredMembers",
    "Roster",
    "put_fast_members_first",
    "rank_members",
    "select_fast_members",
]

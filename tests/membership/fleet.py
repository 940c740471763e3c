"""Members and fleets for tests."""

from __future__ import annotations

from hypothesis import strategies as st

from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.membership import Roster

PORTS = {"entry": 8080, "permits": 7101, "control": 7100}


def build_member(
    vm: str,
    zone: str = "a",
    incarnation: int = 1,
    version: int = 1,
    state: MemberState = MemberState.LIVE,
    serving: bool = True,
) -> Member:
    return Member(vm, "127.0.0.1", zone, incarnation, version, state, PORTS, serving)


def build_roster(own: Member, members: list[Member]) -> Roster:
    roster = Roster(own)
    roster.merge(members)
    return roster


def find_groups(links: dict[str, set[str]]) -> list[set[str]]:
    """Returns the connected parts of an undirected graph."""
    around: dict[str, set[str]] = {vm: set(peers) for vm, peers in links.items()}
    for vm, peers in links.items():
        for peer in peers:
            around[peer].add(vm)
    groups = []
    left = set(around)
    while left:
        group, border = set(), [left.pop()]
        while border:
            vm = border.pop()
            group.add(vm)
            border += around[vm] - group
        left -= group
        groups.append(group)
    return groups


members = st.builds(
    build_member,
    vm=st.sampled_from(["vm-1", "vm-2", "vm-3"]),
    zone=st.sampled_from("ab"),
    incarnation=st.integers(0, 2),
    version=st.integers(0, 3),
    state=st.sampled_from(MemberState),
    serving=st.booleans(),
)
fleets = st.dictionaries(
    st.integers(0, 99).map(lambda number: f"vm-{number}"),
    st.tuples(st.sampled_from("abcd"), st.booleans()),
    min_size=1,
    max_size=40,
).map(
    lambda fleet: [build_member(vm, zone, serving=serving) for vm, (zone, serving) in fleet.items()]
)

"""Builders and Hypothesis strategies for members and fleets."""

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


def find_connected_components(links: dict[str, set[str]]) -> list[set[str]]:
    """Returns the connected components of an undirected graph."""
    neighbours: dict[str, set[str]] = {vm: set(peers) for vm, peers in links.items()}
    for vm, peers in links.items():
        for peer in peers:
            neighbours[peer].add(vm)
    components = []
    unvisited = set(neighbours)
    while unvisited:
        component, frontier = set(), [unvisited.pop()]
        while frontier:
            vm = frontier.pop()
            component.add(vm)
            frontier += neighbours[vm] - component
        unvisited -= component
        components.append(component)
    return components


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

"""Tests of convergence under random messages, restarts, partitions and duplicates."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from briarfork.membership import Directory
from briarfork.membership import ListedVm
from briarfork.membership import MemberState
from briarfork.membership import Roster
from briarfork.timeline import Timeline
from tests.membership.fleet import build_member
from tests.timeline.test_timeline import build_change
from tests.timeline.test_timeline import build_timeline

VMS = 4
LISTED = [ListedVm(f"server-{n}", "127.0.0.1", "a", "backend", "live", {}) for n in range(3)]
BATCH = 2

actions = st.lists(
    st.one_of(
        st.tuples(st.just("exchange"), st.integers(0, VMS - 1), st.integers(0, VMS - 1)),
        st.tuples(st.just("late"), st.integers(0, VMS - 1), st.integers(0, 20)),
        st.tuples(st.just("accept"), st.integers(0, VMS - 1), st.integers(1, 3)),
        st.tuples(st.just("restart"), st.integers(0, VMS - 1), st.just(0)),
        st.tuples(st.just("suspect"), st.integers(0, VMS - 1), st.integers(0, VMS - 1)),
        st.tuples(st.just("leave"), st.integers(0, VMS - 1), st.just(0)),
        st.tuples(st.just("list"), st.integers(0, VMS - 1), st.integers(0, 3)),
        st.tuples(st.just("partition"), st.integers(0, VMS - 1), st.integers(0, 1)),
    ),
    max_size=60,
)


class Node:
    """The replicated state of one VM."""

    def __init__(self, number: int, incarnation: int) -> None:
        self.name = f"vm-{number}"
        self.roster = Roster(build_member(self.name, incarnation=incarnation))
        self.directory = Directory()
        self.timeline = Timeline()
        self.highest_generation = 0

    def merge_from(self, other: Node, now: float) -> None:
        """Merges the state of another VM as a heartbeat, a summary and a pull do together."""
        self.roster.merge(other.roster.list_all())
        self.directory.merge(other.directory.list_records(), now)
        for change in other.timeline.list_after(self.timeline.generation, BATCH):
            self.timeline.append(change)


class Network:
    """VMs on two sides of a partition, and the changes that the store has accepted."""

    def __init__(self) -> None:
        self.accepted = build_timeline()
        self.nodes = [Node(number, 1) for number in range(VMS)]
        self.sides = [0] * VMS
        self.past_senders: list[Node] = []
        self.now = 0.0

    def run(self, action: str, first: int, second: int) -> None:
        self.now += 1.0
        node = self.nodes[first]
        if action == "exchange" and self.sides[first] == self.sides[second]:
            self.past_senders.append(self.nodes[second])
            node.merge_from(self.nodes[second], self.now)
        elif action == "late" and self.past_senders:
            node.merge_from(self.past_senders[second % len(self.past_senders)], self.now)
        elif action == "accept":
            self.accepted.append(build_change(self.accepted))
            for change in self.accepted.list_after(node.timeline.generation, second):
                node.timeline.append(change)
        elif action == "restart":
            self.nodes[first] = Node(first, node.roster.own.incarnation + 1)
        elif action == "suspect":
            suspect = replace(self.nodes[second].roster.own, state=MemberState.SUSPECT)
            node.roster.merge([suspect])
        elif action == "leave":
            node.roster.leave()
        elif action == "list":
            listed = [vm for index, vm in enumerate(LISTED) if index != second]
            node.directory.apply_list(listed, None, self.now)
        elif action == "partition":
            self.sides[first] = second

    def settle(self) -> None:
        """Exchanges state until all VMs agree; 200 rounds are far more than needed."""
        for _ in range(200):
            for one in range(VMS):
                for other in range(VMS):
                    self.run("exchange", one, other)


class TestConvergence:
    @given(actions)
    @settings(max_examples=60)
    def test_vms_that_reach_each_other_agree(self, history: list[tuple[str, int, int]]) -> None:
        """Guards against VMs whose state differs permanently after faults in any order."""
        network = Network()
        for action in history:
            network.run(*action)
        network.settle()
        for side in (0, 1):
            group = [n for n, s in zip(network.nodes, network.sides, strict=True) if s == side]
            assert len({node.timeline.last_hash for node in group}) <= 1
            assert len({tuple(node.roster.digest.buckets) for node in group}) <= 1
            assert len({tuple(node.directory.digest.buckets) for node in group}) <= 1
            assert len({str(node.roster.list_all()) for node in group}) <= 1

    @given(actions)
    def test_generation_never_falls_while_a_vm_runs(
        self, history: list[tuple[str, int, int]]
    ) -> None:
        """Guards against a late or repeated message that reverts the state of a VM."""
        network = Network()
        for action in history:
            network.run(*action)
            for node in network.nodes:
                assert node.timeline.generation >= node.highest_generation
                node.highest_generation = node.timeline.generation
                history_of_node = node.timeline.list_after(0, node.highest_generation)
                assert history_of_node == network.accepted.list_after(0, node.highest_generation)

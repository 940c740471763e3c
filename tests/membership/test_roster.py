"""Merging of member records, failure detection and the neighbour graph."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.membership import Roster
from tests.membership.fleet import build_member
from tests.membership.fleet import build_roster
from tests.membership.fleet import find_connected_components
from tests.membership.fleet import fleets
from tests.membership.fleet import members

OWN = build_member("own")
SILENCE_S = 3.0


class TestMerge:
    @given(st.lists(members, max_size=12), st.randoms(use_true_random=False))
    def test_does_not_depend_on_order_or_duplicates(
        self, records: list[Member], generator: object
    ) -> None:
        """Guards against VMs whose rosters never converge after they received the same records."""
        shuffled = records + records
        generator.shuffle(shuffled)  # type: ignore[attr-defined]
        one, other = build_roster(OWN, records), build_roster(OWN, shuffled)
        assert one.list_all() == other.list_all()
        assert one.digest.buckets == other.digest.buckets

    @given(st.lists(members, max_size=8), st.lists(members, max_size=8), st.lists(members))
    def test_is_associative(self, a: list[Member], b: list[Member], c: list[Member]) -> None:
        """Guards against a result that depends on the order in which peers exchange records."""
        left = build_roster(OWN, build_roster(OWN, a + b).list_all() + c)
        right = build_roster(OWN, a + build_roster(OWN, b + c).list_all())
        assert left.list_all() == right.list_all()

    @given(st.lists(members, max_size=20))
    def test_leaving_member_is_not_live_again_in_its_incarnation(
        self, records: list[Member]
    ) -> None:
        """Guards against callers that are directed to a draining VM."""
        roster = Roster(OWN)
        left: set[tuple[str, int]] = set()
        for record in records:
            roster.merge([record])
            for member in roster.list_all():
                key = (member.vm, member.incarnation)
                if member.state is MemberState.LEAVING:
                    left.add(key)
                assert member.state is MemberState.LEAVING or key not in left

    @given(st.lists(members.map(lambda m: build_member("own", state=m.state, version=m.version))))
    def test_own_record_is_live_unless_leaving(self, records: list[Member]) -> None:
        """Guards against a VM that accepts a record that reports itself as suspect or dead."""
        roster = Roster(OWN)
        roster.merge(records)
        reported_leaving = any(record.state is MemberState.LEAVING for record in records)
        assert (roster.own.state is MemberState.LEAVING) == reported_leaving
        assert roster.find("own") == roster.own

    def test_restarted_vm_with_a_slow_clock_raises_its_incarnation(self) -> None:
        """Guards against a restarted VM that others ignore because its incarnation is lower."""
        roster = Roster(OWN)
        roster.merge([build_member("own", incarnation=9)])
        assert roster.own.incarnation == 10


class TestFailureDetection:
    def test_silent_peer_becomes_suspect_without_a_first_heartbeat(self) -> None:
        """Guards against a dead member in the lookup results of a VM that started later."""
        roster = build_roster(OWN, [build_member("vm-1"), build_member("vm-2")])
        roster.suspect_silent(["vm-1", "vm-2"], SILENCE_S, 0.0)
        roster.record_heartbeat("vm-2", 4.0)
        assert [m.vm for m in roster.suspect_silent(["vm-1", "vm-2"], SILENCE_S, 4.0)] == ["vm-1"]

    def test_partitioned_vm_suspects_no_peer(self) -> None:
        """Guards against a VM that suspects all members because its own link is down."""
        roster = build_roster(OWN, [build_member("vm-1"), build_member("vm-2")])
        roster.suspect_silent(["vm-1", "vm-2"], SILENCE_S, 0.0)
        assert roster.suspect_silent(["vm-1", "vm-2"], SILENCE_S, 9.0) == []

    def test_member_that_others_reach_is_suspected_less_often(self) -> None:
        """Guards against a state that flaps while two regions are disconnected from each other."""
        roster = build_roster(OWN, [build_member("vm-1"), build_member("vm-2")])
        suspected = 0
        for second in range(120):
            roster.record_heartbeat("vm-2", float(second))
            for record in roster.suspect_silent(["vm-1", "vm-2"], SILENCE_S, float(second)):
                suspected += 1
                roster.merge([build_member("vm-1", version=record.version + 1)])
        assert suspected <= 5


class TestNeighbourGraph:
    @given(fleets)
    def test_is_connected_for_any_fleet(self, fleet: list[Member]) -> None:
        """Guards against a group of VMs that never receives changes."""
        links = {
            member.vm: {peer.vm for peer in build_roster(member, fleet).list_neighbours()}
            for member in fleet
        }
        assert len(find_connected_components(links)) == 1

    @given(fleets, st.sets(st.integers(0, 39)))
    def test_live_members_are_connected_while_others_are_suspect(
        self, fleet: list[Member], silent: set[int]
    ) -> None:
        """Guards against streams to suspect members in place of those that connect live ones."""
        fleet = [
            member.with_state(MemberState.SUSPECT) if index in silent else member
            for index, member in enumerate(fleet)
        ]
        live = {member.vm for member in fleet if member.state is MemberState.LIVE}
        links = {
            member.vm: {p.vm for p in build_roster(member, fleet).list_neighbours()} & live
            for member in fleet
            if member.vm in live
        }
        assert len(find_connected_components(links)) == min(1, len(live))

    def test_rings_connect_a_fleet_of_the_design_size(self) -> None:
        """Guards against rings that do not cross zones; other neighbours only add links."""
        fleet = [
            build_member(f"vm-{number}", f"zone-{number % 40}", serving=True)
            for number in range(6200)
        ]
        roster = build_roster(fleet[0], fleet)
        links = {
            member.vm: {peer.vm for peer in roster.list_ring_successors(member.vm)}
            for member in fleet
        }
        assert len(find_connected_components(links)) == 1
        own = {peer.vm for peer in roster.list_neighbours()}
        assert links["vm-0"] <= own
        assert len(own) <= 7

    @given(fleets)
    def test_each_zone_that_serves_has_followers(self, fleet: list[Member]) -> None:
        """Guards against a zone without followers, or a follower that does not serve."""
        for zone in {member.zone for member in fleet}:
            serving = {m.vm for m in fleet if m.zone == zone and m.serving}
            following = {
                member.vm
                for member in fleet
                if member.zone == zone and build_roster(member, fleet).is_follower()
            }
            assert following <= serving
            assert len(following) == min(2, len(serving))

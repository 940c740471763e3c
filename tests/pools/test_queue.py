"""Slot accounting of the permit queue, checked by examples and by a state machine."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from briarfork.configuration import RequestClass
from briarfork.configuration import SiteCapacity
from briarfork.pools import Grant
from briarfork.pools import PermitQueue
from briarfork.pools import Refusal
from briarfork.pools import Release
from briarfork.pools import Requester
from briarfork.pools import ServerAddress
from briarfork.pools import SlotRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

SERVERS = [ServerAddress(f"s-{index}", "127.0.0.1", 1000 + index) for index in range(3)]
CLASSES = st.sampled_from(RequestClass)
REQUESTERS = [Requester(vm, stream) for vm in ("a", "b") for stream in (1, 2)]
REQUESTER = REQUESTERS[0]


def build_queue(slots: int = 2, mixed: bool = False, servers: int = 1) -> PermitQueue:
    queue = PermitQueue(SiteCapacity(slots, 400), mixed, Random(1))
    queue.set_servers(SERVERS[:servers])
    return queue


def build_request(
    name: str,
    request_class: RequestClass = RequestClass.SHORT,
    expires_at: float = 100.0,
    avoid: frozenset[str] = frozenset(),
) -> SlotRequest:
    return SlotRequest(name, REQUESTER, request_class, expires_at, avoid)


def list_granted(decisions: Iterable[Grant | Refusal]) -> list[str]:
    return [item.request.permit for item in decisions if isinstance(item, Grant)]


class TestPermitQueue:
    def test_draining_server_gets_no_requests(self) -> None:
        """Guards against requests that are sent to probe whether a server is still draining."""
        queue = build_queue(slots=1, servers=2)
        queue.submit(build_request("first"), 0.0)
        queue.release("first", Release.DRAINING, 0.0, 0.0)
        for second in range(1, 60):
            for decision in queue.submit(build_request(f"next-{second}"), float(second)):
                assert isinstance(decision, Grant)
                assert decision.server.name == "s-1"
            queue.release(f"next-{second}", Release.DONE, 0.01, float(second))

    def test_slots_are_granted_by_priority(self) -> None:
        """Guards against urgent requests that wait behind a burst of less urgent ones."""
        queue = build_queue(slots=1)
        queue.submit(build_request("running"), 0.0)
        for name, priority in (("low", 2), ("high", 1), ("urgent", 0)):
            queue.submit(replace(build_request(name), priority=priority), 0.0)
        order = []
        held = "running"
        for second in range(1, 4):
            queue.release(held, Release.DONE, 0.01, float(second))
            (held,) = list_granted(queue.poll(float(second)))
            order.append(held)
        assert order == ["urgent", "high", "low"]

    def test_request_waits_for_the_server_that_cached_its_object(self) -> None:
        """Guards against uncached runs while the server with the cached object is free soon."""
        queue = build_queue(slots=1, servers=2)
        (first,) = queue.submit(replace(build_request("first"), object_key="o"), 0.0)
        assert isinstance(first, Grant)
        queue.release("first", Release.DONE, 0.2, 0.2)
        (second,) = queue.submit(
            replace(build_request("second"), object_key="o", asked_at=0.2), 0.2
        )
        assert isinstance(second, Grant)
        assert second.server == first.server
        assert (
            queue.submit(replace(build_request("third"), object_key="o", asked_at=0.2), 0.2) == []
        )
        assert list_granted(queue.poll(0.5)) == ["third"]

    def test_cold_server_gets_a_limited_rate(self) -> None:
        """Guards against the overload of a server whose caches are cold."""
        queue = build_queue(slots=8)
        queue.set_cold_start_limit("s-0", until=3.0, per_s=4.0)
        granted = []
        for step in range(30):
            now = step / 10
            decided = queue.submit(replace(build_request(str(step)), expires_at=9.0), now)
            for name in list_granted(decided):
                granted.append(now)
                queue.release(name, Release.DONE, 0.01, now)
        bounds = [sum(start <= at < start + 1.0 for at in granted) for start in granted]
        assert 0 < max(bounds) <= 4

    def test_blocked_retry_does_not_block_later_requests(self) -> None:
        """Guards against a retry that avoids the only free server and blocks the queue."""
        queue = build_queue(slots=1, servers=2)
        for name in ("first", "second"):
            queue.submit(build_request(name), 0.0)
        queue.submit(build_request("retry", avoid=frozenset({"s-0"})), 0.0)
        queue.submit(build_request("next"), 0.0)
        queue.release("first", Release.DONE, 0.01, 1.0)
        assert list_granted(queue.poll(1.0)) == ["next"]

    def test_retry_reuses_the_only_server(self) -> None:
        """Guards against a retry that waits for a second server until its deadline."""
        queue = build_queue()
        assert list_granted(queue.submit(build_request("r", avoid=frozenset({"s-0"})), 0.0)) == [
            "r"
        ]

    def test_expected_wait_needs_a_measured_run_time(self) -> None:
        """Guards against refusals based on an assumed run time before one was measured."""
        queue = build_queue(slots=1)
        for number in range(100):
            refused = queue.submit(build_request(str(number), expires_at=0.5), 0.0)
            assert not any(isinstance(item, Refusal) for item in refused)

    def test_refuses_when_the_expected_wait_exceeds_the_time_left(self) -> None:
        """Guards against requests that wait for a slot that becomes free too late."""
        queue = build_queue(slots=1)
        queue.submit(build_request("0"), 0.0)
        queue.release("0", Release.DONE, 1.0, 1.0)
        for number in range(1, 4):
            queue.submit(build_request(str(number)), 1.0)
        decided = queue.submit(build_request("late", expires_at=2.5), 1.0)
        assert [type(item) for item in decided] == [Refusal]

    def test_failing_server_is_avoided(self) -> None:
        """Guards against a dead server that is selected because it has the fewest requests."""
        queue = build_queue(servers=2)
        (grant,) = queue.submit(build_request("0"), 0.0)
        assert isinstance(grant, Grant)
        queue.release("0", Release.FAILED, 0.0, 0.0)
        (other,) = queue.submit(build_request("1"), 0.01)
        assert isinstance(other, Grant)
        assert other.server != grant.server

    def test_draining_server_gets_no_requests_while_still_listed(self) -> None:
        """Guards against new requests to a draining server when a lagging list still names it."""
        queue = build_queue(servers=1)
        queue.submit(build_request("0"), 0.0)
        queue.release("0", Release.DRAINING, 0.0, 0.0)
        queue.set_servers(SERVERS[:1])
        (decision,) = queue.submit(build_request("1"), 2.0)
        assert isinstance(decision, Refusal)

    def test_prefers_a_server_without_overdue_requests(self) -> None:
        """Guards against more requests to a server that has slowed down."""
        queue = build_queue(slots=3, servers=2)
        for number in range(64):
            queue.submit(build_request(str(number)), 0.0)
            queue.release(str(number), Release.DONE, 0.01, 0.0)
        grants = [queue.submit(build_request(f"slow-{number}"), 0.0)[0] for number in range(3)]
        servers = [item.server.name for item in grants if isinstance(item, Grant)]
        single = min(servers, key=servers.count)
        queue.release(f"slow-{servers.index(single)}", Release.DONE, 0.01, 1.0)
        queue.submit(build_request("new"), 1.0)
        (grant,) = queue.submit(build_request("newer"), 1.0)
        assert isinstance(grant, Grant)
        assert grant.server.name == single


class TestLostRequester:
    def test_silent_requester_keeps_its_slots_until_its_requests_expire(self) -> None:
        """Guards against slots that are granted again while requests of a paused VM still run."""
        queue = build_queue(slots=1)
        queue.submit(build_request("0", expires_at=50.0), 0.0)
        queue.submit(build_request("1"), 0.0)
        queue.drop_requester(REQUESTER, silent=True, now=1.0)
        queue.submit(SlotRequest("2", REQUESTERS[2], RequestClass.SHORT, 100.0), 1.0)
        assert list_granted(queue.poll(49.0)) == []
        assert list_granted(queue.poll(50.0)) == ["2"]

    def test_new_stream_keeps_only_declared_permits(self) -> None:
        """Guards against leaked slots when a release is lost with a broken stream."""
        queue = build_queue(slots=2)
        queue.submit(build_request("kept"), 0.0)
        queue.submit(build_request("released"), 0.0)
        queue.drop_requester(REQUESTER, silent=True, now=1.0)
        queue.adopt("kept", REQUESTERS[1], "s-0", RequestClass.SHORT, 1.5)
        queue.release_earlier_streams(REQUESTERS[1], 1.5)
        assert queue.in_progress == 1
        queue.drop_requester(REQUESTER, silent=False, now=1.6)
        queue.poll(90.0)
        assert queue.in_progress == 1


class PermitQueueMachine(RuleBasedStateMachine):
    """Compares the queue with a model of the waiting and granted permits."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.slots = 3
        self.queue = build_queue(self.slots, mixed=True, servers=3)
        self.live = set(range(3))
        self.waiting: dict[str, SlotRequest] = {}
        self.granted: dict[str, tuple[str, RequestClass]] = {}
        self.count = 0

    def name(self) -> str:
        self.count += 1
        return f"p{self.count}"

    def apply(self, decisions: list[Grant | Refusal]) -> None:
        for decision in decisions:
            permit = decision.request.permit
            request = self.waiting.pop(permit)
            if isinstance(decision, Refusal):
                continue
            vm = decision.server.name
            assert int(vm[-1]) in self.live
            held = [item for item in self.granted.values() if item[0] == vm]
            assert len(held) < self.slots
            if request.request_class is RequestClass.LONG:
                long = [item for item in held if item[1] is RequestClass.LONG]
                assert len(long) < max(1, self.slots - 1)
            earlier = [
                item
                for item in self.waiting.values()
                if item.request_class is request.request_class
                and not item.avoid
                and int(item.permit[1:]) < int(permit[1:])
            ]
            assert not earlier
            self.granted[permit] = (vm, request.request_class)

    @rule(
        request_class=CLASSES,
        left_s=st.floats(0.1, 5.0),
        avoid=st.sets(st.sampled_from(["s-0", "s-1", "s-2"]), max_size=2),
        requester=st.sampled_from(REQUESTERS),
    )
    def submit(
        self, request_class: RequestClass, left_s: float, avoid: set[str], requester: Requester
    ) -> None:
        item = SlotRequest(
            self.name(), requester, request_class, self.now + left_s, frozenset(avoid)
        )
        self.waiting[item.permit] = item
        self.apply(self.queue.submit(item, self.now))

    @precondition(lambda self: self.granted)
    @rule(
        data=st.data(),
        how=st.sampled_from([Release.DONE, Release.NOT_RUN, Release.CANCELLED]),
        elapsed_s=st.floats(0.0, 2.0),
    )
    def release(self, data: st.DataObject, how: Release, elapsed_s: float) -> None:
        permit = data.draw(st.sampled_from(sorted(self.granted)))
        del self.granted[permit]
        self.queue.release(permit, how, elapsed_s, self.now)
        self.queue.release(permit, how, elapsed_s, self.now)
        self.apply(self.queue.poll(self.now))

    @precondition(lambda self: self.waiting or self.granted)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        permit = data.draw(st.sampled_from(sorted([*self.waiting, *self.granted])))
        self.waiting.pop(permit, None)
        self.granted.pop(permit, None)
        self.queue.cancel(permit, self.now)
        self.apply(self.queue.poll(self.now))

    @rule(request_class=CLASSES, server=st.integers(0, 2), requester=st.sampled_from(REQUESTERS))
    def adopt(self, request_class: RequestClass, server: int, requester: Requester) -> None:
        if server in self.live:
            permit = self.name()
            self.queue.adopt(permit, requester, f"s-{server}", request_class, self.now)
            self.granted[permit] = (f"s-{server}", request_class)

    @rule(live=st.sets(st.integers(0, 2), min_size=1))
    def list_servers(self, live: set[int]) -> None:
        self.live = live
        self.queue.set_servers([SERVERS[index] for index in sorted(live)])
        self.apply(self.queue.poll(self.now))

    @rule(slots=st.integers(1, 4))
    def change_capacity(self, slots: int) -> None:
        self.slots = slots
        self.queue.set_capacity(SiteCapacity(slots, 400), True)
        self.apply(self.queue.poll(self.now))

    @rule(requester=st.sampled_from(REQUESTERS))
    def reconnect(self, requester: Requester) -> None:
        """Opens a new stream of the VM, which declares every permit that the VM holds."""
        for request in self.queue.drop_requester(requester, True, self.now):
            del self.waiting[request.permit]
        stream = Requester(requester.vm, 100 + self.count)
        self.count += 1
        for permit, (vm, request_class) in self.granted.items():
            if self.queue._held_permits[permit].requester.vm == requester.vm:
                self.queue.adopt(permit, stream, vm, request_class, self.now)
        for request in self.queue.release_earlier_streams(stream, self.now):
            del self.waiting[request.permit]

    @rule(passed_s=st.floats(0.0, 3.0))
    def wait(self, passed_s: float) -> None:
        self.now += passed_s
        self.apply(self.queue.poll(self.now))
        assert all(item.expires_at > self.now for item in self.waiting.values())
        short = [item for item in self.waiting.values() if not item.avoid]
        if any(item.request_class is RequestClass.SHORT for item in short):
            servers = self.queue._servers.values()
            assert not any(item.can_accept(RequestClass.SHORT, self.now) for item in servers)

    @invariant()
    def counts_match(self) -> None:
        assert self.queue.waiting == len(self.waiting)
        assert self.queue.in_progress == len(self.granted)
        counted = {p: vm for vm, item in self.queue._servers.items() for p in item.permits}
        assert counted == {permit: vm for permit, (vm, _) in self.granted.items()}


# Guards against slots that are leaked, granted twice or granted beyond the capacity.
TestPermitQueueMachine = PermitQueueMachine.TestCase
TestPermitQueueMachine.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)

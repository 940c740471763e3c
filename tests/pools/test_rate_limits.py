"""Limits on requests that backend servers name, under a load that wants more."""

from __future__ import annotations

import math
from random import Random

import pytest

from briarfork.configuration import RequestClass
from briarfork.configuration import SiteCapacity
from briarfork.pools import Grant
from briarfork.pools import PermitQueue
from briarfork.pools import Refusal
from briarfork.pools import Release
from briarfork.pools import Requester
from briarfork.pools import ServerAddress
from briarfork.pools import ServerReport
from briarfork.pools import SlotRequest

SERVER = ServerAddress("s-0", "127.0.0.1", 80)
REMOTE = Requester("remote")
SLOTS = 9
RUN_S = 0.5
# The platform allows this many requests in a window: 1.5 times the limit and 5 more.
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
DURATION_S = 20.0
STEP_S = 0.02


class SimulatedOwner:
    """An owner of one server's slots with more waiting requests than the server accepts."""

    def __init__(self) -> None:
        self.queue = PermitQueue(SiteCapacity(SLOTS, 100), False, Random(1), slow_start=False)
        self.queue.set_servers([SERVER])
        self.sent: list[float] = []
        self._running: list[tuple[float, str]] = []
        self._number = 0

    def step(self, now: float, report: ServerReport, outcome: Release = Release.DONE) -> None:
        """Releases the requests that have ended, and grants slots to new ones."""
        for _, permit in [item for item in self._running if item[0] <= now]:
            self.queue.release(permit, outcome, RUN_S, now, report)
        self._running = [item for item in self._running if item[0] > now]
        self._number += 1
        request = SlotRequest(
            f"p-{self._number}", Requester("vm"), RequestClass.SHORT, expires_at=now + 1.0
        )
        for decision in [*self.queue.poll(now), *self.queue.submit(request, now)]:
            if isinstance(decision, Grant):
                self.sent.append(now)
                self._running.append((now + RUN_S, decision.request.permit))


def run_owners(
    owners: list[SimulatedOwner],
    report: ServerReport,
    started_at: float = 0.0,
    outcome: Release = Release.DONE,
) -> list[float]:
    """Returns when requests were sent, in order, after the first window."""
    for number in range(round(DURATION_S / STEP_S)):
        for owner in owners:
            owner.step(started_at + number * STEP_S, report, outcome)
    earliest = started_at + WINDOW_S
    return sorted(at for owner in owners for at in owner.sent if at >= earliest)


def count_most_in_window(sent: list[float]) -> int:
    return max(sum(start <= at < start + WINDOW_S for at in sent) for start in sent)


class TestLimitOfAServer:
    @pytest.mark.parametrize("owners", [1, 2])
    @pytest.mark.parametrize("per_s", [0.5, 2.0, 8.0])
    def test_requests_stay_below_the_limit(self, per_s: float, owners: int) -> None:
        """Guards against a server in need that gets more requests than it says that it accepts.

        Two owners stand for a moment in which the VMs disagree on the owner of the slots.
        """
        report = ServerReport(limit_per_s=per_s)
        sent = run_owners([SimulatedOwner() for _ in range(owners)], report)
        allowed = EXCESS_FACTOR * per_s * WINDOW_S + EXCESS_REQUESTS
        assert count_most_in_window(sent) <= allowed
        # Most of what one owner may send is used.
        assert len(sent) >= 0.7 * per_s * (DURATION_S - WINDOW_S)

    def test_limit_ends_when_the_server_no_longer_names_it(self) -> None:
        """Guards against a server that is used sparingly for good."""
        owner = SimulatedOwner()
        limited = run_owners([owner], ServerReport(limit_per_s=2.0))
        unlimited = run_owners([owner], ServerReport(limit_per_s=math.inf), DURATION_S)
        assert len(unlimited) > 3 * len(limited)

    def test_declared_permits_do_not_stop_the_server(self) -> None:
        """Guards against a new owner that waits for many seconds before its first request."""
        owner = SimulatedOwner()
        for number in range(SLOTS - 1):
            owner.queue.adopt(
                f"held-{number}",
                Requester("other"),
                SERVER.name,
                RequestClass.SHORT,
                0.0,
                limit_per_s=0.5,
            )
        sent = run_owners([owner], ServerReport(limit_per_s=0.5))
        assert sent[0] <= WINDOW_S + 1.0 / 0.5

    def test_requests_without_a_grant_do_not_use_up_the_limit(self) -> None:
        """Guards against VMs of other regions that keep the owner from granting any request."""
        owner = SimulatedOwner()
        owner.queue.limit_rate(SERVER.name, 0.5, 0.0)
        granted = []
        for second in range(1, round(DURATION_S)):
            owner.queue.adopt(f"{second}", REMOTE, SERVER.name, RequestClass.SHORT, float(second))
            owner.step(float(second), ServerReport(limit_per_s=0.5))
            owner.queue.release(f"{second}", Release.CANCELLED, 0.0, second + 0.5)
            granted = owner.sent
        assert len(granted) >= 0.7 * 0.5 * DURATION_S

    def test_response_without_a_limit_ends_it_whoever_sent_the_request(self) -> None:
        """Guards against a limit that only the VMs which know of it can end."""
        owner = SimulatedOwner()
        owner.queue.limit_rate(SERVER.name, 0.5, 0.0)
        owner.queue.adopt("remote", REMOTE, SERVER.name, RequestClass.SHORT, 0.0)
        owner.queue.release("remote", Release.DONE, RUN_S, 1.0)
        unlimited = run_owners([owner], ServerReport(), started_at=1.0)
        assert len(unlimited) > 3 * 0.5 * DURATION_S

    def test_release_without_a_response_keeps_the_limit(self) -> None:
        """Guards against a cancelled request that lifts the limit of a server."""
        owner = SimulatedOwner()
        owner.queue.limit_rate(SERVER.name, 2.0, 0.0)
        sent = run_owners([owner], ServerReport(), outcome=Release.CANCELLED)
        assert count_most_in_window(sent) <= EXCESS_FACTOR * 2.0 * WINDOW_S + EXCESS_REQUESTS

    def test_request_that_the_limit_leaves_no_time_for_is_refused_at_once(self) -> None:
        """Guards against waiting until the deadline for a server that accepts few requests."""
        owner = SimulatedOwner()
        for number in range(200):
            owner.step(number * STEP_S, ServerReport(limit_per_s=1.0))
        request = SlotRequest("last", Requester("vm"), RequestClass.SHORT, expires_at=5.0)
        (decision,) = owner.queue.submit(request, 4.0)
        assert isinstance(decision, Refusal)
        assert decision.wait_s > 0.5

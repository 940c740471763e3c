"""Workspaces in requests for slots, and the refusals that their callers get."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from briarfork.border.events import EventLog
from briarfork.entry.slot_client import SlotRefused
from briarfork.errors import ErrorKind
from briarfork.gateway.dispatch import Dispatcher
from briarfork.gateway.permits import GatewayPermits
from briarfork.gateway.permits import SlotRequirements
from briarfork.gateway.refusals import MAX_CACHED_REFUSALS
from briarfork.gateway.refusals import RefusalCache
from briarfork.gateway.refusals import RefusalSummary
from briarfork.gateway.request import Request
from briarfork.requests import Deadline
from briarfork.workspaces import Workspace
from briarfork.workspaces import WorkspaceDirectory
from tests.gateway.harness import ROUTE
from tests.gateway.harness import ScriptedUpstream
from tests.gateway.harness import build_gateway
from tests.gateway.harness import build_instance
from tests.gateway.harness import build_table

if TYPE_CHECKING:
    from briarfork.pools import SlotRequest

KEY = ("s", "a")
ACME = Workspace("acme", rate_per_s=5.0, burst=5.0)
UNLIMITED = Workspace("unlimited")


def build_requirements(workspace: Workspace | None) -> SlotRequirements:
    deadline = Deadline(time.monotonic() + 4.0)
    return SlotRequirements(ROUTE, "s", "", deadline, frozenset(), workspace=workspace)


def build_refusal(wait_s: float) -> SlotRefused:
    return SlotRefused(ErrorKind.OVERLOADED, "the expected wait is 700 ms, 9 are ahead", wait_s)


class RecordingPermits(GatewayPermits):
    """Refuses all requests for slots with an expected wait, and keeps them."""

    def __init__(self) -> None:
        gateway = build_gateway(servers=[build_instance("a")])
        super().__init__(gateway.view, gateway.slots)
        self.view = gateway.view
        self.asked: list[SlotRequest] = []

    async def request_permit(
        self, key: tuple[str, str], slot_request: SlotRequest, deadline: Deadline
    ) -> SlotRefused:
        self.asked.append(slot_request)
        return build_refusal(9.0)


class TestWorkspaceOfARequest:
    @pytest.mark.parametrize(
        ("workspace", "expected"),
        [(ACME, ("acme", 5.0)), (UNLIMITED, ("unlimited", 1.0)), (None, ("", 1.0))],
    )
    async def test_owner_of_the_slots_learns_it(
        self, workspace: Workspace | None, expected: tuple[str, float]
    ) -> None:
        """Guards against an owner that takes all callers for one workspace."""
        permits = RecordingPermits()
        with pytest.raises(SlotRefused):
            await permits.acquire(build_requirements(workspace))
        (asked,) = permits.asked
        assert (asked.workspace, asked.weight) == expected

    async def test_refusal_of_one_does_not_refuse_the_others(self) -> None:
        """Guards against a burst of one workspace that a VM answers by refusing all."""
        permits = RecordingPermits()
        for workspace in (ACME, ACME, UNLIMITED):
            with pytest.raises(SlotRefused):
                await permits.acquire(build_requirements(workspace))
        assert [asked.workspace for asked in permits.asked] == ["acme", "unlimited"]

    async def test_caller_learns_the_position_and_a_time_that_it_honours(self) -> None:
        """Guards against forecasts beyond a third of the caller's time, which end in one burst."""
        permits = RecordingPermits()
        for _ in range(2):
            with pytest.raises(SlotRefused) as caught:
                await permits.acquire(build_requirements(ACME))
            assert "9 are ahead" in caught.value.detail
            assert 0.8 < caught.value.wait_s * 1.5 <= 4.0 / 3


class TestAdmittedWorkspace:
    async def test_dispatcher_passes_it_to_the_slots(self) -> None:
        """Guards against requests that are admitted for a workspace and queue without one."""
        permits = RecordingPermits()
        table = build_table(ROUTE, version=9)
        table.workspaces = WorkspaceDirectory({"k-1": ACME})
        permits.view.apply_route_table(table)
        dispatcher = Dispatcher(permits.view, permits, ScriptedUpstream(), EventLog("test"))
        with pytest.raises(SlotRefused):
            await dispatcher.handle(
                Request("r1", "h", "GET", "/a/x", (), (), "", 3.0, credential="k-1")
            )
        assert permits.asked[0].workspace == "acme"


class TestRefusalCache:
    def test_forecast_runs_down(self) -> None:
        """Guards against a Retry-After of the short time for which a refusal is cached."""
        cache = RefusalCache()
        cache.record(KEY, 0, "", build_refusal(1.0), now=10.0)
        cached = cache.find(KEY, 0, "", now=10.1)
        assert cached is not None
        assert cached.wait_s == pytest.approx(0.9)
        assert cache.find(KEY, 0, "", now=10.2) is None

    def test_is_bounded(self) -> None:
        """Guards against memory for each workspace that was ever refused."""
        cache = RefusalCache()
        for number in range(3 * MAX_CACHED_REFUSALS):
            cache.record(KEY, 0, f"w-{number}", build_refusal(1.0), now=float(number))
        assert len(cache._refusals) <= MAX_CACHED_REFUSALS


class TestRefusalSummary:
    def test_shortest_known_wait_counts(self) -> None:
        """Guards against callers that wait for the fullest zone."""
        summary = RefusalSummary()
        for wait_s in (0.5, 0.0, 0.2):
            summary.add(build_refusal(wait_s))
        assert summary.build(left_s=4.0).wait_s == 0.2

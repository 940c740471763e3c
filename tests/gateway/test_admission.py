"""Who may send a request: keys of workspaces, their priorities and regions."""

from __future__ import annotations

import asyncio
import math
import time
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from briarfork.border.events import EventLog
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.gateway.admission import Credit
from briarfork.gateway.admission import restrict_route
from briarfork.gateway.dispatch import Dispatcher
from briarfork.gateway.request import Request
from briarfork.gateway.request import Response
from briarfork.pools import Release
from briarfork.workspaces import Workspace
from briarfork.workspaces import WorkspaceDirectory
from tests.gateway.harness import REFUSED
from tests.gateway.harness import RESPONSE
from tests.gateway.harness import ROUTE
from tests.gateway.harness import UNANSWERED
from tests.gateway.harness import UNRESPONSIVE
from tests.gateway.harness import ScriptedPermits
from tests.gateway.harness import ScriptedUpstream
from tests.gateway.harness import build_gateway
from tests.gateway.harness import build_table

if TYPE_CHECKING:
    from briarfork.entry.overflow import Permit
    from briarfork.gateway.permits import SlotRequirements
    from briarfork.routing import RouteTable

KEY = "k-7f3a"
ACME = Workspace("acme", rate_per_s=5.0, burst=5.0)
PUBLIC = replace(ROUTE, name="p", prefix="/p/", public=True)


def build_keyed_table(version: int, **keys: Workspace) -> RouteTable:
    table = build_table(ROUTE, PUBLIC, version=version)
    table.workspaces = WorkspaceDirectory(keys)
    return table


class CountedCredit:
    """Credit that counts how often it was given back."""

    given_back = 0

    def give_back(self) -> None:
        self.given_back += 1


class OneCredit:
    """Quotas that grant the same credit to every request, unless they are used up."""

    is_used_up = False

    def __init__(self) -> None:
        self.credit = CountedCredit()

    async def acquire(self, workspace: Workspace) -> Credit:
        if self.is_used_up:
            raise NotRun(ErrorKind.TOO_MANY_REQUESTS, "the quota is used up")
        return self.credit


class RevokingPermits(ScriptedPermits):
    """Applies a configuration before it grants a permit."""

    table: RouteTable | None = None
    grants_before = 0

    async def acquire(self, request: SlotRequirements) -> Permit:
        permit = await super().acquire(request)
        self.grants_before -= 1
        if self.table is not None and self.grants_before < 0:
            self._gateway_view.apply_route_table(self.table)
        return permit


class Harness:
    """A dispatcher with a key of a workspace."""

    def __init__(self, *outcomes: Response | Exception) -> None:
        gateway = build_gateway()
        self.view = gateway.view
        self.view.apply_route_table(build_keyed_table(2, **{KEY: ACME}))
        self.permits = RevokingPermits(gateway, "i-0", "i-1", "i-2")
        self.upstream = ScriptedUpstream(*outcomes)  # type: ignore[arg-type]
        self.quotas = OneCredit()
        self.dispatcher = Dispatcher(
            self.view, self.permits, self.upstream, EventLog("test"), self.quotas
        )

    async def send(self, credential: str, target: str = "/a/x") -> Response:
        request = Request("r1", "h", "GET", target, (), (), "", 3.0, credential=credential)
        return await self.dispatcher.handle(request)

    async def fail(self, credential: str, target: str = "/a/x") -> ErrorKind:
        with pytest.raises(NotRun) as caught:
            await self.send(credential, target)
        assert credential not in str(caught.value) or not credential
        return caught.value.kind


class TestKeys:
    async def test_only_known_keys_are_admitted(self) -> None:
        """Guards against requests without a key, or with one that is not known."""
        harness = Harness(RESPONSE, RESPONSE)
        assert await harness.fail("") is ErrorKind.UNAUTHORIZED
        assert await harness.fail("k-unknown") is ErrorKind.UNAUTHORIZED
        assert await harness.fail("k-unknown", "/none/") is ErrorKind.UNKNOWN_PATH
        assert await harness.send(KEY) is RESPONSE
        assert await harness.send("", "/p/x") is RESPONSE

    @pytest.mark.parametrize(
        "target", ["/p/../a/x", "/p/%2E%2e/a/x", "/p/..%2Fa/x", "/p/.%2e", "/p/./x?q=1"]
    )
    async def test_path_with_dot_segments_is_not_public(self, target: str) -> None:
        """Guards against a server that resolves the path to one for which a key is needed."""
        harness = Harness(RESPONSE, RESPONSE)
        assert await harness.fail("", target) is ErrorKind.UNAUTHORIZED
        assert await harness.send(KEY, target) is RESPONSE
        assert await harness.send("", "/p/a..b/.c?q=/../") is RESPONSE

    async def test_key_that_is_taken_away_while_a_request_waits_counts_no_more(self) -> None:
        """Guards against a request that runs with a key of an earlier configuration."""
        harness = Harness(RESPONSE)
        harness.permits.table = build_keyed_table(3, other=ACME)
        assert await harness.fail(KEY) is ErrorKind.UNAUTHORIZED
        assert harness.permits.released == [Release.UNUSED]
        assert harness.upstream.sent == []

    async def test_key_that_moves_while_a_request_waits_is_not_used_for_the_old_one(self) -> None:
        """Guards against a request that runs in the name of another workspace."""
        harness = Harness(RESPONSE)
        harness.permits.table = build_keyed_table(3, **{KEY: Workspace("umbra")})
        assert await harness.fail(KEY) is ErrorKind.OVERLOADED

    async def test_key_that_is_taken_away_names_no_workspace_on_a_public_route(self) -> None:
        """Guards against a request that runs in the name of a workspace without a valid key."""
        harness = Harness(RESPONSE)
        harness.permits.table = build_keyed_table(3, other=ACME)
        assert await harness.fail(KEY, "/p/x") is ErrorKind.OVERLOADED
        assert harness.upstream.sent == []

    async def test_key_that_is_taken_away_is_not_used_for_a_hedged_attempt(self) -> None:
        """Guards against a second attempt with a revoked key beside one that was sent in time."""
        harness = Harness(*[RESPONSE] * 25, UNRESPONSIVE, RESPONSE)
        harness.permits.servers = [f"i-{number}" for number in range(40)]
        for _ in range(25):
            await harness.send(KEY)
        task = asyncio.create_task(harness.send(KEY))
        async with asyncio.timeout(5.0):
            while len(harness.upstream.sent) < 26:
                await asyncio.sleep(0.001)
            harness.view.apply_route_table(build_keyed_table(3, other=ACME))
            while len(harness.permits.released) < 26:
                await asyncio.sleep(0.01)
        assert harness.upstream.sent[25:] == ["i-25"]
        assert harness.permits.released[25:] == [Release.UNUSED]
        task.cancel()

    async def test_key_is_checked_before_each_retry(self) -> None:
        """Guards against a retry with a key that was taken away after the first attempt."""
        harness = Harness(REFUSED, RESPONSE)
        harness.permits.table = build_keyed_table(3, other=ACME)
        harness.permits.grants_before = 1
        assert await harness.fail(KEY) is ErrorKind.UNAUTHORIZED
        assert harness.upstream.sent == ["i-0"]

    async def test_log_names_the_workspace_of_a_refused_request(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against refusals that `briarfork explain` cannot attribute, and logged keys."""
        logged: list[dict[str, object]] = []
        monkeypatch.setattr(EventLog, "record", lambda *_, **fields: logged.append(fields))
        harness = Harness()
        harness.quotas.is_used_up = True
        assert await harness.fail(KEY) is ErrorKind.TOO_MANY_REQUESTS
        assert logged[-1]["workspace"] == "acme"
        assert KEY not in str(logged)

    async def test_strict_revocation_refuses_keys_of_an_old_configuration(self) -> None:
        """Guards against a VM without the store that goes on accepting revoked keys."""
        harness = Harness(RESPONSE, RESPONSE)
        harness.view.max_configuration_age_s = 4.0
        harness.view.configuration_shown_at = time.monotonic() - 5.0
        assert await harness.fail(KEY) is ErrorKind.STALE_CONFIGURATION
        assert await harness.send("", "/p/x") is RESPONSE
        harness.view.max_configuration_age_s = math.inf
        assert await harness.send(KEY) is RESPONSE


class TestCredit:
    @pytest.mark.parametrize(
        ("outcomes", "given_back"),
        [([RESPONSE], 0), ([REFUSED, REFUSED], 1), ([UNANSWERED, UNANSWERED], 0)],
        ids=["answered", "refused", "unanswered"],
    )
    async def test_is_given_back_once_if_no_server_ran_the_request(
        self, outcomes: list[Response | Exception], given_back: int
    ) -> None:
        """Guards against credit that is lost by refusals, or given back for what may have run."""
        harness = Harness(*outcomes)
        with suppress(BriarforkError):
            await harness.send(KEY)
        assert harness.quotas.credit.given_back == given_back


class TestRestrictions:
    @pytest.mark.parametrize(
        ("route_regions", "workspace_regions", "expected"),
        [((), (), set()), (("n",), (), {"n"}), ((), ("s",), {"s"}), (("n", "s"), ("s",), {"s"})],
    )
    def test_regions_of_route_and_workspace_both_bind(
        self,
        route_regions: tuple[str, ...],
        workspace_regions: tuple[str, ...],
        expected: set[str],
    ) -> None:
        """Guards against a request that runs outside the regions of either."""
        route = replace(ROUTE, regions=frozenset(route_regions))
        workspace = Workspace("w", priority=7, regions=frozenset(workspace_regions))
        restricted = restrict_route(route, workspace)
        assert (set(restricted.regions), restricted.priority) == (expected, 7)

    def test_without_a_common_region_nothing_runs(self) -> None:
        """Guards against an empty intersection that is taken for no restriction."""
        route = replace(ROUTE, regions=frozenset({"n"}))
        with pytest.raises(NotRun):
            restrict_route(route, Workspace("w", regions=frozenset({"s"})))

"""Tests of the administration API over HTTP."""

from __future__ import annotations

import asyncio
import hashlib
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import pytest
import pytest_asyncio
import yaml
from aiohttp.test_utils import TestClient
from aiohttp.test_utils import TestServer

from briarfork.admin.http import build_app
from tests.admin.harness import ADDRESS
from tests.admin.harness import AdminHarness
from tests.admin.harness import edit_site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import web

OPENAPI = Path(__file__).parent.parent.parent / "docs" / "openapi.yaml"
MAX_BODY_BYTES = 4 * 1024 * 1024
# A change must be in force everywhere within 12 s; acceptance may take a tenth of that.
MAX_ACCEPT_S = 1.2


def build_team(token: str, documents: list[str], changes_per_minute: int = 60) -> dict[str, Any]:
    digest = hashlib.sha256(token.encode()).hexdigest()
    return {
        "token_sha256": [digest],
        "documents": documents,
        "changes_per_minute": changes_per_minute,
    }


TEAMS = {
    "north": build_team("north-token", ["sites/north-*"], changes_per_minute=5),
    "south": build_team("south-token", ["sites/south-*"]),
    "steering": build_team("steering-token", ["*"]),
}


class AdminClient:
    """Client of the administration API."""

    def __init__(
        self, harness: AdminHarness, client: TestClient[web.Request, web.Application]
    ) -> None:
        self.harness = harness
        self._http_client = client

    async def call(
        self, method: str, path: str, token: str | None = None, **options: Any
    ) -> tuple[int, dict[str, Any]]:
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        async with self._http_client.request(method, path, headers=headers, **options) as response:
            return response.status, await response.json()

    async def submit(self, change_id: str, site: str, token: str, **fields: Any) -> tuple[int, Any]:
        body = {
            "change_id": change_id,
            "author": "mari",
            "reason": "test",
            "edits": edit_site(site, drain=True),
            "based_on": 1,
            **fields,
        }
        return await self.call("POST", "/v1/changes", token, json=body)


@pytest_asyncio.fixture
async def client() -> AsyncIterator[AdminClient]:
    async with AdminHarness(store_s=5.0) as harness:
        manager = await harness.start(teams=TEAMS)
        server = TestServer(build_app(manager, harness.events), host=ADDRESS)
        async with TestClient(server) as client:
            yield AdminClient(harness, client)


class TestTeams:
    @pytest.mark.parametrize("token", [None, "wrong", ""])
    async def test_unknown_token_is_unauthorized(
        self, client: AdminClient, token: str | None
    ) -> None:
        """Guards against clients without a team that read or change the configuration."""
        for method, path in (("GET", "/v1/status"), ("POST", "/v1/changes")):
            status, body = await client.call(method, path, token)
            assert (status, body["error"]) == (401, "unauthorized")

    async def test_team_cannot_change_documents_of_other_teams(self, client: AdminClient) -> None:
        """Guards against a team that shifts the traffic of another team."""
        assert await client.submit("own", "north-a", "north-token") == (201, {"generation": 2})
        status, body = await client.submit("foreign", "south-a", "north-token")
        assert (status, body["error"]) == (403, "forbidden")
        assert "sites/south-a" in body["detail"]
        client.harness.assert_generations(2)

    async def test_team_cannot_withdraw_changes_of_other_teams(self, client: AdminClient) -> None:
        """Guards against a team that withdraws a scheduled change of another team."""
        await client.submit("later", "south-a", "south-token", start_at=time.time() + 600)
        body = {"change_id": "w", "author": "jaan", "reason": "test"}
        path = "/v1/changes/2/withdraw"
        assert (await client.call("POST", path, "north-token", json=body))[0] == 403
        assert (await client.call("POST", path, "south-token", json=body))[0] == 201

    async def test_audit_record_contains_the_team(self, client: AdminClient) -> None:
        """Guards against audit records that do not name the team."""
        await client.submit("own", "north-a", "north-token")
        _, body = await client.call("GET", "/v1/changes", "south-token", params={"after": "1"})
        assert [change["team"] for change in body["changes"]] == ["north"]

    async def test_token_is_stored_only_as_hash(self, client: AdminClient) -> None:
        """Guards against tokens that can be read from the store or the API."""
        _, body = await client.call("GET", "/v1/documents", "north-token")
        assert "north-token" not in str(body)
        assert all("north-token" not in item.value for item in client.harness.state.items.values())

    @pytest.mark.parametrize(
        ("teams", "message"),
        [
            ({"north": build_team("a", ["sites/*"])}, "match 'base'"),
            ({"north": build_team("a", ["*"]), "south": build_team("a", ["*"])}, "one team only"),
        ],
    )
    async def test_invalid_teams_are_rejected(
        self, client: AdminClient, teams: dict[str, Any], message: str
    ) -> None:
        """Guards against teams that no team may change again and against shared tokens."""
        edits = {"base": {**client.harness.initial_base, "teams": teams}}
        status, body = await client.submit("teams", "-", "steering-token", edits=edits)
        assert (status, body["error"]) == (422, "invalid_configuration")
        assert message in body["detail"]


class TestRateLimit:
    async def test_rate_limited_team_does_not_delay_other_teams(self, client: AdminClient) -> None:
        """Guards against one team's request burst delaying or blocking other teams' changes."""
        requests = [
            asyncio.create_task(client.submit(f"flood-{n}", "north-a", "north-token"))
            for n in range(100)
        ]
        started_at = time.monotonic()
        status, _ = await client.submit("other", "south-a", "south-token")
        elapsed = time.monotonic() - started_at
        statuses = [status for status, _ in await asyncio.gather(*requests)]
        assert status == 201
        assert elapsed < MAX_ACCEPT_S
        assert statuses.count(429) == 95
        assert statuses.count(201) == 1  # the other four within the limit conflict with it

    async def test_rate_limit_error_contains_kind_and_wait_time(self, client: AdminClient) -> None:
        """Guards against a rate limit error that does not tell the client when to retry."""
        for number in range(5):
            await client.submit(f"change-{number}", "north-a", "north-token")
        status, body = await client.submit("one-more", "north-a", "north-token")
        assert (status, body["error"], body["outcome"]) == (429, "too_many_requests", "not-run")
        assert "try again in" in body["detail"]

    async def test_rejected_requests_do_not_reach_the_store(self, client: AdminClient) -> None:
        """Guards against requests with wrong tokens exhausting the rate limit of the store."""
        calls = sum(client.harness.state.calls.values())
        for _ in range(50):
            await client.call("GET", "/v1/status", "wrong")
        assert sum(client.harness.state.calls.values()) <= calls + 2


class TestPagination:
    async def test_changes_are_paginated(self, client: AdminClient) -> None:
        """Guards against pages that repeat or skip a change."""
        for number, site in enumerate(("north-a", "north-b", "south-a", "south-b")):
            await client.submit(f"change-{number}", site, "steering-token")
        generations: list[int] = []
        after = 0
        while after is not None:
            params = {"after": str(after), "limit": "2"}
            _, body = await client.call("GET", "/v1/changes", "south-token", params=params)
            generations += [change["generation"] for change in body["changes"]]
            after = body["next"]
        assert generations == [1, 2, 3, 4, 5]

    async def test_filters(self, client: AdminClient) -> None:
        """Guards against filters by author, team, document or time that miss a change."""
        await client.submit("one", "north-a", "north-token", author="jaan")
        await client.submit("two", "south-a", "south-token")
        split_at = time.time()
        await client.submit("three", "south-b", "steering-token")
        for params, expected in (
            ({"author": "jaan"}, [2]),
            ({"team": "south"}, [3]),
            ({"document": "sites/south-*"}, [1, 3, 4]),
            ({"since": str(split_at)}, [4]),
            ({"until": str(split_at), "after": "1"}, [2, 3]),
        ):
            _, body = await client.call("GET", "/v1/changes", "south-token", params=params)
            assert [change["generation"] for change in body["changes"]] == expected, params

    async def test_drafts_are_paginated(self, client: AdminClient) -> None:
        """Guards against drafts that are missing from every page."""
        base = {**client.harness.initial_base, "teams": TEAMS, "approval": "required"}
        fields = {"edits": {"base": base}}
        assert (await client.submit("approval", "-", "steering-token", **fields))[0] == 201
        for name in ("a", "b", "c"):
            assert (await client.submit(name, "north-a", "north-token"))[0] == 202
        _, first = await client.call("GET", "/v1/drafts", "north-token", params={"limit": "2"})
        params = {"after": first["next"]}
        _, second = await client.call("GET", "/v1/drafts", "north-token", params=params)
        names = [draft["change_id"] for draft in first["drafts"] + second["drafts"]]
        assert (names, second["next"]) == (["a", "b", "c"], None)


class TestErrors:
    @pytest.mark.parametrize(
        ("method", "path", "options", "kind"),
        [
            ("GET", "/v1/nothing", {}, "unknown_path"),
            ("DELETE", "/v1/changes", {}, "unknown_path"),
            ("GET", "/v1/documents?at=soon", {}, "bad_request"),
            ("GET", "/v1/changes?after=-1", {}, "bad_request"),
            ("GET", "/v1/changes?since=nan", {}, "bad_request"),
            ("POST", "/v1/changes", {"data": b"{"}, "bad_request"),
            ("POST", "/v1/changes", {"data": b"[" * 100_000}, "bad_request"),
            ("POST", "/v1/changes", {"json": {}}, "invalid_configuration"),
            ("POST", "/v1/changes", {"data": b" " * (MAX_BODY_BYTES + 1)}, "body_too_large"),
            ("POST", "/v1/drafts/none/approve", {"json": {"approver": "a"}}, "unknown_path"),
        ],
    )
    async def test_errors_have_a_documented_kind(
        self, client: AdminClient, method: str, path: str, options: dict[str, Any], kind: str
    ) -> None:
        """Guards against errors without a kind that clients can handle."""
        status, body = await client.call(method, path, "steering-token", **options)
        assert body["error"] == kind
        assert status >= 400


class TestDryRun:
    async def test_dry_run_writes_nothing(self, client: AdminClient) -> None:
        """Guards against a dry run that takes effect."""
        await client.submit("later", "south-a", "south-token", start_at=time.time() + 600)
        before = dict(client.harness.state.items)
        body = {"change_id": "w", "author": "jaan", "reason": "test", "based_on": 2}
        submission = {**body, "edits": edit_site("south-b", drain=True)}
        del body["based_on"]
        for path, content in (("/v1/changes", submission), ("/v1/changes/2/withdraw", body)):
            options = {"json": content, "params": {"dry_run": "1"}}
            assert await client.call("POST", path, "south-token", **options) == (
                200,
                {"generation": 3},
            )
        assert client.harness.state.items == before


class TestOpenApi:
    async def test_paths_and_methods_match_the_application(self, client: AdminClient) -> None:
        """Guards against an OpenAPI description that does not match the API."""
        documented = {
            (method.upper(), path)
            for path, methods in yaml.safe_load(OPENAPI.read_text())["paths"].items()
            for method in methods
        }
        app = build_app(client.harness.create_manager(), client.harness.events)
        served = {
            (route.method, route.resource.canonical)
            for route in app.router.routes()
            if route.resource is not None and route.method != "HEAD"
        }
        assert documented == served

"""Tests of the operators' commands against an administration API."""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
import time
from hashlib import sha256
from typing import TYPE_CHECKING
from typing import Any

import pytest
import pytest_asyncio
import yaml
from aiohttp.test_utils import TestServer

from briarfork.admin.http import build_app
from briarfork.commands.main import main
from tests.admin.harness import ADDRESS
from tests.admin.harness import ESTONIA
from tests.admin.harness import AdminHarness
from tests.admin.harness import edit_site
from tests.admin.harness import submit

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

AUTHOR_ARGUMENTS = ("--author", "mari", "--reason", "test")
FUTURE_TIME = "2126-03-01T06:00:00+02:00"


class CommandRunner:
    """Runs commands like an operator and captures their output."""

    def __init__(
        self,
        harness: AdminHarness,
        url: str,
        folder: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        self.harness = harness
        self.url = url
        self.folder = folder
        self._monkeypatch = monkeypatch
        self._capsys = capsys
        self.output = ""
        self.errors = ""

    async def run(self, command: str, *arguments: str, url: str | None = None) -> int:
        """Runs a command and returns its exit status."""
        admin = ["--admin", url or self.url] if command not in ("validate", "render") else []
        self._monkeypatch.setattr(sys, "argv", ["briarfork", command, *arguments, *admin])
        try:
            await asyncio.to_thread(main)
            status = 0
        except SystemExit as exit_error:
            status = int(exit_error.code or 0)
        self.output, self.errors = self._capsys.readouterr()
        return status

    def edit_service(self, service: str, **fields: Any) -> None:
        path = self.folder / "base.yaml"
        body = yaml.safe_load(path.read_text())
        body["services"][service].update(fields)
        path.write_text(yaml.safe_dump(body))

    def remove_service(self, service: str) -> None:
        path = self.folder / "base.yaml"
        body = yaml.safe_load(path.read_text())
        del body["services"][service]
        path.write_text(yaml.safe_dump(body))

    def drain(self, site: str) -> None:
        body = {"site": site, "zone": site, "drain": True}
        (self.folder / "sites" / f"{site}.yaml").write_text(yaml.safe_dump(body))


@pytest_asyncio.fixture
async def runner(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> AsyncIterator[CommandRunner]:
    folder = tmp_path / "estonia"
    shutil.copytree(ESTONIA, folder)
    async with AdminHarness() as harness:
        manager = await harness.start()
        async with TestServer(build_app(manager, harness.events), host=ADDRESS) as server:
            url = str(server.make_url("")).rstrip("/")
            yield CommandRunner(harness, url, folder, monkeypatch, capsys)


class TestEffects:
    async def test_shows_shares_ramp_and_cap(self, runner: CommandRunner) -> None:
        """Guards against an operator scheduling a larger shift than intended."""
        spread = {"north-a": 3, "north-b": 1}
        runner.edit_service("results", regional_spread={"north": spread})
        folder = str(runner.folder)
        assert await runner.run("submit", folder, *AUTHOR_ARGUMENTS, "--dry-run") == 0
        assert "results, clients of north: 25% of the requests move" in runner.output
        assert "  north-a: 50.0% -> 75.0%" in runner.output
        assert "  ramp: 150 s" in runner.output
        assert "240 requests/s to one site; the shift can exceed it above 960" in runner.output
        runner.harness.assert_generations(1)

    @pytest.mark.parametrize(
        ("rate", "expected_text"), [("959", "not reached"), ("961", "exceeded")]
    )
    async def test_reports_whether_the_cap_is_exceeded(
        self, runner: CommandRunner, rate: str, expected_text: str
    ) -> None:
        """Guards against a shift that is limited by its cap without a warning."""
        runner.edit_service("results", regional_spread={"north": {"north-a": 3, "north-b": 1}})
        assert await runner.run("diff", str(runner.folder), "--rate", f"results={rate}") == 0
        assert f"{expected_text} at {rate} requests/s" in runner.output

    async def test_starts_from_the_current_shares_of_a_ramp(self, runner: CommandRunner) -> None:
        """Guards against effects computed from shares that the ramp has not reached yet."""
        runner.edit_service("results", regional_spread={"north": {"north-a": 1}})
        assert await runner.run("submit", str(runner.folder), *AUTHOR_ARGUMENTS) == 0
        runner.edit_service("results", regional_spread={"north": {"north-b": 1}})
        assert await runner.run("diff", str(runner.folder), "--json") == 0
        effects = json.loads(runner.output)["effects"]
        (north,) = [effect for effect in effects if effect["region"] == "north"]
        assert north["before"]["north-a"] == pytest.approx(0.5, abs=0.05)

    async def test_shows_the_ramp_and_cap_of_a_drain(self, runner: CommandRunner) -> None:
        """Guards against a drain that is shown as if it took effect immediately."""
        runner.drain("north-a")
        assert await runner.run("diff", str(runner.folder)) == 0
        assert "  north-a: 50.0% -> 0.0%" in runner.output
        assert "  ramp: 300 s" in runner.output
        assert "  cap: 240 requests/s to one site" in runner.output

    async def test_warns_about_a_service_without_sites(self, runner: CommandRunner) -> None:
        """Guards against draining the last site, or removing a service, without a warning."""
        runner.edit_service("results", regional_spread={"north": {"north-a": 1}})
        assert await runner.run("submit", str(runner.folder), *AUTHOR_ARGUMENTS) == 0
        runner.drain("north-a")
        runner.remove_service("archive")
        assert await runner.run("diff", str(runner.folder)) == 0
        for service, clients in (("results", "clients of north"), ("archive", "clients of west")):
            effect = runner.output.partition(f"{service}, {clients}: 100% of the requests move")[2]
            assert "no site is left: every request is refused" in effect.partition(", clients")[0]


class TestHistory:
    async def test_filters(self, runner: CommandRunner) -> None:
        """Guards against history filters that return the wrong changes."""
        manager = runner.harness.create_manager()
        await submit(manager, "one", edit_site("north-a", drain=True), author="jaan")
        await submit(manager, "two", edit_site("south-a", drain=True))
        for arguments, expected in (
            (("--author", "jaan"), [2]),
            (("--document", "sites/south-a"), [1, 3]),
            (("--team", "-", "--limit", "2"), [1, 2]),
            (("--since", FUTURE_TIME), []),
            (("--until", FUTURE_TIME, "--after", "1"), [2, 3]),
        ):
            assert await runner.run("history", *arguments, "--json") == 0
            changes = json.loads(runner.output)["changes"]
            assert [change["generation"] for change in changes] == expected, arguments

    async def test_verifies_a_complete_chain(self, runner: CommandRunner) -> None:
        """Guards against rejecting an intact chain and against accepting a wrong anchor."""
        assert await runner.run("history", "--verify", "--json") == 0
        anchor = json.loads(runner.output)
        assert await runner.run("history", "--verify", "--anchor", f"1:{anchor['hash']}") == 0
        assert await runner.run("history", "--verify", "--anchor", "1:other") == 1
        assert await runner.run("history", "--verify", "--anchor", "9:other") == 1

    @pytest.mark.parametrize("tampering", ["altered", "missing", "altered, hashes renewed"])
    async def test_detects_a_tampered_store(self, runner: CommandRunner, tampering: str) -> None:
        """Guards against an audit trail that was modified directly in the store."""
        manager = runner.harness.create_manager()
        for index, site in enumerate(("north-a", "north-b", "south-a")):
            await submit(manager, site, edit_site(site, drain=True), based_on=index + 1)
        assert await runner.run("history", "--verify") == 0
        items = runner.harness.state.items
        second, third = items["changes/0000000002"], items["changes/0000000003"]
        if tampering == "missing":
            del items["changes/0000000002"]
        else:
            second.value = second.value.replace('"author":"mari"', '"author":"eve"')
        if tampering == "altered, hashes renewed":
            record = json.loads(third.value)
            changes = await runner.harness.create_manager().list_changes(1, 1)
            third.value = json.dumps({**record, "previous_hash": changes[0].compute_hash()})
        assert await runner.run("history", "--verify") == 1
        assert "generation" in runner.errors

    async def test_detects_a_tampered_last_entry(self, runner: CommandRunner) -> None:
        """Guards against an altered last entry, whose hash is in no later entry."""
        entry = runner.harness.state.items["changes/0000000001"]
        entry.value = entry.value.replace('"author":"mari"', '"author":"eve"')
        assert await runner.run("history", "--verify") == 3
        assert "contradicts" in runner.errors


class TestToken:
    async def test_is_read_from_the_environment(
        self, runner: CommandRunner, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against having to pass the token as an argument, where other users can see it."""
        team = {"token_sha256": [sha256(b"secret").hexdigest()], "documents": ["*"]}
        body = {**runner.harness.initial_base, "teams": {"steering": team}}
        await submit(runner.harness.create_manager(), "teams", {"base": body})
        monkeypatch.setenv("BRIARFORK_TOKEN", "secret")
        assert await runner.run("status") == 0
        monkeypatch.setenv("BRIARFORK_TOKEN", "other")
        assert await runner.run("status") == 1


class TestExitStatus:
    async def test_success_and_no_difference(self, runner: CommandRunner) -> None:
        """Guards against a script that treats an empty change as a failure."""
        assert await runner.run("validate", str(runner.folder)) == 0
        assert await runner.run("submit", str(runner.folder), *AUTHOR_ARGUMENTS) == 0
        assert "no difference" in runner.output

    async def test_invalid_configuration(self, runner: CommandRunner) -> None:
        """Guards against a script that continues after a rejected change."""
        runner.edit_service("results", spread={"nowhere": 1})
        assert await runner.run("validate", str(runner.folder)) == 1
        assert await runner.run("submit", str(runner.folder), *AUTHOR_ARGUMENTS) == 1

    async def test_bad_arguments(self, runner: CommandRunner) -> None:
        """Guards against a mistyped command that looks like a rejected change."""
        assert await runner.run("submit") == 2

    async def test_conflict(self, runner: CommandRunner) -> None:
        """Guards against a script that retries a change which conflicts with another one."""
        runner.drain("north-a")
        assert (
            await runner.run(
                "submit", str(runner.folder), *AUTHOR_ARGUMENTS, "--start", FUTURE_TIME
            )
            == 0
        )
        body = {"site": "north-a", "zone": "north-a", "services": {"results": {"slots": 2}}}
        (runner.folder / "sites" / "north-a.yaml").write_text(yaml.safe_dump(body))
        assert await runner.run("submit", str(runner.folder), *AUTHOR_ARGUMENTS) == 3

    async def test_unreachable_store_and_api(self, runner: CommandRunner) -> None:
        """Guards against an outage that looks like a rejected change."""
        runner.drain("north-a")
        runner.harness.state.mode = "refuse"
        assert await runner.run("submit", str(runner.folder), *AUTHOR_ARGUMENTS) == 4
        runner.harness.state.mode = "up"
        assert await runner.run("status", url=f"http://{ADDRESS}:1") == 4

    async def test_unknown_outcome_names_the_change_id_to_retry(
        self, runner: CommandRunner
    ) -> None:
        """Guards against one change being submitted twice under two IDs."""
        runner.drain("north-a")
        runner.harness.state.lose = 100
        assert (
            await runner.run("submit", str(runner.folder), *AUTHOR_ARGUMENTS, "--change-id", "mine")
            == 4
        )
        assert "--change-id mine" in runner.errors
        runner.harness.state.lose = 0
        assert (
            await runner.run("submit", str(runner.folder), *AUTHOR_ARGUMENTS, "--change-id", "mine")
            == 0
        )
        assert "accepted before: mine is generation 2" in runner.output
        runner.harness.assert_generations(2)

    @pytest.mark.parametrize("as_json", [True, False])
    async def test_dry_run_changes_nothing(self, runner: CommandRunner, as_json: bool) -> None:
        """Guards against a dry run that takes effect."""
        manager = runner.harness.create_manager()
        await submit(manager, "later", edit_site("north-a", drain=True), start_at=time.time() + 600)
        runner.drain("north-b")
        before = dict(runner.harness.state.items)
        flags = ("--dry-run", "--json") if as_json else ("--dry-run",)
        folder = str(runner.folder)
        assert await runner.run("submit", folder, *AUTHOR_ARGUMENTS, *flags) == 0
        assert await runner.run("withdraw", "2", *AUTHOR_ARGUMENTS, *flags) == 0
        if as_json:
            assert json.loads(runner.output) == {"dry_run": True, "generation": 3}
        else:
            assert "would be withdrawn" in runner.output
        assert runner.harness.state.items == before

    async def test_draft_is_listed_and_approved_by_another_operator(
        self, runner: CommandRunner
    ) -> None:
        """Guards against drafts missing from the status and against a dry run that approves."""
        body = {**runner.harness.initial_base, "approval": "required"}
        await submit(runner.harness.create_manager(), "approval", {"base": body})
        await submit(runner.harness.create_manager(), "mine", edit_site("north-a", drain=True))
        assert await runner.run("status") == 0
        assert "draft: mine by mari" in runner.output
        assert await runner.run("approve", "mine", "--approver", "mari") == 1
        assert await runner.run("approve", "mine", "--approver", "jaan", "--dry-run") == 0
        runner.harness.assert_generations(2)
        assert await runner.run("approve", "mine", "--approver", "jaan") == 0
        runner.harness.assert_generations(3)

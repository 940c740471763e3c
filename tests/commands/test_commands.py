"""The operators' commands against an administration API."""

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

WHO = ("--author", "mari", "--reason", "test")
LATER = "2126-03-01T06:00:00+02:00"


class Terminal:
    """Runs commands as an operator does and keeps their output."""

    def __init__(
        self,
        bench: AdminHarness,
        url: str,
        folder: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        self.bench = bench
        self.url = url
        self.folder = folder
        self._monkeypatch = monkeypatch
        self._capsys = capsys
        self.output = ""
        self.errors = ""

    async def run(self, command: str, *arguments: str, url: str | None = None) -> int:
        """Returns the exit status."""
        admin = ["--admin", url or self.url] if command not in ("validate", "render") else []
        self._monkeypatch.setattr(sys, "argv", ["briarfork", command, *arguments, *admin])
        try:
            await asyncio.to_thread(main)
            status = 0
        except SystemExit as ended:
            status = int(ended.code or 0)
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
async def terminal(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> AsyncIterator[Terminal]:
    folder = tmp_path / "estonia"
    shutil.copytree(ESTONIA, folder)
    async with AdminHarness() as bench:
        desk = await bench.start()
        async with TestServer(build_app(desk, bench.events), host=ADDRESS) as server:
            url = str(server.make_url("")).rstrip("/")
            yield Terminal(bench, url, folder, monkeypatch, capsys)


class TestEffect:
    async def test_shows_shares_ramp_and_cap(self, terminal: Terminal) -> None:
        """Guards against an operator who schedules a larger shift than intended."""
        spread = {"north-a": 3, "north-b": 1}
        terminal.edit_service("results", regional_spread={"north": spread})
        folder = str(terminal.folder)
        assert await terminal.run("submit", folder, *WHO, "--dry-run") == 0
        assert "results, clients of north: 25% of the requests move" in terminal.output
        assert "  north-a: 50.0% -> 75.0%" in terminal.output
        assert "  ramp: 150 s" in terminal.output
        assert "240 requests/s to one site; the shift can exceed it above 960" in terminal.output
        terminal.bench.assert_generations(1)

    @pytest.mark.parametrize(("rate", "told"), [("959", "not reached"), ("961", "exceeded")])
    async def test_tells_whether_the_cap_is_exceeded(
        self, terminal: Terminal, rate: str, told: str
    ) -> None:
        """Guards against a shift that is held back at its cap without a warning."""
        terminal.edit_service("results", regional_spread={"north": {"north-a": 3, "north-b": 1}})
        assert await terminal.run("diff", str(terminal.folder), "--rate", f"results={rate}") == 0
        assert f"{told} at {rate} requests/s" in terminal.output

    async def test_starts_from_the_shares_of_a_ramp_in_progress(self, terminal: Terminal) -> None:
        """Guards against an effect that is worked out from shares not reached yet."""
        terminal.edit_service("results", regional_spread={"north": {"north-a": 1}})
        assert await terminal.run("submit", str(terminal.folder), *WHO) == 0
        terminal.edit_service("results", regional_spread={"north": {"north-b": 1}})
        assert await terminal.run("diff", str(terminal.folder), "--json") == 0
        effects = json.loads(terminal.output)["effects"]
        (north,) = [effect for effect in effects if effect["region"] == "north"]
        assert north["before"]["north-a"] == pytest.approx(0.5, abs=0.05)

    async def test_shows_the_ramp_and_cap_of_a_drain(self, terminal: Terminal) -> None:
        """Guards against a drain whose effect is taken to be immediate."""
        terminal.drain("north-a")
        assert await terminal.run("diff", str(terminal.folder)) == 0
        assert "  north-a: 50.0% -> 0.0%" in terminal.output
        assert "  ramp: 300 s" in terminal.output
        assert "  cap: 240 requests/s to one site" in terminal.output

    async def test_warns_of_a_service_without_a_site(self, terminal: Terminal) -> None:
        """Guards against a drain of the last site, or a removed service, that shows no effect."""
        terminal.edit_service("results", regional_spread={"north": {"north-a": 1}})
        assert await terminal.run("submit", str(terminal.folder), *WHO) == 0
        terminal.drain("north-a")
        terminal.remove_service("archive")
        assert await terminal.run("diff", str(terminal.folder)) == 0
        for service, clients in (("results", "clients of north"), ("archive", "clients of west")):
            effect = terminal.output.partition(f"{service}, {clients}: 100% of the requests move")[
                2
            ]
            assert "no site is left: every request is refused" in effect.partition(", clients")[0]


class TestHistory:
    async def test_filters(self, terminal: Terminal) -> None:
        """Guards against an audit that shows other changes than those asked for."""
        desk = terminal.bench.create_manager()
        await submit(desk, "one", edit_site("north-a", drain=True), author="jaan")
        await submit(desk, "two", edit_site("south-a", drain=True))
        for arguments, expected in (
            (("--author", "jaan"), [2]),
            (("--document", "sites/south-a"), [1, 3]),
            (("--team", "-", "--limit", "2"), [1, 2]),
            (("--since", LATER), []),
            (("--until", LATER, "--after", "1"), [2, 3]),
        ):
            assert await terminal.run("history", *arguments, "--json") == 0
            changes = json.loads(terminal.output)["changes"]
            assert [change["generation"] for change in changes] == expected, arguments

    async def test_verifies_a_complete_trail(self, terminal: Terminal) -> None:
        """Guards against a proof that fails without a fault, and against a wrong anchor."""
        assert await terminal.run("history", "--verify", "--json") == 0
        anchor = json.loads(terminal.output)
        assert await terminal.run("history", "--verify", "--anchor", f"1:{anchor['hash']}") == 0
        assert await terminal.run("history", "--verify", "--anchor", "1:other") == 1
        assert await terminal.run("history", "--verify", "--anchor", "9:other") == 1

    @pytest.mark.parametrize("tampering", ["altered", "missing", "altered, hashes renewed"])
    async def test_tampered_store_is_noticed(self, terminal: Terminal, tampering: str) -> None:
        """Guards against an audit trail that was changed behind the back of the operators."""
        desk = terminal.bench.create_manager()
        for index, site in enumerate(("north-a", "north-b", "south-a")):
            await submit(desk, site, edit_site(site, drain=True), based_on=index + 1)
        assert await terminal.run("history", "--verify") == 0
        items = terminal.bench.state.items
        second, third = items["changes/0000000002"], items["changes/0000000003"]
        if tampering == "missing":
            del items["changes/0000000002"]
        else:
            second.value = second.value.replace('"author":"mari"', '"author":"eve"')
        if tampering == "altered, hashes renewed":
            record = json.loads(third.value)
            changes = await terminal.bench.create_manager().list_changes(1, 1)
            third.value = json.dumps({**record, "previous_hash": changes[0].compute_hash()})
        assert await terminal.run("history", "--verify") == 1
        assert "generation" in terminal.errors

    async def test_tampered_last_entry_is_noticed(self, terminal: Terminal) -> None:
        """Guards against an altered entry that no later one vouches for."""
        entry = terminal.bench.state.items["changes/0000000001"]
        entry.value = entry.value.replace('"author":"mari"', '"author":"eve"')
        assert await terminal.run("history", "--verify") == 3
        assert "contradicts" in terminal.errors


class TestToken:
    async def test_is_read_from_the_environment(
        self, terminal: Terminal, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a token that other users can read in the list of processes."""
        team = {"token_sha256": [sha256(b"secret").hexdigest()], "documents": ["*"]}
        body = {**terminal.bench.initial_base, "teams": {"steering": team}}
        await submit(terminal.bench.create_manager(), "teams", {"base": body})
        monkeypatch.setenv("BRIARFORK_TOKEN", "secret")
        assert await terminal.run("status") == 0
        monkeypatch.setenv("BRIARFORK_TOKEN", "other")
        assert await terminal.run("status") == 1


class TestExitStatus:
    async def test_success_and_no_difference(self, terminal: Terminal) -> None:
        """Guards against a script that takes nothing to do as a failure."""
        assert await terminal.run("validate", str(terminal.folder)) == 0
        assert await terminal.run("submit", str(terminal.folder), *WHO) == 0
        assert "no difference" in terminal.output

    async def test_invalid_configuration(self, terminal: Terminal) -> None:
        """Guards against a script that goes on after a refused change."""
        terminal.edit_service("results", spread={"nowhere": 1})
        assert await terminal.run("validate", str(terminal.folder)) == 1
        assert await terminal.run("submit", str(terminal.folder), *WHO) == 1

    async def test_bad_arguments(self, terminal: Terminal) -> None:
        """Guards against a mistyped command that looks like a refused change."""
        assert await terminal.run("submit") == 2

    async def test_conflict(self, terminal: Terminal) -> None:
        """Guards against a script that repeats a change which clashes with another one."""
        terminal.drain("north-a")
        assert await terminal.run("submit", str(terminal.folder), *WHO, "--start", LATER) == 0
        body = {"site": "north-a", "zone": "north-a", "services": {"results": {"slots": 2}}}
        (terminal.folder / "sites" / "north-a.yaml").write_text(yaml.safe_dump(body))
        assert await terminal.run("submit", str(terminal.folder), *WHO) == 3

    async def test_store_down_and_no_answer(self, terminal: Terminal) -> None:
        """Guards against an outage that looks like a refused change."""
        terminal.drain("north-a")
        terminal.bench.state.mode = "refuse"
        assert await terminal.run("submit", str(terminal.folder), *WHO) == 4
        terminal.bench.state.mode = "up"
        assert await terminal.run("status", url=f"http://{ADDRESS}:1") == 4

    async def test_unknown_outcome_names_the_change_to_repeat(self, terminal: Terminal) -> None:
        """Guards against a change that is submitted twice under two names."""
        terminal.drain("north-a")
        terminal.bench.state.lose = 100
        assert await terminal.run("submit", str(terminal.folder), *WHO, "--change-id", "mine") == 4
        assert "--change-id mine" in terminal.errors
        terminal.bench.state.lose = 0
        assert await terminal.run("submit", str(terminal.folder), *WHO, "--change-id", "mine") == 0
        assert "accepted before: mine is generation 2" in terminal.output
        terminal.bench.assert_generations(2)

    @pytest.mark.parametrize("as_json", [True, False])
    async def test_dry_runs_change_nothing(self, terminal: Terminal, as_json: bool) -> None:
        """Guards against a rehearsal that takes effect."""
        desk = terminal.bench.create_manager()
        await submit(desk, "later", edit_site("north-a", drain=True), start_at=time.time() + 600)
        terminal.drain("north-b")
        before = dict(terminal.bench.state.items)
        flags = ("--dry-run", "--json") if as_json else ("--dry-run",)
        folder = str(terminal.folder)
        assert await terminal.run("submit", folder, *WHO, *flags) == 0
        assert await terminal.run("withdraw", "2", *WHO, *flags) == 0
        if as_json:
            assert json.loads(terminal.output) == {"dry_run": True, "generation": 3}
        else:
            assert "would be withdrawn" in terminal.output
        assert terminal.bench.state.items == before

    async def test_draft_is_shown_and_approved_by_somebody_else(self, terminal: Terminal) -> None:
        """Guards against a draft that nobody finds, and an approval that is only rehearsed."""
        body = {**terminal.bench.initial_base, "approval": "required"}
        await submit(terminal.bench.create_manager(), "approval", {"base": body})
        await submit(terminal.bench.create_manager(), "mine", edit_site("north-a", drain=True))
        assert await terminal.run("status") == 0
        assert "draft: mine by mari" in terminal.output
        assert await terminal.run("approve", "mine", "--approver", "mari") == 1
        assert await terminal.run("approve", "mine", "--approver", "jaan", "--dry-run") == 0
        terminal.bench.assert_generations(2)
        assert await terminal.run("approve", "mine", "--approver", "jaan") == 0
        terminal.bench.assert_generations(3)

"""Requests that must not run twice, under faults of servers, callers, the store and entry VMs."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import aiohttp
import pytest
import pytest_asyncio

from tests.entry.scene import Reply
from tests.entry.scene import Scene
from tests.entry.scene import build_scene

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

FAULTS = ("close-after-run", "half-head", "short", "open-chunks", "until-close", "garbage")
WRITES = ("POST", "PUT", "DELETE", "PATCH")


@pytest_asyncio.fixture
async def scene(tmp_path: Path) -> AsyncIterator[Scene]:
    async with build_scene(tmp_path) as running:
        yield running


async def ask_until_sent(scene: Scene, method: str, path: str, name: str, keyed: bool) -> Reply:
    """Asks again while the request is refused; servers that fail get pauses of up to 2 s."""
    while True:
        reply = await scene.ask(method, path, name, keyed=keyed, data=b"1")
        if reply.outcome != "not-run":
            return reply
        assert scene.ledger[name] == 0, name


class TestServerFaults:
    @pytest.mark.parametrize("keyed", [False, True])
    async def test_lost_answer_is_unknown_and_runs_once(self, scene: Scene, keyed: bool) -> None:
        """Guards against a score that is stored twice because a library or we sent it again."""
        for fault in (*FAULTS, "silent"):
            for method in WRITES:
                name = f"{fault}-{method}"
                try:
                    reply = await ask_until_sent(scene, method, f"scoring/{fault}/x", name, keyed)
                    assert (reply.error, reply.outcome) == ("outcome_unknown", "unknown"), name
                except aiohttp.ClientError:
                    # The caller's stream was reset in the middle of the answer.
                    assert fault in ("short", "open-chunks"), name
                    assert not keyed, name
                assert scene.ledger[name] == 1, name

    async def test_reused_connection_that_closes_sends_nothing_again(self, scene: Scene) -> None:
        """Guards against aiohttp's own resend of PUT and DELETE on a kept connection."""
        for number in range(20):
            await scene.ask("GET", "scoring/ok", f"warm-{number}")
        for method in WRITES:
            for number in range(5):
                name = f"{method}-{number}"
                reply = await scene.ask(method, "scoring/close-after-run/x", name, data=b"1")
                assert reply.outcome == "unknown"
                assert scene.ledger[name] == 1

    async def test_close_of_idle_connections_is_not_met(self, scene: Scene) -> None:
        """Guards against requests that are unknown only because the server gave up a connection."""
        for server in scene.servers:
            server.idle_timeout_s = 1.5
        for number in range(8):
            tasks = [
                scene.ask("POST", "scoring/slow/x", f"idle-{number}-{n}", data=b"1")
                for n in range(12)
            ]
            replies = await asyncio.gather(*tasks)
            assert [reply.outcome for reply in replies] == [None] * 12
            # Around the moment at which the servers close.
            await asyncio.sleep(1.495 + 0.001 * number)

    async def test_refused_request_is_repeated_until_it_runs_once(self, scene: Scene) -> None:
        """Guards against a refusal that counts as a run, or a run that counts as a refusal."""
        reply = await scene.ask("POST", "scoring/refuse/always", "shed", data=b"1", keyed=True)
        assert (reply.status, reply.outcome) == (503, "not-run")
        assert scene.ledger["shed"] == 0
        again = await scene.ask("POST", "scoring/refuse/always", "shed", data=b"1", keyed=True)
        assert again.error == "overloaded", "the claim of a refused request was not removed"

    async def test_stopped_servers_leave_the_request_not_run(self, scene: Scene) -> None:
        """Guards against "unknown" for a request that reached no server."""
        for server in scene.servers:
            server.stop()
        reply = await scene.ask("POST", "scoring/ok", "nobody", data=b"1", keyed=True)
        assert reply.outcome == "not-run"
        assert scene.ledger["nobody"] == 0


class TestCallerFaults:
    async def test_caller_that_leaves_finds_the_answer_later(self, scene: Scene) -> None:
        """Guards against a claim that stays open because its caller hung up."""
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await scene.ask("POST", "scoring/slow/x", "left", data=b"1", keyed=True)
        async with asyncio.timeout(5.0):
            while True:
                reply = await scene.ask(
                    "POST", "scoring/slow/x", "left", vm=1, data=b"1", keyed=True
                )
                if reply.status == 200:
                    break
                assert reply.error == "duplicate_request"
        assert reply.headers["Briarfork-Replayed"] == "true"
        assert scene.ledger["left"] == 1

    async def test_caller_that_leaves_without_a_key_is_cancelled(self, scene: Scene) -> None:
        """Guards against work at a server for a caller that has gone."""
        lost = sum(server.lost_connections for server in scene.servers)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await scene.ask("GET", "results/silent/x", "gone")
        await scene.wait(lambda: sum(server.lost_connections for server in scene.servers) > lost)

    async def test_many_callers_with_one_key_run_once(self, scene: Scene) -> None:
        """Guards against two entry VMs that both believe that they hold the claim."""
        replies = await asyncio.gather(
            *(
                scene.ask("POST", "scoring/slow/x", "shared", vm=n % 2, data=b"1", keyed=True)
                for n in range(20)
            )
        )
        assert scene.ledger["shared"] == 1
        assert {reply.error for reply in replies} == {None, "duplicate_request"}


class TestStoreFaults:
    async def test_lost_answer_to_the_claim_still_runs_once(self, scene: Scene) -> None:
        """Guards against a claim that its own request takes for another's."""
        await scene.cluster.post(f"{scene.cluster.store_url}/fault", {"mode": "lose", "count": 1})
        reply = await scene.ask("POST", "scoring/ok", "lost", data=b"1", keyed=True)
        assert reply.status == 200
        assert scene.ledger["lost"] == 1

    async def test_unconfirmed_claim_is_removed_after_the_outage(self, scene: Scene) -> None:
        """Guards against a key that stays blocked by a request that never ran."""
        fault = f"{scene.cluster.store_url}/fault"
        await scene.ask("POST", "scoring/ok", "first", data=b"1", keyed=True)
        await scene.cluster.post(fault, {"mode": "slow", "delay_s": 0.7})
        reply = await scene.ask("POST", "scoring/ok", "late", data=b"1", keyed=True)
        assert (reply.error, reply.outcome) == ("claim_unavailable", "not-run")
        await scene.cluster.post(fault, {"mode": "up"})
        async with asyncio.timeout(10.0):
            while reply.status != 200:
                reply = await scene.ask("POST", "scoring/ok", "late", data=b"1", keyed=True)
                await asyncio.sleep(0.1)
        assert scene.ledger["late"] == 1

    async def test_answer_of_an_outage_is_stored_after_it(self, scene: Scene) -> None:
        """Guards against a claim that stays open because the store was down at its end."""
        fault = f"{scene.cluster.store_url}/fault"
        task = asyncio.ensure_future(
            scene.ask("POST", "scoring/slow/x", "down", data=b"1", keyed=True)
        )
        await scene.wait(lambda: scene.ledger["down"] == 1)
        await scene.cluster.post(fault, {"mode": "refuse"})
        assert (await task).status == 200
        await scene.cluster.post(fault, {"mode": "up"})
        async with asyncio.timeout(10.0):
            while True:
                reply = await scene.ask("POST", "scoring/slow/x", "down", 1, True, data=b"1")
                if reply.status == 200:
                    break
                await asyncio.sleep(0.1)
        assert scene.ledger["down"] == 1


class TestEntryVmFaults:
    async def test_paused_vm_sends_nothing_after_the_deadline(self, scene: Scene) -> None:
        """Guards against a VM that wakes after its caller was told the outcome elsewhere."""
        fault = f"{scene.cluster.store_url}/fault"
        entry = scene.cluster.vms[0].processes["entry"]
        await scene.ask("POST", "scoring/ok", "lease", data=b"1", keyed=True)
        await scene.cluster.post(fault, {"mode": "slow", "delay_s": 0.3})
        headers = {"Briarfork-Deadline-Ms": "800"}
        task = asyncio.ensure_future(
            scene.ask("POST", "scoring/ok", "paused", data=b"1", keyed=True, headers=headers)
        )
        await asyncio.sleep(0.15)
        entry.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(1.0)
        finally:
            entry.send_signal(signal.SIGCONT)
        await scene.cluster.post(fault, {"mode": "up"})
        reply = await task
        assert reply.outcome == "not-run"
        assert scene.ledger["paused"] == 0

    async def test_killed_vm_leaves_no_second_run(self, scene: Scene) -> None:
        """Guards against a repeat through another VM that runs what a dead VM has sent."""
        tasks = [
            asyncio.ensure_future(
                scene.ask("POST", "scoring/slow/x", f"kill-{n}", data=b"1", keyed=True)
            )
            for n in range(20)
        ]
        await scene.wait(lambda: scene.ledger["kill-0"] == 1)
        scene.cluster.vms[0].processes["entry"].kill()
        ends = await asyncio.gather(*tasks, return_exceptions=True)
        assert all(isinstance(end, aiohttp.ClientError) for end in ends)
        for n in range(20):
            reply = await scene.ask("POST", "scoring/slow/x", f"kill-{n}", 1, True, data=b"1")
            ran = scene.ledger[f"kill-{n}"]
            assert ran <= 1
            assert reply.outcome == "unknown" or (reply.status == 200 and ran == 1)

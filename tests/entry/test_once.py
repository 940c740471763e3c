"""Tests that non-idempotent requests run at most once under faults of any component."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import aiohttp
import pytest
import pytest_asyncio

from tests.entry.environment import Environment
from tests.entry.environment import Reply
from tests.entry.environment import run_environment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

FAULTS = ("close-after-run", "half-head", "short", "open-chunks", "until-close", "garbage")
WRITES = ("POST", "PUT", "DELETE", "PATCH")


@pytest_asyncio.fixture
async def environment(tmp_path: Path) -> AsyncIterator[Environment]:
    async with run_environment(tmp_path) as running:
        yield running


async def request_until_sent(
    environment: Environment, method: str, path: str, name: str, keyed: bool
) -> Reply:
    """Retries while the request is refused; servers that fail are paused for up to 2 s."""
    while True:
        reply = await environment.request(method, path, name, keyed=keyed, data=b"1")
        if reply.outcome != "not-run":
            return reply
        assert environment.ledger[name] == 0, name


class TestServerFaults:
    @pytest.mark.parametrize("keyed", [False, True])
    async def test_lost_response_is_unknown_and_runs_once(
        self, environment: Environment, keyed: bool
    ) -> None:
        """Guards against a write that runs twice because the library or the proxy resends it."""
        for fault in (*FAULTS, "silent"):
            for method in WRITES:
                name = f"{fault}-{method}"
                try:
                    reply = await request_until_sent(
                        environment, method, f"scoring/{fault}/x", name, keyed
                    )
                    assert (reply.error, reply.outcome) == ("outcome_unknown", "unknown"), name
                except aiohttp.ClientError:
                    # The caller's connection was reset in the middle of the response.
                    assert fault in ("short", "open-chunks"), name
                    assert not keyed, name
                assert environment.ledger[name] == 1, name

    async def test_closed_kept_connection_causes_no_resend(self, environment: Environment) -> None:
        """Guards against aiohttp's own resend of PUT and DELETE on a kept connection."""
        for number in range(20):
            await environment.request("GET", "scoring/ok", f"warm-{number}")
        for method in WRITES:
            for number in range(5):
                name = f"{method}-{number}"
                reply = await environment.request(
                    method, "scoring/close-after-run/x", name, data=b"1"
                )
                assert reply.outcome == "unknown"
                assert environment.ledger[name] == 1

    async def test_idle_connections_are_not_used_near_their_close(
        self, environment: Environment
    ) -> None:
        """Guards against unknown outcomes that are only due to the close of idle connections."""
        for server in environment.servers:
            server.idle_timeout_s = 1.5
        for number in range(8):
            tasks = [
                environment.request("POST", "scoring/slow/x", f"idle-{number}-{n}", data=b"1")
                for n in range(12)
            ]
            replies = await asyncio.gather(*tasks)
            assert [reply.outcome for reply in replies] == [None] * 12
            # The next round starts around the moment at which the servers close connections.
            await asyncio.sleep(1.495 + 0.001 * number)

    async def test_refused_request_can_be_retried(self, environment: Environment) -> None:
        """Guards against a refusal that is recorded as a run, and the reverse."""
        reply = await environment.request(
            "POST", "scoring/refuse/always", "shed", data=b"1", keyed=True
        )
        assert (reply.status, reply.outcome) == (503, "not-run")
        assert environment.ledger["shed"] == 0
        again = await environment.request(
            "POST", "scoring/refuse/always", "shed", data=b"1", keyed=True
        )
        assert again.error == "overloaded", "the claim of a refused request was not removed"

    async def test_second_copy_of_a_refusal_is_not_taken_for_the_next_one(
        self, environment: Environment
    ) -> None:
        """Guards against a request that runs but is sent once more or refused as not run."""
        for number in range(5):
            await environment.request(
                "POST", "scoring/refuse-twice/always", f"refused-{number}", data=b"1"
            )
            names = [f"order-{number}-{index}" for index in range(4)]
            replies = await asyncio.gather(
                *(
                    environment.request("POST", "scoring/slow/always", name, data=b"1")
                    for name in names
                )
            )
            for reply, name in zip(replies, names, strict=True):
                assert reply.outcome != "not-run" or environment.ledger[name] == 0
                assert environment.ledger[name] <= 1

    async def test_stopped_servers_leave_the_request_not_run(
        self, environment: Environment
    ) -> None:
        """Guards against an unknown outcome of a request that reached no server."""
        for server in environment.servers:
            server.stop()
        reply = await environment.request("POST", "scoring/ok", "nobody", data=b"1", keyed=True)
        assert reply.outcome == "not-run"
        assert environment.ledger["nobody"] == 0


class TestCallerFaults:
    async def test_disconnected_caller_gets_the_response_on_retry(
        self, environment: Environment
    ) -> None:
        """Guards against a claim that stays open because its caller disconnected."""
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await environment.request("POST", "scoring/slow/x", "left", data=b"1", keyed=True)
        async with asyncio.timeout(5.0):
            while True:
                reply = await environment.request(
                    "POST", "scoring/slow/x", "left", vm=1, data=b"1", keyed=True
                )
                if reply.status == 200:
                    break
                assert reply.error == "duplicate_request"
        assert reply.headers["Briarfork-Replayed"] == "true"
        assert environment.ledger["left"] == 1

    async def test_disconnect_without_a_key_cancels_the_request(
        self, environment: Environment
    ) -> None:
        """Guards against work at a server for a caller that has disconnected."""
        lost = sum(server.lost_connections for server in environment.servers)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await environment.request("GET", "results/silent/x", "gone")
        await environment.wait_until(
            lambda: sum(server.lost_connections for server in environment.servers) > lost
        )

    async def test_many_callers_with_one_key_run_once(self, environment: Environment) -> None:
        """Guards against two entry VMs that hold the same claim."""
        replies = await asyncio.gather(
            *(
                environment.request(
                    "POST", "scoring/slow/x", "shared", vm=n % 2, data=b"1", keyed=True
                )
                for n in range(20)
            )
        )
        assert environment.ledger["shared"] == 1
        assert {reply.error for reply in replies} == {None, "duplicate_request"}


class TestStoreFaults:
    async def test_lost_response_to_the_claim_still_runs_once(
        self, environment: Environment
    ) -> None:
        """Guards against a request that takes its own claim for that of another request."""
        await environment.cluster.post(
            f"{environment.cluster.store_url}/fault", {"mode": "lose", "count": 1}
        )
        reply = await environment.request("POST", "scoring/ok", "lost", data=b"1", keyed=True)
        assert reply.status == 200
        assert environment.ledger["lost"] == 1

    async def test_unconfirmed_claim_is_removed_after_the_outage(
        self, environment: Environment
    ) -> None:
        """Guards against a key that stays blocked by a request that never ran."""
        fault = f"{environment.cluster.store_url}/fault"
        await environment.request("POST", "scoring/ok", "first", data=b"1", keyed=True)
        await environment.cluster.post(fault, {"mode": "slow", "delay_s": 0.7})
        reply = await environment.request("POST", "scoring/ok", "late", data=b"1", keyed=True)
        assert (reply.error, reply.outcome) == ("claim_unavailable", "not-run")
        await environment.cluster.post(fault, {"mode": "up"})
        async with asyncio.timeout(10.0):
            while reply.status != 200:
                reply = await environment.request(
                    "POST", "scoring/ok", "late", data=b"1", keyed=True
                )
                await asyncio.sleep(0.1)
        assert environment.ledger["late"] == 1

    async def test_response_during_an_outage_is_stored_after_it(
        self, environment: Environment
    ) -> None:
        """Guards against a claim that stays open because the store was down when it finished."""
        fault = f"{environment.cluster.store_url}/fault"
        task = asyncio.ensure_future(
            environment.request("POST", "scoring/slow/x", "down", data=b"1", keyed=True)
        )
        await environment.wait_until(lambda: environment.ledger["down"] == 1)
        await environment.cluster.post(fault, {"mode": "refuse"})
        assert (await task).status == 200
        await environment.cluster.post(fault, {"mode": "up"})
        async with asyncio.timeout(10.0):
            while True:
                reply = await environment.request(
                    "POST", "scoring/slow/x", "down", 1, True, data=b"1"
                )
                if reply.status == 200:
                    break
                await asyncio.sleep(0.1)
        assert environment.ledger["down"] == 1


class TestEntryVmFaults:
    async def test_paused_vm_sends_nothing_after_the_deadline(
        self, environment: Environment
    ) -> None:
        """Guards against a resumed VM that sends what its caller has already retried elsewhere."""
        fault = f"{environment.cluster.store_url}/fault"
        entry = environment.cluster.vms[0].processes["entry"]
        await environment.request("POST", "scoring/ok", "lease", data=b"1", keyed=True)
        await environment.cluster.post(fault, {"mode": "slow", "delay_s": 0.3})
        headers = {"Briarfork-Deadline-Ms": "800"}
        task = asyncio.ensure_future(
            environment.request(
                "POST", "scoring/ok", "paused", data=b"1", keyed=True, headers=headers
            )
        )
        await asyncio.sleep(0.15)
        entry.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(1.0)
        finally:
            entry.send_signal(signal.SIGCONT)
        await environment.cluster.post(fault, {"mode": "up"})
        reply = await task
        assert reply.outcome == "not-run"
        assert environment.ledger["paused"] == 0

    async def test_killed_vm_leaves_no_second_run(self, environment: Environment) -> None:
        """Guards against a retry through another VM that runs what a dead VM has sent."""
        tasks = [
            asyncio.ensure_future(
                environment.request("POST", "scoring/slow/x", f"kill-{n}", data=b"1", keyed=True)
            )
            for n in range(20)
        ]
        await environment.wait_until(lambda: environment.ledger["kill-0"] == 1)
        environment.cluster.vms[0].processes["entry"].kill()
        ends = await asyncio.gather(*tasks, return_exceptions=True)
        assert all(isinstance(end, aiohttp.ClientError) for end in ends)
        for n in range(20):
            reply = await environment.request(
                "POST", "scoring/slow/x", f"kill-{n}", 1, True, data=b"1"
            )
            ran = environment.ledger[f"kill-{n}"]
            assert ran <= 1
            assert reply.outcome == "unknown" or (reply.status == 200 and ran == 1)

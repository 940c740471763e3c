"""Tests that each caller gets its own complete response, under faults of backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import pytest
import pytest_asyncio

from tests.entry.environment import Environment
from tests.entry.environment import run_environment
from tests.standins.backend import make_content
from tests.standins.scripted import DOWNLOAD_BYTES

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path


@pytest_asyncio.fixture
async def environment(tmp_path: Path) -> AsyncIterator[Environment]:
    async with run_environment(tmp_path, vms=1) as running:
        yield running


class TestResponseIsolation:
    async def test_unsolicited_response_is_not_delivered(self, environment: Environment) -> None:
        """Guards against leftover bytes on a kept connection that become the next response."""
        for number in range(30):
            await environment.request("GET", "results/unasked/always", f"first-{number}")
            # The unsolicited response follows the first one after 50 ms.
            await asyncio.sleep(0.07)
            reply = await environment.request("GET", "results/ok", f"second-{number}")
            assert reply.body == f"second-{number} /ok".encode()

    async def test_response_after_cancellation_is_not_delivered(
        self, environment: Environment
    ) -> None:
        """Guards against a response that arrives after its caller has disconnected."""
        for number in range(10):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.05):
                    await environment.request("GET", "results/slow/always", f"late-{number}")
        names = [f"after-{number}" for number in range(40)]
        paths = ["results/slow/always" if n % 3 else "results/ok" for n in range(40)]
        replies = await asyncio.gather(
            *(
                environment.request("GET", path, name)
                for path, name in zip(paths, names, strict=True)
            )
        )
        for reply, name in zip(replies, names, strict=True):
            assert reply.body.startswith(name.encode() + b" ")


class TestCompleteResponse:
    @pytest.mark.parametrize("script", ["short", "open-chunks"])
    async def test_truncated_response_resets_the_caller(
        self, environment: Environment, script: str
    ) -> None:
        """Guards against a truncated response that looks complete."""
        with pytest.raises(aiohttp.ClientError):
            await environment.request("GET", f"results/{script}/always", script)

    async def test_response_delimited_by_close_is_rejected(self, environment: Environment) -> None:
        """Guards against a lost connection that is mistaken for the end of the response."""
        reply = await environment.request("GET", "results/until-close/always", "close")
        assert reply.error == "outcome_unknown"
        repeated = await environment.request("GET", "results/until-close/x", "repeated")
        assert repeated.body == b"repeated /until-close/x"

    async def test_responses_without_a_body_are_complete(self, environment: Environment) -> None:
        """Guards against waiting for a body that HTTP excludes, and a connection out of sync."""
        for number in range(5):
            for script, method, status in (
                ("head", "HEAD", 200),
                ("empty", "GET", 204),
                ("unchanged", "GET", 304),
            ):
                reply = await environment.request(method, f"results/{script}/always", "empty")
                assert (reply.status, reply.body) == (status, b"")
            reply = await environment.request(
                "GET", "results/informed/always", f"informed-{number}"
            )
            assert reply.body == f"informed-{number} /informed/always".encode()

    async def test_http_1_0_caller_detects_truncation(self, environment: Environment) -> None:
        """Guards against an HTTP/1.0 caller that takes a lost connection for the end."""
        vm = environment.cluster.vms[0]
        reader, writer = await asyncio.open_connection(vm.address, vm.ports["entry"])
        path = "/services/results/open-chunks/always"
        writer.write(f"GET {path} HTTP/1.0\r\nTest-Request: old\r\n\r\n".encode())
        with pytest.raises(ConnectionResetError):
            await reader.read(-1)
        writer.close()


class TestResumedDownload:
    async def test_download_survives_the_loss_of_two_servers(
        self, environment: Environment
    ) -> None:
        """Guards against a download that restarts or is truncated when a server dies."""
        reply = await environment.request("GET", "results/download/always", "download")
        assert reply.body == make_content(0, DOWNLOAD_BYTES)
        assert environment.ledger["download"] == 3

    async def test_other_version_aborts_the_download(self, environment: Environment) -> None:
        """Guards against bytes of two versions in one response."""
        with pytest.raises(aiohttp.ClientError):
            await environment.request("GET", "results/changed/always", "changed")

    async def test_range_request_is_resumed_within_its_range(
        self, environment: Environment
    ) -> None:
        """Guards against a resumed range that ignores where the caller's range begins."""
        headers = {"Range": "bytes=1000-", "If-Range": '"1"'}
        reply = await environment.request(
            "GET", "results/download/always", "range", headers=headers
        )
        assert reply.status == 206
        assert reply.body == make_content(1000, DOWNLOAD_BYTES - 1000)

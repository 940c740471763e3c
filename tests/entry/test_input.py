"""Tests that invalid input of callers ends in an error of `ErrorKind`."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest_asyncio

from briarfork.errors import ErrorKind
from tests.entry.environment import Environment
from tests.entry.environment import run_environment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

SEED = 41


@pytest_asyncio.fixture
async def environment(tmp_path: Path) -> AsyncIterator[Environment]:
    async with run_environment(tmp_path, vms=1) as running:
        yield running


async def send_bytes(environment: Environment, data: bytes, wait_s: float = 5.0) -> bytes:
    """Sends bytes and returns one response, or nothing if none arrives in time."""
    vm = environment.cluster.vms[0]
    reader, writer = await asyncio.open_connection(vm.address, vm.ports["entry"])
    try:
        async with asyncio.timeout(wait_s):
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
            return head + await reader.readexactly(int(length))
    except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
        return b""
    finally:
        writer.close()


def read_kind(answer: bytes) -> str:
    lines = answer.split(b"\r\n\r\n")[0].split(b"\r\n")
    values = [line.split(b": ")[1] for line in lines if line.startswith(b"Briarfork-Error: ")]
    return values[0].decode() if values else ""


class TestBadRequests:
    async def test_each_error_has_its_kind(self, environment: Environment) -> None:
        """Guards against errors that callers cannot distinguish by their kind."""
        line = "GET /services/results/ok HTTP/1.1\r\nHost: x\r\n"
        post = "POST /services/scoring/ok HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
        cases = {
            f"{line}A: {'x' * 9000}\r\nB: {'x' * 9000}\r\n\r\n": "header_too_large",
            f"{line}A: {'x' * 40000}\r\n\r\n": "header_too_large",
            f"{post}Idempotency-Key: {'k' * 129}\r\n\r\n1": "bad_request",
            f"{post}Idempotency-Key: \r\n\r\n1": "bad_request",
            f"{post}Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n1": "bad_request",
            f"{line}Briarfork-Deadline-Ms: --1\r\n\r\n": "bad_request",
            f"{line}Briarfork-Deadline-Ms: -1\r\n\r\n": "deadline_expired",
            "GET /services/none/x HTTP/1.1\r\nHost: x\r\n\r\n": "unknown_service",
            "GET /services/results/../health HTTP/1.1\r\nHost: x\r\n\r\n": "bad_request",
            "GET /services/results/a/%2e%2E/b HTTP/1.1\r\nHost: x\r\n\r\n": "bad_request",
            "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n": "unknown_path",
            "POST /lookup HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n": "bad_request",
            "GET /lookup?service=results&client=x HTTP/1.1\r\nHost: x\r\n\r\n": "bad_request",
            "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n": "bad_request",
            "not HTTP at all\r\n\r\n": "bad_request",
            "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n": "bad_request",
        }
        found = {case: read_kind(await send_bytes(environment, case.encode())) for case in cases}
        assert found == cases

    async def test_path_is_forwarded_unchanged(self, environment: Environment) -> None:
        """Guards against an encoded slash that is decoded to a path separator."""
        data = b"GET /services/results/ok/a%2Fb%20c?d=%26 HTTP/1.1\r\nHost: x\r\n\r\n"
        answer = await send_bytes(environment, data)
        assert answer.endswith(b"- /ok/a%2Fb%20c?d=%26")

    async def test_arbitrary_bytes_cause_no_crash(self, environment: Environment) -> None:
        """Guards against bytes that end the process or cause an error outside `ErrorKind`."""
        source = random.Random(SEED)
        valid = b"POST /services/scoring/ok HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1"
        kinds = {kind.value for kind in ErrorKind}
        for _ in range(300):
            data = bytearray(valid)
            for _ in range(source.randrange(1, 8)):
                data[source.randrange(len(data))] = source.randrange(256)
            answer = await send_bytes(environment, bytes(data), wait_s=0.2)
            if answer and not answer.startswith(b"HTTP/1.1 200"):
                assert read_kind(answer) in kinds, bytes(data)
        for size in (1, 100, 100_000):
            await send_bytes(environment, source.randbytes(size), wait_s=0.2)
        assert (await environment.request("GET", "results/ok", "alive")).status == 200
        assert "name=task_failed" not in environment.cluster.read_log(
            environment.cluster.vms[0], "entry"
        )

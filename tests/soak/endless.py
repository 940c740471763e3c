"""Answers without end of the stand-ins for backend servers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from briarfork.platform import names
from briarfork.registry import Registry

if TYPE_CHECKING:
    from aiohttp import web

# Returns the start of an answer to a request and the part that is sent again and again.
EndlessAnswer = Callable[[str], tuple[bytes, bytes]]
ENDLESS_ANSWERS: Registry[EndlessAnswer] = Registry("endless answer")
# Sent before the request runs, because it says that the request does not run.
REFUSAL = "endless refusal"
PART_BYTES = 65_536
PART_INTERVAL_S = 0.004
# A gateway has closed the connection long before.
LONGEST_S = 3.0
MAX_UNSENT_BYTES = 1_048_576


def _build_head(request_id: str, line: str, *headers: str) -> bytes:
    echo = f"{names.ATTEMPT_ID}: {request_id}"
    return "\r\n".join([f"HTTP/1.1 {line}", echo, *headers, "", ""]).encode()


def _build_seal(request_id: str) -> str:
    return f"{names.RESPONSE_SEAL}: endless.{request_id}"


@ENDLESS_ANSWERS.register("endless body")
def build_body(request_id: str) -> tuple[bytes, bytes]:
    return _build_head(request_id, "200 OK", _build_seal(request_id)), bytes(PART_BYTES)


@ENDLESS_ANSWERS.register("endless chunks")
def build_chunks(request_id: str) -> tuple[bytes, bytes]:
    chunked = "Transfer-Encoding: chunked"
    head = _build_head(request_id, "200 OK", _build_seal(request_id), chunked)
    return head, b"1\r\nx\r\n" * (PART_BYTES // 6)


@ENDLESS_ANSWERS.register(REFUSAL)
def build_refusal(request_id: str) -> tuple[bytes, bytes]:
    return _build_head(request_id, "503 Busy", f"{names.NOT_EXECUTED}: 1"), bytes(PART_BYTES)


@ENDLESS_ANSWERS.register("endless head")
def build_head(request_id: str) -> tuple[bytes, bytes]:
    return b"HTTP/1.1 200 OK\r\n", b"X-More: y\r\n" * (PART_BYTES // 11)


@ENDLESS_ANSWERS.register("endless answers")
def build_answers(request_id: str) -> tuple[bytes, bytes]:
    answer = _build_head("another-request", "200 OK", _build_seal("x"), "Content-Length: 0")
    return answer, answer * (PART_BYTES // len(answer))


@ENDLESS_ANSWERS.register("endless interim answers")
def build_interim_answers(request_id: str) -> tuple[bytes, bytes]:
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    return b"", interim * (PART_BYTES // len(interim))


async def send_endlessly(request: web.BaseRequest, request_id: str, kind: str) -> None:
    """Sends an answer without end until the caller closes the connection."""
    transport = request.transport
    start, part = ENDLESS_ANSWERS.get(kind)(request_id)
    ends_at = time.monotonic() + LONGEST_S
    while transport is not None and not transport.is_closing() and time.monotonic() < ends_at:
        if transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
            transport.write(start + part)
            start = b""
        await asyncio.sleep(PART_INTERVAL_S)
    if transport is not None:
        transport.abort()

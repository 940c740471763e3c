"""Stand-in for faulty backend servers that send bytes without end.

Run as a process of its own, so that what it sends does not slow the callers of a test.
"""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from briarfork.platform import names
from briarfork.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

# Bytes that a connection gets at a time, and the pause between them.
PART_BYTES = 65536
PAUSE_S = 0.004

# For a request id: the beginning of the answer, and what is repeated until the caller closes.
BEHAVIOURS: Registry[Callable[[str], tuple[bytes, bytes]]] = Registry("behaviour of a server")


def build_head(request_id: str, status: int = 200, more: str = "") -> bytes:
    """Returns the head of a sound response up to its last header."""
    seal = f"{names.RESPONSE_SEAL}: s.{request_id}\r\n"
    return f"HTTP/1.1 {status} x\r\n{names.ATTEMPT_ID}: {request_id}\r\n{seal}{more}".encode()


def build_whole(request_id: str, body: bytes) -> bytes:
    return build_head(request_id, 200, f"Content-Length: {len(body)}\r\n\r\n") + body


@BEHAVIOURS.register("body")
def send_body(request_id: str) -> tuple[bytes, bytes]:
    return build_head(request_id) + b"\r\n", bytes(PART_BYTES)


@BEHAVIOURS.register("chunked body")
def send_chunks(request_id: str) -> tuple[bytes, bytes]:
    head = build_head(request_id, 200, "Transfer-Encoding: chunked\r\n\r\n")
    return head, b"%x\r\n%b\r\n" % (PART_BYTES, bytes(PART_BYTES))


@BEHAVIOURS.register("short chunks")
def send_short_chunks(request_id: str) -> tuple[bytes, bytes]:
    head = build_head(request_id, 200, "Transfer-Encoding: chunked\r\n\r\n")
    return head, b"1\r\nx\r\n" * (PART_BYTES // 6)


@BEHAVIOURS.register("refusal")
def send_refusal(request_id: str) -> tuple[bytes, bytes]:
    return build_head(request_id, 503, f"{names.NOT_EXECUTED}: 1\r\n\r\n"), bytes(PART_BYTES)


@BEHAVIOURS.register("headers")
def send_headers(request_id: str) -> tuple[bytes, bytes]:
    return build_head(request_id), b"X-More: y\r\n" * (PART_BYTES // 11)


@BEHAVIOURS.register("interim responses")
def send_interim_responses(request_id: str) -> tuple[bytes, bytes]:
    part = b"HTTP/1.1 103 x\r\n\r\n"
    return b"", part * (PART_BYTES // len(part))


@BEHAVIOURS.register("extra responses")
def send_extra_responses(request_id: str) -> tuple[bytes, bytes]:
    whole = build_whole(request_id, b"whole")
    return whole, whole * (PART_BYTES // len(whole))


@BEHAVIOURS.register("responses to another request")
def send_foreign_responses(request_id: str) -> tuple[bytes, bytes]:
    whole = build_whole(f"not-{request_id}", b"whole")
    return b"", whole * (PART_BYTES // len(whole))


@BEHAVIOURS.register("sound")
def send_sound_response(request_id: str) -> tuple[bytes, bytes]:
    # Long enough to need memory for responses.
    return build_whole(request_id, bytes(10_000)), b""


@BEHAVIOURS.register("stalled large")
def stall(request_id: str) -> tuple[bytes, bytes]:
    return build_head(request_id, 200, "Content-Length: 33000000\r\n\r\n") + b"x", b""


@BEHAVIOURS.register("sound large")
def send_large_response(request_id: str) -> tuple[bytes, bytes]:
    return build_whole(request_id, bytes(4_000_000)), b""


@BEHAVIOURS.register("sound chunked")
def send_large_chunks(request_id: str) -> tuple[bytes, bytes]:
    head, chunk = send_chunks(request_id)
    return head + 61 * chunk + b"0\r\n\r\n", b""


async def serve(address: str, port: int, behaviour: str) -> None:
    """Answers all requests as a behaviour says until the process is killed."""
    build = BEHAVIOURS.get(behaviour)

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_id = head.partition(f"{names.ATTEMPT_ID}: ")[2].partition("\r\n")[0]
                start, part = build(request_id)
                writer.write(start)
                await writer.drain()
                while part and not writer.transport.is_closing():
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(PAUSE_S)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    server = await asyncio.start_server(handle, address, port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], int(sys.argv[2]), sys.argv[3]))

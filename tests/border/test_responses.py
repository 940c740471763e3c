"""Tests of the client side of HTTP connections, on bytes that arrive in pieces of any size."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from briarfork.border.responses import BoundedResponseHandler
from briarfork.border.responses import ResponseFault

# Small, so that the reader of a body falls behind and reading is paused.
READ_BUFFER_BYTES = 32
ITERATIONS = 20


class PausingTransport(asyncio.Transport):
    """A transport that records whether the protocol wants more bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.paused = False
        self.closed = False

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def abort(self) -> None:
        self.closed = True

    close = abort


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a client got: the status, the body, and the fault that closed the connection."""

    status: int
    body: bytes
    faults: list[ResponseFault]
    reusable: bool


async def receive(pieces: list[bytes]) -> Outcome:
    """Lets a handler read pieces as a paused transport allows."""
    faults: list[ResponseFault] = []
    transport = PausingTransport()
    handler = BoundedResponseHandler(asyncio.get_running_loop(), faults.append)
    handler.connection_made(transport)
    handler.set_response_params(read_bufsize=READ_BUFFER_BYTES, read_until_eof=True)

    async def read() -> tuple[int, bytes]:
        while True:
            message, payload = await handler.read()
            if message.code >= 200:
                return message.code, await payload.read()

    async with asyncio.TaskGroup() as group:
        reader = group.create_task(read())
        for piece in pieces:
            while transport.paused and not transport.closed:
                await asyncio.sleep(0)
            if transport.closed:
                break
            handler.data_received(piece)
    for _ in range(ITERATIONS):
        await asyncio.sleep(0)
    return Outcome(*reader.result(), faults, not handler.should_close and not transport.closed)


def build_response(body: bytes, chunk_bytes: int, interim: int, extension: bytes) -> bytes:
    """Returns a whole response, in chunks if these have a size."""
    start = b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" * interim + b"HTTP/1.1 200 OK\r\n"
    if not chunk_bytes:
        return start + b"Content-Length: %d\r\n\r\n" % len(body) + body
    parts = [body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes)]
    chunks = b"".join(b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts)
    trailer = b"X-More: y\r\n" if extension else b""
    return start + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n" + trailer + b"\r\n"


class TestBoundedResponseHandler:
    @settings(max_examples=300, deadline=None)
    @given(
        body=st.binary(max_size=400) | st.sampled_from([b"\r\n" * 90, b"0\r\n\r\n" * 40]),
        chunk_bytes=st.sampled_from([0, 1, 3, 64, 1000]),
        interim=st.integers(0, 8),
        extension=st.sampled_from([b"", b";a=b", b" "]),
        piece_bytes=st.integers(1, 700),
        extra=st.sampled_from(
            [b"", b"x", b"\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"]
        ),
    )
    def test_sound_response_ends_at_its_last_byte(
        self,
        body: bytes,
        chunk_bytes: int,
        interim: int,
        extension: bytes,
        piece_bytes: int,
        extra: bytes,
    ) -> None:
        """Guards against sound bytes that are dropped and extra ones that are kept or parsed."""
        sent = build_response(body, chunk_bytes, interim, extension) + extra
        pieces = [sent[at : at + piece_bytes] for at in range(0, len(sent), piece_bytes)]
        outcome = asyncio.run(receive(pieces))
        faults = [ResponseFault.EXTRA_BYTES] if extra else []
        assert outcome == Outcome(200, body, faults, not extra)

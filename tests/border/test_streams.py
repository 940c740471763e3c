"""Tests of message streams and decoding with untrusted input."""

from __future__ import annotations

import asyncio
import tracemalloc
from typing import TYPE_CHECKING
from typing import Any

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarfork.border.messages import MESSAGES
from briarfork.border.messages import Changes
from briarfork.border.messages import Heartbeat
from briarfork.border.messages import Hello
from briarfork.border.messages import Message
from briarfork.border.messages import decode
from briarfork.border.messages import encode
from briarfork.border.messages import split_changes
from briarfork.border.stream_memory import StreamMemory
from briarfork.border.streams import MAX_MESSAGE_BYTES
from briarfork.border.streams import MessageStream
from briarfork.border.streams import StreamClosed
from briarfork.border.streams import StreamTimeout
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from tests.membership.fleet import build_member
from tests.timeline.test_timeline import build_change
from tests.timeline.test_timeline import build_timeline

if TYPE_CHECKING:
    from collections.abc import Iterable

HEARTBEAT = Heartbeat(3, [build_member("vm-1")], digests=(1, 2**64 - 1))
HELLO = Hello("vm-1", "north-a", 5)
MAX_HELD_BYTES = 16
MAX_ALLOCATED_BYTES = 2 * 1024 * 1024
MSGPACK_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
    max_leaves=10,
)


class FakeTransport:
    """Fake of a transport without bytes that were not sent."""

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        """Does nothing."""


class FakeWriter:
    """Fake of `asyncio.StreamWriter` for streams that only receive."""

    transport = FakeTransport()

    def get_extra_info(self, _: str) -> str:
        return "peer"


async def read_all(parts: Iterable[bytes]) -> list[Message]:
    reader = asyncio.StreamReader()
    for part in parts:
        reader.feed_data(part)
    reader.feed_eof()
    stream = MessageStream(reader, FakeWriter())  # type: ignore[arg-type]
    messages = []
    while True:
        try:
            messages.append(await stream.receive(1.0))
        except StreamClosed:
            return messages


def assert_rejected(data: bytes) -> None:
    """Asserts that reading the data ends the stream or raises a protocol error."""
    kind = ErrorKind.PEER_PROTOCOL
    try:
        asyncio.run(read_all([data]))
    except BriarforkError as error:
        kind = error.kind
    assert kind is ErrorKind.PEER_PROTOCOL


class TestFraming:
    @given(st.lists(st.integers(1, 40), max_size=20))
    async def test_messages_split_at_any_byte(self, sizes: list[int]) -> None:
        """Guards against messages lost at the boundary between two reads."""
        data = encode(HEARTBEAT) + encode(HELLO)
        parts = []
        for size in sizes:
            parts.append(data[:size])
            data = data[size:]
        assert await read_all([*parts, data]) == [HEARTBEAT, HELLO]

    async def test_partial_message_times_out(self) -> None:
        """Guards against a peer that keeps a stream open without ever completing a message."""
        reader = asyncio.StreamReader()
        stream = MessageStream(reader, FakeWriter())  # type: ignore[arg-type]

        async def feed_slowly() -> None:
            while True:
                reader.feed_data(b"\x91")
                await asyncio.sleep(0.01)

        async with asyncio.TaskGroup() as group:
            feeder = group.create_task(feed_slowly())
            with pytest.raises(StreamClosed, match="silent"):
                await stream.receive(0.1)
            feeder.cancel()


class TestStreamMemory:
    async def test_stream_that_is_closed_by_what_it_receives_ends_at_once(self) -> None:
        """Guards against a handler that waits for a stream which its own message has closed."""
        reader = asyncio.StreamReader()
        closed: list[str] = []
        memory = StreamMemory(MAX_HELD_BYTES, lambda peer, _: closed.append(peer))
        stream = MessageStream(reader, FakeWriter(), memory)  # type: ignore[arg-type]
        reader.feed_data(encode(HELLO)[:-1])
        with pytest.raises(StreamClosed) as caught:
            await stream.receive(timeout_s=1.0)
        assert not isinstance(caught.value, StreamTimeout)
        assert closed == ["peer"]


class TestDecoder:
    @given(st.binary(max_size=200))
    def test_rejects_arbitrary_bytes(self, data: bytes) -> None:
        """Guards against invalid input that crashes the process."""
        assert_rejected(data)

    @given(st.sampled_from(MESSAGES.names()), st.dictionaries(st.text(max_size=9), MSGPACK_VALUES))
    def test_rejects_arbitrary_fields(self, name: str, fields: dict[str, Any]) -> None:
        """Guards against accepting a known message type with unexpected fields."""
        assert_rejected(msgpack.packb({**fields, "type": name}))

    @given(st.integers(0, 200), st.integers(0, 255))
    def test_rejects_corrupted_message(self, offset: int, value: int) -> None:
        """Guards against a corrupted byte that puts a value of the wrong type into the roster."""
        data = bytearray(encode(HEARTBEAT))
        data[offset % len(data)] = value
        assert_rejected(bytes(data))

    @pytest.mark.parametrize("header", [b"\xdd\x00\x01\x86\xa0", b"\xdf\x00\x01\x86\xa0\xa1a"])
    def test_nested_headers_allocate_no_memory(self, header: bytes) -> None:
        """Guards against 5 KB of nested headers that allocate 67 MB, above the memory budget."""
        tracemalloc.start()
        try:
            assert_rejected(header * 1000)
            assert tracemalloc.get_traced_memory()[1] < MAX_ALLOCATED_BYTES
        finally:
            tracemalloc.stop()

    def test_rejects_oversized_message(self) -> None:
        """Guards against a receive buffer that grows without limit."""
        with pytest.raises(BriarforkError, match="exceeds"):
            asyncio.run(read_all([b"\xc6\x7f\xff\xff\xff" + bytes(MAX_MESSAGE_BYTES)]))

    @pytest.mark.parametrize("value", [b"bytes", msgpack.ExtType(5, b"x"), msgpack.Timestamp(1)])
    def test_rejects_change_that_cannot_be_hashed(self, value: object) -> None:
        """Guards against a document that crashes the task which computes its hash."""
        body = msgpack.unpackb(encode(Changes([build_change(build_timeline())])))
        body["changes"][0]["edits"] = {"base": {"key": value}}
        with pytest.raises(BriarforkError) as caught:
            decode(msgpack.packb(body))
        assert caught.value.kind is ErrorKind.PEER_PROTOCOL


class TestMessageTypes:
    def test_type_tag_matches_registered_name(self) -> None:
        """Guards against handlers registered under a name that no message uses."""
        for name, message in MESSAGES:
            assert message.name == name == message.__struct_config__.tag


class TestSplitChanges:
    def test_batches_stay_below_the_size_limit(self) -> None:
        """Guards against batches of large changes that exceed the message size limit."""
        timeline = build_timeline()
        for _ in range(6):
            timeline.append(build_change(timeline, edits={"base": {"text": "x" * 400_000}}))
        batches = split_changes(timeline.list_after(0, 64))
        assert [len(batch) for batch in batches] == [2, 2, 2]

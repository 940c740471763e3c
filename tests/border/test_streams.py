"""Streams of messages, fed with bytes of a peer that may send anything."""

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
from briarfork.border.streams import MAX_MESSAGE_BYTES
from briarfork.border.streams import MessageStream
from briarfork.border.streams import StreamClosed
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from tests.membership.fleet import build_member
from tests.timeline.test_timeline import build_change
from tests.timeline.test_timeline import build_timeline

if TYPE_CHECKING:
    from collections.abc import Iterable

HEARTBEAT = Heartbeat(3, [build_member("vm-1")], digests=(1, 2**64 - 1))
HELLO = Hello("vm-1", "north-a", 5)
MEMORY_BYTES = 2 * 1024 * 1024
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
    max_leaves=10,
)


class Writer:
    """Takes the place of the sending side."""

    def get_extra_info(self, _: str) -> str:
        return "peer"


async def read_all(parts: Iterable[bytes]) -> list[Message]:
    reader = asyncio.StreamReader()
    for part in parts:
        reader.feed_data(part)
    reader.feed_eof()
    stream = MessageStream(reader, Writer())  # type: ignore[arg-type]
    messages = []
    while True:
        try:
            messages.append(await stream.receive(1.0))
        except StreamClosed:
            return messages


def check_refused(data: bytes) -> None:
    """Reads bytes, which end the stream or are a protocol error, and nothing else."""
    kind = ErrorKind.PEER_PROTOCOL
    try:
        asyncio.run(read_all([data]))
    except BriarforkError as error:
        kind = error.kind
    assert kind is ErrorKind.PEER_PROTOCOL


class TestFraming:
    @given(st.lists(st.integers(1, 40), max_size=20))
    async def test_does_not_depend_on_how_bytes_arrive(self, cuts: list[int]) -> None:
        """Guards against a message that is lost where two reads meet."""
        data = encode(HEARTBEAT) + encode(HELLO)
        parts = []
        for cut in cuts:
            parts.append(data[:cut])
            data = data[cut:]
        assert await read_all([*parts, data]) == [HEARTBEAT, HELLO]

    async def test_half_a_message_counts_as_silence(self) -> None:
        """Guards against a peer that keeps a stream open with bytes that never make a message."""
        reader = asyncio.StreamReader()
        stream = MessageStream(reader, Writer())  # type: ignore[arg-type]

        async def drip() -> None:
            while True:
                reader.feed_data(b"\x91")
                await asyncio.sleep(0.01)

        async with asyncio.TaskGroup() as group:
            dripping = group.create_task(drip())
            with pytest.raises(StreamClosed, match="no message within"):
                await stream.receive(0.1)
            dripping.cancel()


class TestDecoder:
    @given(st.binary(max_size=200))
    def test_refuses_arbitrary_bytes(self, data: bytes) -> None:
        """Guards against bytes of a foreign program that end the process."""
        check_refused(data)

    @given(st.sampled_from(MESSAGES.names()), st.dictionaries(st.text(max_size=9), VALUES))
    def test_refuses_arbitrary_fields(self, name: str, fields: dict[str, Any]) -> None:
        """Guards against a message of a known type with other fields."""
        check_refused(msgpack.packb({**fields, "type": name}))

    @given(st.integers(0, 200), st.integers(0, 255))
    def test_refuses_a_damaged_message(self, place: int, value: int) -> None:
        """Guards against a single wrong byte that gets into the roster as another type."""
        data = bytearray(encode(HEARTBEAT))
        data[place % len(data)] = value
        check_refused(bytes(data))

    @pytest.mark.parametrize("header", [b"\xdd\x00\x01\x86\xa0", b"\xdf\x00\x01\x86\xa0\xa1a"])
    def test_nested_lengths_take_no_memory(self, header: bytes) -> None:
        """Guards against 5 KB of nested headers that take 67 MB, more than the budget."""
        tracemalloc.start()
        try:
            check_refused(header * 1000)
            assert tracemalloc.get_traced_memory()[1] < MEMORY_BYTES
        finally:
            tracemalloc.stop()

    def test_refuses_a_message_over_the_bound(self) -> None:
        """Guards against a buffer that grows as long as a peer sends."""
        with pytest.raises(BriarforkError, match="exceeds"):
            asyncio.run(read_all([b"\xc6\x7f\xff\xff\xff" + bytes(MAX_MESSAGE_BYTES)]))

    @pytest.mark.parametrize("value", [b"bytes", msgpack.ExtType(5, b"x"), msgpack.Timestamp(1)])
    def test_refuses_a_change_that_has_no_hash(self, value: object) -> None:
        """Guards against a document that ends the task which computes its hash."""
        body = msgpack.unpackb(encode(Changes([build_change(build_timeline())])))
        body["changes"][0]["edits"] = {"base": {"key": value}}
        with pytest.raises(BriarforkError) as caught:
            decode(msgpack.packb(body))
        assert caught.value.kind is ErrorKind.PEER_PROTOCOL


class TestMessageTypes:
    def test_name_on_the_stream_is_the_registered_one(self) -> None:
        """Guards against a handler that is registered for a name that no message carries."""
        for name, message in MESSAGES:
            assert message.name == name == message.__struct_config__.tag


class TestSplitChanges:
    def test_batches_stay_under_the_bound(self) -> None:
        """Guards against large changes that together exceed the largest message."""
        timeline = build_timeline()
        for _ in range(6):
            timeline.append(build_change(timeline, edits={"base": {"text": "x" * 400_000}}))
        batches = split_changes(timeline.list_after(0, 64))
        assert [len(batch) for batch in batches] == [2, 2, 2]

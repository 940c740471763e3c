"""Streams of msgpack messages between the system's own processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgpack

from briarfork.border.messages import decode
from briarfork.border.messages import encode
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from briarfork.border.messages import Message

READ_BYTES = 65536
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class StreamClosed(BriarforkError):
    """A stream that ended, broke or went silent."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.PEER_PROTOCOL, detail)


class StreamSilent(StreamClosed):
    """A stream on which nothing arrived within the silence limit; the peer may still run."""


class MessageStream:
    """One connection that carries messages in both directions.

    Messages to a peer that does not read pile up only to a bound; then the stream is closed.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._unpacker = _build_unpacker()
        self._buffer = bytearray()
        self._taken = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.peer = str(writer.get_extra_info("peername"))

    def send(self, message: Message) -> None:
        """Queues a message for sending.

        Raises:
            StreamClosed: If the stream is closed or the peer does not read.
        """
        if self._writer.is_closing():
            raise StreamClosed(f"{self.peer}: the stream is closed")
        if self._writer.transport.get_write_buffer_size() > MAX_MESSAGE_BYTES:
            self.abort()
            raise StreamClosed(f"{self.peer}: the peer does not read")
        data = encode(message)
        self.bytes_sent += len(data)
        self._writer.write(data)

    async def receive(self, silence_s: float) -> Message:
        """Returns the next message.

        Raises:
            StreamClosed: If the stream ends or no whole message arrives within the silence limit.
            BriarforkError: If the bytes are not a valid message.
        """
        try:
            async with asyncio.timeout(silence_s):
                while (data := self._take()) is None:
                    await self._fill()
        except TimeoutError as error:
            raise StreamSilent(f"{self.peer}: silent for {silence_s:g} s") from error
        return decode(data)

    def abort(self) -> None:
        """Closes the stream at once, without sending what is queued."""
        self._writer.transport.abort()

    def _take(self) -> bytes | None:
        """Returns the next whole value, or None if more bytes are needed.

        The value is skipped and not built. Building allocates by the lengths that headers state,
        and 5 KB of nested headers took 67 MB.
        """
        try:
            self._unpacker.skip()
        except msgpack.OutOfData:
            return None
        except (msgpack.UnpackException, ValueError) as error:
            raise BriarforkError(
                ErrorKind.PEER_PROTOCOL, f"{self.peer}: not msgpack: {error}"
            ) from error
        end = self._unpacker.tell()
        data = bytes(self._buffer[: end - self._taken])
        del self._buffer[: end - self._taken]
        self._taken = end
        if not self._buffer and len(data) > READ_BYTES:
            # The buffer of an unpacker never shrinks.
            self._unpacker, self._taken = _build_unpacker(), 0
        return data

    async def _fill(self) -> None:
        try:
            data = await self._reader.read(READ_BYTES)
        except OSError as error:
            raise StreamClosed(f"{self.peer}: {error}") from error
        if not data:
            raise StreamClosed(f"{self.peer}: closed by the peer")
        if len(self._buffer) + len(data) > MAX_MESSAGE_BYTES:
            raise BriarforkError(
                ErrorKind.PEER_PROTOCOL,
                f"{self.peer}: expected a message of at most {MAX_MESSAGE_BYTES} bytes",
            )
        self.bytes_received += len(data)
        self._buffer += data
        self._unpacker.feed(data)


def _build_unpacker() -> msgpack.Unpacker:
    return msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)


async def dial(
    address: str, port: int, connect_s: float, source: str | None = None
) -> MessageStream:
    """Opens a stream to a peer, from a source address if one is given.

    Raises:
        StreamClosed: If the peer does not accept within the limit.
    """
    try:
        async with asyncio.timeout(connect_s):
            local = (source, 0) if source else None
            reader, writer = await asyncio.open_connection(address, port, local_addr=local)
    except (OSError, TimeoutError) as error:
        raise StreamClosed(f"{address}:{port}: no connection: {error}") from error
    return MessageStream(reader, writer)


async def serve(
    address: str, port: int, handle: Callable[[MessageStream], Awaitable[None]]
) -> asyncio.Server:
    """Accepts streams; each is handled by one task that ends with its connection."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = MessageStream(reader, writer)
        try:
            await handle(stream)
        finally:
            stream.abort()

    return await asyncio.start_server(run, address, port)

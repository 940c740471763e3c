"""Streams of msgpack messages between the system's own processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgpack

from briarfork.border.messages import from_map
from briarfork.border.messages import to_map
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from briarfork.border.messages import Message

READ_BYTES = 65536
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_DEPTH_ITEMS = 100_000


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
        self._unpacker = msgpack.Unpacker(
            raw=False,
            strict_map_key=True,
            max_buffer_size=MAX_MESSAGE_BYTES,
            max_array_len=MAX_DEPTH_ITEMS,
            max_map_len=MAX_DEPTH_ITEMS,
        )
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
        self._writer.write(msgpack.packb(to_map(message), use_bin_type=True))

    async def receive(self, silence_s: float) -> Message:
        """Returns the next message.

        Raises:
            StreamClosed: If the stream ends or nothing arrives within the silence limit.
            BriarforkError: If the bytes are not a valid message.
        """
        while True:
            try:
                body = self._unpacker.unpack()
            except msgpack.OutOfData:
                await self._fill(silence_s)
                continue
            except (msgpack.UnpackException, ValueError, RecursionError) as error:
                raise BriarforkError(
                    ErrorKind.PEER_PROTOCOL, f"{self.peer}: not msgpack: {error}"
                ) from error
            return from_map(body)

    def abort(self) -> None:
        """Closes the stream at once, without sending what is queued."""
        self._writer.transport.abort()

    async def _fill(self, silence_s: float) -> None:
        try:
            async with asyncio.timeout(silence_s):
                data = await self._reader.read(READ_BYTES)
        except TimeoutError as error:
            raise StreamSilent(f"{self.peer}: silent for {silence_s:g} s") from error
        except OSError as error:
            raise StreamClosed(f"{self.peer}: {error}") from error
        if not data:
            raise StreamClosed(f"{self.peer}: closed by the peer")
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull as error:
            raise BriarforkError(
                ErrorKind.PEER_PROTOCOL,
                f"{self.peer}: expected a message of at most {MAX_MESSAGE_BYTES} bytes",
            ) from error


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

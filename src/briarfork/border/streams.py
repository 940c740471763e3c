"""Bidirectional msgpack message streams between briarfork processes."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import msgpack

from briarfork.border.listening import listen_when_free
from briarfork.border.messages import decode
from briarfork.border.messages import encode
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from briarfork.border.messages import Message
    from briarfork.border.stream_memory import StreamMemory

READ_CHUNK_BYTES = 65536
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Unread bytes above which the transport of an accepted stream stops reading; the transport may hold
# twice as many and one read.
UNREAD_BYTES = 16384
# A peer can send so much in each round trip; permit messages take some hundred bytes.
RECEIVE_BUFFER_BYTES = 65536


class StreamClosed(BriarforkError):
    """Raised when a stream is closed, fails or times out."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.PEER_PROTOCOL, detail)


class StreamTimeout(StreamClosed):
    """Raised when no whole message arrives in time; the peer may still be running."""


class MessageStream:
    """Sends and receives messages on one connection.

    The send buffer is bounded: a peer that does not read its messages is disconnected once the
    buffer holds more than `MAX_MESSAGE_BYTES`.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        memory: StreamMemory | None = None,
    ) -> None:
        """Creates a stream on an open connection.

        Args:
            reader: Reader of the connection.
            writer: Writer of the connection.
            memory: Bound for what this stream and others hold together, None for no such bound.
        """
        self._reader = reader
        self._writer = writer
        self._memory = memory
        self._unpacker = _build_unpacker()
        self._buffer = bytearray()
        self._consumed_bytes = 0
        self._is_aborted = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self.peer = str(writer.get_extra_info("peername"))

    @property
    def held_bytes(self) -> int:
        """Bytes of incomplete messages, which are kept twice, and of messages not sent yet."""
        return 2 * len(self._buffer) + self._writer.transport.get_write_buffer_size()

    def send(self, message: Message) -> None:
        """Queues a message for sending.

        Raises:
            StreamClosed: If the stream is closed or the send buffer is full.
        """
        if self._writer.is_closing():
            raise StreamClosed(f"{self.peer}: stream is closed")
        if self._writer.transport.get_write_buffer_size() > MAX_MESSAGE_BYTES:
            self.abort()
            raise StreamClosed(f"{self.peer}: send buffer is full")
        data = encode(message)
        self.bytes_sent += len(data)
        self._writer.write(data)
        self._count_memory()

    async def receive(self, timeout_s: float) -> Message:
        """Waits for the next message and returns it.

        Raises:
            StreamTimeout: If no whole message arrives within the timeout.
            StreamClosed: If the stream ends.
            BriarforkError: With kind `peer_protocol` if the bytes are not a valid message.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while (data := self._pop_frame()) is None:
                    await self._read_more()
        except TimeoutError as error:
            raise StreamTimeout(f"{self.peer}: silent for {timeout_s:g} s") from error
        return decode(data)

    def abort(self) -> None:
        """Closes the stream immediately and discards what it holds.

        The exceptions that end its handler refer to the stream until the garbage collector runs.
        """
        self._writer.transport.abort()
        self._is_aborted = True
        self._reader = asyncio.StreamReader()
        self._buffer = bytearray()
        self._unpacker, self._consumed_bytes = _build_unpacker(), 0

    def _count_memory(self) -> None:
        if self._memory is not None:
            self._memory.update(self)

    def _pop_frame(self) -> bytes | None:
        """Removes and returns the next encoded value, or None if more bytes are needed.

        The value is skipped and not unpacked: unpacking allocates memory by the lengths declared in
        the headers, and 5 KB of nested headers allocated 67 MB.
        """
        try:
            self._unpacker.skip()
        except msgpack.OutOfData:
            return None
        except (msgpack.UnpackException, ValueError) as error:
            raise BriarforkError(
                ErrorKind.PEER_PROTOCOL, f"{self.peer}: invalid msgpack: {error}"
            ) from error
        end = self._unpacker.tell()
        data = bytes(self._buffer[: end - self._consumed_bytes])
        del self._buffer[: end - self._consumed_bytes]
        self._consumed_bytes = end
        if not self._buffer and len(data) > READ_CHUNK_BYTES:
            # The internal buffer of an unpacker never shrinks.
            self._unpacker, self._consumed_bytes = _build_unpacker(), 0
        return data

    async def _read_more(self) -> None:
        # What the stream has just received may have closed it.
        self._require_open()
        try:
            data = await self._reader.read(READ_CHUNK_BYTES)
        except OSError as error:
            raise StreamClosed(f"{self.peer}: {error}") from error
        self._require_open()
        if not data:
            raise StreamClosed(f"{self.peer}: connection closed by peer")
        if len(self._buffer) + len(data) > MAX_MESSAGE_BYTES:
            raise BriarforkError(
                ErrorKind.PEER_PROTOCOL,
                f"{self.peer}: message exceeds {MAX_MESSAGE_BYTES} bytes",
            )
        self.bytes_received += len(data)
        self._buffer += data
        self._unpacker.feed(data)
        self._count_memory()

    def _require_open(self) -> None:
        if self._is_aborted:
            raise StreamClosed(f"{self.peer}: stream was aborted")


def _build_unpacker() -> msgpack.Unpacker:
    return msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)


async def connect(
    address: str, port: int, connect_s: float, source_address: str | None = None
) -> MessageStream:
    """Opens a stream to a peer.

    Args:
        address: IP address of the peer.
        port: Port of the peer.
        connect_s: Connection timeout in seconds.
        source_address: Local address to connect from; chosen by the system if None.

    Raises:
        StreamClosed: If the connection cannot be opened within the timeout.
    """
    try:
        async with asyncio.timeout(connect_s):
            local_address = (source_address, 0) if source_address else None
            reader, writer = await asyncio.open_connection(address, port, local_addr=local_address)
    except (OSError, TimeoutError) as error:
        raise StreamClosed(f"{address}:{port}: connection failed: {error}") from error
    return MessageStream(reader, writer)


async def serve(
    address: str,
    port: int,
    handler: Callable[[MessageStream], Awaitable[None]],
    memory: StreamMemory | None = None,
) -> asyncio.Server:
    """Starts a server that handles each stream in its own task.

    The stream is closed when its handler returns.

    Args:
        address: IP address to listen on.
        port: Port to listen on.
        handler: Handles a stream until it ends.
        memory: Bound for what all streams hold together, None for no such bound.
    """

    async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = MessageStream(reader, writer, memory)
        try:
            await handler(stream)
        finally:
            stream.abort()
            if memory is not None:
                memory.remove(stream)

    async def listen() -> asyncio.Server:
        if memory is None:
            return await asyncio.start_server(handle_connection, address, port)
        listener = _open_listener(address, port)
        return await asyncio.start_server(handle_connection, sock=listener, limit=UNREAD_BYTES)

    return await listen_when_free(listen)


def _open_listener(address: str, port: int) -> socket.socket:
    """Returns a socket whose accepted connections have small receive buffers.

    Their bytes count towards the memory of the VM, and one read can take all of them.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        listener.bind((address, port))
    except OSError:
        listener.close()
        raise
    return listener

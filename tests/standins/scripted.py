"""Stand-in for a backend server that aborts an exchange at a chosen point.

It implements HTTP directly on the socket, so that it can send malformed messages. The first segment
of the path selects the script. A script that injects a fault applies to the first execution of a
request only; later executions get a complete response, so that a duplicate request shows up in the
ledger instead of as a second fault.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarfork.registry import Registry
from tests.standins.backend import make_content

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

HANG_S = 60.0
DOWNLOAD_BYTES = 2_000_000
PARTIAL_DOWNLOAD_BYTES = 500_003
DOWNLOAD_INTERRUPTIONS = 2
FLOOD_BYTES = 40_000_000
SECOND_COPY_DELAY_S = 0.3
SCRIPTS: Registry[Callable[[Exchange], Awaitable[None]]] = Registry("script")


@dataclass
class Exchange:
    """One request and the connection on which it is answered."""

    server: ScriptedServer
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def name(self) -> str:
        return self.headers.get("idempotency-key") or self.headers.get("test-request", "-")

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def respond(self, body: bytes, head: str = "HTTP/1.1 200 OK") -> None:
        await self.send(f"{head}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

    def close(self) -> None:
        self.writer.close()


@dataclass
class ScriptedServer:
    """One backend server; several servers can share a ledger.

    Attributes:
        address: Address to listen on.
        ledger: Number of executions by request.
        connections: Number of accepted connections.
        lost_connections: Number of connections that failed or that the caller closed.
        exchanges: All received requests.
        port: Listening port; assigned by `start`.
        idle_timeout_s: Time in seconds after which an idle connection is closed.
        writers: Open connections.
    """

    address: str
    ledger: Counter[str] = field(default_factory=Counter)
    connections: int = 0
    lost_connections: int = 0
    exchanges: list[Exchange] = field(default_factory=list)
    port: int = 0
    idle_timeout_s: float = HANG_S
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._handle_connection, self.address, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()
        for writer in self.writers:
            writer.close()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            while await self._handle_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            self.lost_connections += 1
        except asyncio.CancelledError:
            # Raised at the end of a test; asyncio's stream server would log it as an error.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        try:
            async with asyncio.timeout(self.idle_timeout_s):
                head = await reader.readuntil(b"\r\n\r\n")
        except TimeoutError:
            return False
        first, *lines = head.decode().rstrip().split("\r\n")
        method, target, _ = first.split(" ")
        headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        exchange = Exchange(self, reader, writer, method, target, headers)
        script = target.split("/")[1].split("?")[0]
        if script == "close-on-headers" and not self.ledger[f"closed {exchange.name}"]:
            self.ledger[f"closed {exchange.name}"] += 1
            return False
        exchange.body = await _read_body(reader, headers)
        self.exchanges.append(exchange)
        self.ledger[exchange.name] += 1
        if self.ledger[exchange.name] > 1 and not target.endswith("/always"):
            script = "ok"
        await SCRIPTS.get(script)(exchange)
        return not writer.is_closing()


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if "transfer-encoding" not in headers:
        return b""
    parts = []
    while size := int(await reader.readline(), 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b"".join(parts)


@SCRIPTS.register("ok")
async def send_complete_response(exchange: Exchange) -> None:
    await exchange.respond(f"{exchange.name} {exchange.path}".encode())


@SCRIPTS.register("close-on-headers")
async def send_response_after_close(exchange: Exchange) -> None:
    await send_complete_response(exchange)


@SCRIPTS.register("close-after-run")
async def close_without_response(exchange: Exchange) -> None:
    exchange.close()


@SCRIPTS.register("half-head")
async def send_partial_head(exchange: Exchange) -> None:
    await exchange.send(b"HTTP/1.1 200 OK\r\nContent-Le")
    exchange.close()


@SCRIPTS.register("short")
async def send_truncated_body(exchange: Exchange) -> None:
    await exchange.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + b"x" * 500)
    exchange.close()


@SCRIPTS.register("open-chunks")
async def send_unterminated_chunks(exchange: Exchange) -> None:
    await exchange.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
    exchange.close()


@SCRIPTS.register("until-close")
async def send_close_delimited_body(exchange: Exchange) -> None:
    await exchange.send(b"HTTP/1.0 200 OK\r\n\r\nhello")
    exchange.close()


@SCRIPTS.register("silent")
async def send_nothing(exchange: Exchange) -> None:
    """Sends nothing until the caller closes the connection."""
    async with asyncio.timeout(HANG_S):
        await exchange.reader.readexactly(1)


@SCRIPTS.register("refuse")
async def refuse_request(exchange: Exchange) -> None:
    exchange.server.ledger[exchange.name] -= 1
    await exchange.respond(b"", "HTTP/1.1 503 Busy\r\nBriarfork-Outcome: not-run")


@SCRIPTS.register("refuse-twice")
async def refuse_request_twice(exchange: Exchange) -> None:
    await refuse_request(exchange)
    await asyncio.sleep(SECOND_COPY_DELAY_S)
    await exchange.respond(b"", "HTTP/1.1 503 Busy\r\nBriarfork-Outcome: not-run")


@SCRIPTS.register("slow")
async def send_delayed_response(exchange: Exchange) -> None:
    await asyncio.sleep(0.5)
    await send_complete_response(exchange)


@SCRIPTS.register("unasked")
async def send_unsolicited_response(exchange: Exchange) -> None:
    await send_complete_response(exchange)
    await asyncio.sleep(0.05)
    await exchange.respond(b"nobody asked for this")


@SCRIPTS.register("informed")
async def send_informational_response(exchange: Exchange) -> None:
    await exchange.send(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
    await send_complete_response(exchange)


@SCRIPTS.register("empty")
async def send_no_content(exchange: Exchange) -> None:
    await exchange.send(b"HTTP/1.1 204 No Content\r\n\r\n")


@SCRIPTS.register("unchanged")
async def send_not_modified(exchange: Exchange) -> None:
    await exchange.send(b'HTTP/1.1 304 Not Modified\r\nETag: "a"\r\nContent-Length: 9\r\n\r\n')


@SCRIPTS.register("head")
async def send_head_only(exchange: Exchange) -> None:
    await exchange.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")


@SCRIPTS.register("garbage")
async def send_garbage(exchange: Exchange) -> None:
    await exchange.send(b"\x00\xff not HTTP\r\n\r\n")
    exchange.close()


@SCRIPTS.register("changed")
@SCRIPTS.register("download")
async def send_download(exchange: Exchange) -> None:
    """Sends a download with a strong entity tag and closes the first attempts prematurely.

    With the script "changed", each server has its own version and entity tag.
    """
    server = exchange.server
    is_changed = exchange.path.startswith("/changed")
    etag = f'"{server.address if is_changed else 1}"'
    first, total_bytes = 0, DOWNLOAD_BYTES
    range_header = exchange.headers.get("range", "")
    if range_header and exchange.headers.get("if-range") == etag:
        first = int(range_header.removeprefix("bytes=").split("-")[0])
    head = f"HTTP/1.1 {206 if first else 200} OK\r\nETag: {etag}\r\n"
    if first:
        head += f"Content-Range: bytes {first}-{total_bytes - 1}/{total_bytes}\r\n"
    await exchange.send(f"{head}Content-Length: {total_bytes - first}\r\n\r\n".encode())
    content = make_content(first, total_bytes - first)
    if server.ledger[exchange.name] > DOWNLOAD_INTERRUPTIONS:
        await exchange.send(content)
        return
    await exchange.send(content[:PARTIAL_DOWNLOAD_BYTES])
    # Closing immediately could discard data that the caller has not received yet.
    await asyncio.sleep(0.1)
    exchange.close()


@SCRIPTS.register("flood")
async def send_large_body(exchange: Exchange) -> None:
    await exchange.send(f"HTTP/1.1 200 OK\r\nContent-Length: {FLOOD_BYTES}\r\n\r\n".encode())
    for _ in range(FLOOD_BYTES // DOWNLOAD_BYTES):
        await exchange.send(bytes(DOWNLOAD_BYTES))


@SCRIPTS.register("drain")
async def refuse_as_draining(exchange: Exchange) -> None:
    exchange.server.ledger[exchange.name] -= 1
    head = "HTTP/1.1 503 Leaving\r\nBriarfork-Outcome: not-run\r\nBackend-State: draining"
    await exchange.respond(b"", head)

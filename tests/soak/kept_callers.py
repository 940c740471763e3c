"""Callers that keep their connections: late bodies, heads in parts and slow readers."""

from __future__ import annotations

import asyncio
import itertools
import socket
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import aiohttp

from briarfork.platform import names
from tests.soak.backend import build_request_body
from tests.soak.callers import MAX_TTL_FACTOR
from tests.soak.callers import Caller
from tests.soak.callers import RequestProfile
from tests.soak.callers import describe_wrong_response
from tests.soak.environment import HOST
from tests.soak.environment import ZONES
from tests.soak.ledger import Call
from tests.standins.gateway import FRONT_PORT

if TYPE_CHECKING:
    from random import Random

    from tests.soak.environment import SoakEnvironment

# Unlike HTTP clients, these callers repeat no request on their own, so that every loss is seen.
KEPT_PROFILES = (
    RequestProfile("lookup", "GET", True, (20, 120), 2.5),
    RequestProfile("order", "POST", False, (30, 150), 3.0, (100, 1000)),
    RequestProfile("upload", "POST", False, (30, 150), 4.0, (10_000, 200_000)),
    RequestProfile("file", "GET", True, (20, 200), 6.0),
)
PAUSE_PROBABILITY = 0.5
# Pauses within a head and before a body.
PAUSE_S = (0.0, 0.2)
IDLE_S = (0.0, 0.2)
# Some callers go to another VM after a request.
CHANGE_PROBABILITY = 0.05
# A small buffer leaves most of a response with the gateway while its caller reads slowly.
RECEIVE_BUFFER_BYTES = 32_768
READ_BYTES = 65_536
# A response is read within half of the grace period of a stop.
READ_PAUSE_S = (0.0, 0.12)


class NoAnswer(Exception):
    """The connection ended before a complete answer."""


@dataclass
class Connection:
    """A connection to a VM."""

    vm: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@dataclass
class KeptCaller:
    """A caller that sends one request after another, on the same connection while it may.

    It keeps to its VM, also while this stops, until the VM accepts no more connections.

    Attributes:
        environment: Environment of the soak.
        caller: Looks up the VMs.
        random: Source of random numbers.
        request_numbers: Numbers of the requests of all such callers.
    """

    environment: SoakEnvironment
    caller: Caller
    random: Random
    request_numbers: itertools.count[int]
    _vm: str = field(default="", init=False)
    _connection: Connection | None = field(default=None, init=False)

    async def run(self, stop_event: asyncio.Event) -> None:
        """Sends requests until the event is set."""
        while not stop_event.is_set():
            connection = await self._connect()
            if connection is not None:
                await self._send(connection, self.random.choice(KEPT_PROFILES))
            await asyncio.sleep(self.random.uniform(*IDLE_S))
            if self.random.random() < CHANGE_PROBABILITY:
                self._disconnect()
                self._vm = ""
        self._disconnect()

    async def _connect(self) -> Connection | None:
        """Returns the open connection, or a new one; None if the VM accepts none."""
        if self._connection is not None:
            return self._connection
        if not self._vm:
            await self.caller.refresh_lookup()
            if not self.caller.vms:
                return None
            self._vm = self.random.choice(self.caller.vms)
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        address = (self.environment.vms[self._vm].address, FRONT_PORT)
        try:
            async with asyncio.timeout(1.0):
                await asyncio.get_running_loop().sock_connect(connection, address)
        except (OSError, TimeoutError):
            connection.close()
            self._vm = ""
            return None
        reader, writer = await asyncio.open_connection(sock=connection)
        self._connection = Connection(self._vm, reader, writer)
        return self._connection

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.writer.close()
        self._connection = None

    async def _send(self, connection: Connection, profile: RequestProfile) -> None:
        name = f"k{next(self.request_numbers)}"
        path = f"/{profile.route}/{self.random.randint(*profile.run_ms)}"
        call = Call(
            name,
            connection.vm,
            profile.route,
            profile.idempotent,
            time.monotonic(),
            profile.deadline_s,
            keeps_connection=True,
        )
        self.environment.ledger.calls[name] = call
        may_keep = False
        sending = asyncio.create_task(self._write(connection, call, profile, path))
        try:
            async with asyncio.timeout(profile.deadline_s):
                may_keep = await self._read(connection, call, path)
        except ConnectionResetError:
            call.was_reset = True
        except (NoAnswer, OSError, TimeoutError):
            pass
        call.ended_at = time.monotonic()
        may_keep = may_keep and sending.done()
        sending.cancel()
        await asyncio.wait({sending})
        if not may_keep:
            self._disconnect()

    async def _write(
        self, connection: Connection, call: Call, profile: RequestProfile, path: str
    ) -> None:
        """Writes a request, some of them in parts; the answer may come before its end."""
        body = build_request_body(call.name, self.random.randint(*profile.body_bytes))
        lines = [
            f"{profile.method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"{names.ATTEMPT_ID}: {call.name}",
            *([f"Content-Length: {len(body)}"] if body else []),
        ]
        start = "\r\n".join([*lines, ""]).encode()
        cut = self.random.randint(1, len(start) - 1)
        try:
            await self._write_part(connection, start[:cut])
            # The first part has taken some of the time until the deadline.
            remaining_s = call.sent_at + profile.deadline_s - time.monotonic()
            end = f"{names.DEADLINE_MS}: {int(remaining_s * 1000)}\r\n\r\n".encode()
            if body:
                await self._write_part(connection, start[cut:] + end)
            connection.writer.write(body or start[cut:] + end)
            await connection.writer.drain()
        except OSError:
            # The reader sees the end of the connection.
            return
        call.sent_whole_at = time.monotonic()

    async def _write_part(self, connection: Connection, part: bytes) -> None:
        """Writes a part of a request that has more parts, some of them after a pause."""
        connection.writer.write(part)
        await connection.writer.drain()
        if self.random.random() < PAUSE_PROBABILITY:
            await asyncio.sleep(self.random.uniform(*PAUSE_S))

    async def _read(self, connection: Connection, call: Call, path: str) -> bool:
        """Reads the answer and returns whether the connection may be kept.

        Raises:
            NoAnswer: If the connection ends before a complete answer.
        """
        try:
            head = await connection.reader.readuntil(b"\r\n\r\n")
            status, headers = _parse_head(head)
            pause_s = self.random.uniform(*READ_PAUSE_S)
            body = bytearray()
            while missing := int(headers.get("content-length", "0")) - len(body):
                body += await _read_part(connection, missing, pause_s)
        except asyncio.IncompleteReadError as error:
            raise NoAnswer from error
        call.status = status
        if status < 300:
            seal = headers.get(names.RESPONSE_SEAL.lower(), "")
            echoed = headers.get(names.ATTEMPT_ID.lower())
            call.error = describe_wrong_response(call, path, echoed, seal, bytes(body))
        return headers.get("connection", "").lower() != "close"


async def _read_part(connection: Connection, missing: int, pause_s: float) -> bytes:
    """Returns more of a body, after a pause if it is long."""
    if missing > READ_BYTES:
        await asyncio.sleep(pause_s)
    return await connection.reader.readexactly(min(missing, READ_BYTES))


def _parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return int(first.split(" ")[1]), headers


async def run_kept_callers(
    environment: SoakEnvironment, random: Random, size: int, stop_event: asyncio.Event
) -> None:
    """Runs callers that keep their connections until the event is set."""
    request_numbers = itertools.count(1)
    zones = itertools.cycle(ZONES)
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
        for _ in range(size):
            ttl_factor = random.choice((1.0, MAX_TTL_FACTOR))
            caller = Caller(environment, session, next(zones), ttl_factor, random, request_numbers)
            kept = KeptCaller(environment, caller, random, request_numbers)
            group.create_task(kept.run(stop_event))

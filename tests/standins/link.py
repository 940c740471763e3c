"""Stand-in for a network link: a TCP proxy that delays, loses, cuts and holds back.

The conditions may change at any time, also for open streams. A lost segment of a TCP stream is
modelled as the delay until it is sent again. A silent direction keeps what it was given and hands
it on after healing, as TCP does.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

READ_BYTES = 65536
# The shortest retransmission timeout of Linux.
RETRANSMISSION_S = 0.2
HELD_CHUNKS = 64
HEAL_POLL_S = 0.05


@dataclass(slots=True)
class Conditions:
    """State of a link; `silent_up` is the direction from the dialling side to the target."""

    delay_s: float = 0.0
    jitter_s: float = 0.0
    loss: float = 0.0
    cut: bool = False
    silent_up: bool = False
    silent_down: bool = False

    def draw_delay(self, generator: random.Random) -> float:
        delay_s = self.delay_s + generator.uniform(0.0, self.jitter_s)
        while generator.random() < self.loss:
            delay_s += RETRANSMISSION_S
        return delay_s


class Link:
    """Forwards a listening port to a target; `choose` gives the conditions by source address."""

    def __init__(
        self, target: tuple[str, int], choose: Callable[[str], Conditions], seed: int = 1
    ) -> None:
        self._target = target
        self._choose = choose
        self._random = random.Random(seed)
        self._open: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: str, port: int) -> None:
        self._server = await asyncio.start_server(self._forward, address, port)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def reset(self) -> None:
        """Closes all open streams."""
        for writer in list(self._open):
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conditions = self._choose(str(writer.get_extra_info("peername")[0]))
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._open.add(writer)
        try:
            if not conditions.cut:
                await self._join(conditions, reader, writer)
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._open.discard(writer)
            writer.transport.abort()

    async def _join(
        self,
        conditions: Conditions,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(*self._target)
        self._open.add(far_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._carry(conditions, reader, far_writer, True))
                group.create_task(self._carry(conditions, far_reader, writer, False))
        finally:
            self._open.discard(far_writer)
            far_writer.transport.abort()

    async def _carry(
        self,
        conditions: Conditions,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        up: bool,
    ) -> None:
        """Reads and delivers in separate tasks, so that a delay does not limit the throughput."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(HELD_CHUNKS)
        loop = asyncio.get_running_loop()

        async def deliver() -> None:
            while True:
                due, data = await queue.get()
                await asyncio.sleep(due - loop.time())
                while conditions.silent_up if up else conditions.silent_down:
                    await asyncio.sleep(HEAL_POLL_S)
                if conditions.cut or not data:
                    raise ConnectionResetError("the link is cut or a side has closed")
                writer.write(data)
                await writer.drain()

        async with asyncio.TaskGroup() as group:
            group.create_task(deliver())
            data = b"-"
            while data:
                data = await reader.read(READ_BYTES)
                await queue.put((loop.time() + conditions.draw_delay(self._random), data))

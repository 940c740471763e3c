"""Stand-in for a network link: a TCP proxy that injects delay, loss, resets and silence.

The conditions can change at any time and also apply to open streams. A lost TCP segment is modelled
as the delay until its retransmission. A silent direction buffers data and delivers it after the
link has recovered, as TCP does.
"""

from __future__ import annotations

import asyncio
import math
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

READ_BYTES = 65536
# Minimum retransmission timeout of Linux.
RETRANSMISSION_TIMEOUT_S = 0.2
MAX_QUEUED_CHUNKS = 64
SILENCE_POLL_INTERVAL_S = 0.05


@dataclass(slots=True)
class Conditions:
    """Conditions of a link.

    Attributes:
        delay_s: Minimum delay in seconds.
        jitter_s: Upper bound of the random additional delay, in seconds.
        loss: Probability that a segment is lost.
        bytes_per_s: Bandwidth of each direction of a stream.
        cut: Whether streams are reset and new ones rejected.
        silent_up: Whether data from the connecting side to the target is held back.
        silent_down: Whether data from the target to the connecting side is held back.
    """

    delay_s: float = 0.0
    jitter_s: float = 0.0
    loss: float = 0.0
    bytes_per_s: float = math.inf
    cut: bool = False
    silent_up: bool = False
    silent_down: bool = False

    def draw_delay_s(self, generator: random.Random) -> float:
        delay_s = self.delay_s + generator.uniform(0.0, self.jitter_s)
        while generator.random() < self.loss:
            delay_s += RETRANSMISSION_TIMEOUT_S
        return delay_s


class Link:
    """Forwards a listening port to a target address.

    Args:
        target: Address and port to connect to.
        select_conditions: Returns the conditions for the source address of a stream.
        seed: Seed of the random delays and losses.

    Attributes:
        forwarded_bytes: Number of bytes delivered so far, in both directions.
    """

    def __init__(
        self, target: tuple[str, int], select_conditions: Callable[[str], Conditions], seed: int = 1
    ) -> None:
        self.forwarded_bytes = 0
        self._target = target
        self._select_conditions = select_conditions
        self._random = random.Random(seed)
        self._writers: set[asyncio.StreamWriter] = set()
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
        """Resets all open streams."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conditions = self._select_conditions(str(writer.get_extra_info("peername")[0]))
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            if not conditions.cut:
                await self._connect_target(conditions, reader, writer)
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _connect_target(
        self,
        conditions: Conditions,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        self._writers.add(target_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward_direction(conditions, reader, target_writer, True))
                group.create_task(self._forward_direction(conditions, target_reader, writer, False))
        finally:
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _forward_direction(
        self,
        conditions: Conditions,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        upstream: bool,
    ) -> None:
        """Forwards one direction; separate tasks read and deliver, so delay costs no throughput."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        loop = asyncio.get_running_loop()

        async def deliver() -> None:
            while True:
                deliver_at, data = await queue.get()
                await asyncio.sleep(deliver_at - loop.time())
                while conditions.silent_up if upstream else conditions.silent_down:
                    await asyncio.sleep(SILENCE_POLL_INTERVAL_S)
                if conditions.cut or not data or writer.is_closing():
                    raise ConnectionResetError("the link is cut or a side has closed")
                self.forwarded_bytes += len(data)
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(len(data) / conditions.bytes_per_s)

        async with asyncio.TaskGroup() as group:
            group.create_task(deliver())
            data = b"-"
            while data:
                data = await reader.read(READ_BYTES)
                await queue.put((loop.time() + conditions.draw_delay_s(self._random), data))

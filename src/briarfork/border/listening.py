"""Opening of listening sockets."""

from __future__ import annotations

import asyncio
import errno
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

# A process that was just killed may still hold its ports, and a new VM may not have its address
# yet. Ending at once would only start the process again.
LISTEN_TIMEOUT_S = 3.0
LISTEN_PAUSE_S = 0.1
TRANSIENT_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})


async def listen_when_free(open_socket: Callable[[], Awaitable[asyncio.Server]]) -> asyncio.Server:
    """Opens a listening socket; waits a short time for an address or a port that is not free.

    Raises:
        OSError: If the socket cannot be opened within the time.
    """
    deadline = time.monotonic() + LISTEN_TIMEOUT_S
    while True:
        try:
            return await open_socket()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or time.monotonic() >= deadline:
                raise
        await asyncio.sleep(LISTEN_PAUSE_S)


async def open_unless_stopped(
    open_sockets: Coroutine[None, None, None], stopping: asyncio.Event
) -> bool:
    """Opens sockets; gives up once a stop is requested.

    Args:
        open_sockets: Opens the sockets.
        stopping: Event that is set once a stop is requested.

    Returns:
        Whether the sockets are open.

    Raises:
        ExceptionGroup: If a socket cannot be opened.
    """
    async with asyncio.TaskGroup() as group:
        opening = group.create_task(open_sockets)
        watching = group.create_task(_cancel_on(stopping, opening))
        await asyncio.wait([opening])
        watching.cancel()
    return not opening.cancelled()


async def _cancel_on(stopping: asyncio.Event, task: asyncio.Task[None]) -> None:
    await stopping.wait()
    task.cancel()

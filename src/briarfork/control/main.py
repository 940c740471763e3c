"""The program `briarfork-control`."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.program import run_service
from briarfork.border.streams import serve
from briarfork.control.local import feed_entry
from briarfork.control.node import ControlNode
from briarfork.control.peers import converse
from briarfork.control.peers import keep_peers

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings

PROGRAM = "briarfork-control"
DESCRIPTION = "Keeps the configuration, the members and the load view of one VM."


async def run(settings: Settings, events: EventLog, stopping: asyncio.Event) -> None:
    """Runs the control process until a planned stop."""
    node = ControlNode(settings, events)
    port = settings.ports.control_listen or settings.ports.control
    peers = await serve(settings.address, port, partial(converse, node))
    local = await serve(settings.address, settings.ports.local, partial(feed_entry, node))
    events.record(Event.STARTED, control=settings.ports.control)
    async with asyncio.TaskGroup() as group:
        keeper = group.create_task(keep_peers(node))
        await stopping.wait()
        await _wait_for_entry(node)
        keeper.cancel()
    peers.close()
    local.close()


async def _wait_for_entry(node: ControlNode) -> None:
    """Spreads the news that this VM leaves, and stays while its entry process drains."""
    node.leave()
    await asyncio.sleep(node.settings.timeouts.heartbeat_s)
    try:
        async with asyncio.timeout(node.settings.timeouts.stop_s):
            await node.entry_absent.wait()
    except TimeoutError:
        return


def main() -> None:
    """Entry point."""
    run_service(PROGRAM, DESCRIPTION, run)


if __name__ == "__main__":
    main()

"""The control process, from its start to its planned stop."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.streams import serve
from briarfork.border.supervision import run_supervised
from briarfork.control.local import serve_entry_process
from briarfork.control.node import ControlNode
from briarfork.control.peers import maintain_peers
from briarfork.control.peers import run_peer_stream

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings


async def run(settings: Settings, events: EventLog, stopping: asyncio.Event) -> None:
    """Runs the control process until a planned stop."""
    node = ControlNode(settings, events)
    port = settings.ports.control_listen or settings.ports.control
    peers = await serve(settings.address, port, partial(run_peer_stream, node))
    local = await serve(settings.address, settings.ports.local, partial(serve_entry_process, node))
    events.record(Event.STARTED, control=settings.ports.control)
    async with asyncio.TaskGroup() as group:
        peers_task = group.create_task(run_supervised(partial(maintain_peers, node), events))
        await stopping.wait()
        await _leave_and_wait_for_entry(node)
        peers_task.cancel()
    peers.close()
    local.close()


async def _leave_and_wait_for_entry(node: ControlNode) -> None:
    """Announces that this VM is leaving and waits for its entry process to drain."""
    node.leave()
    await asyncio.sleep(node.settings.timeouts.heartbeat_s)
    try:
        async with asyncio.timeout(node.settings.timeouts.stop_s):
            await node.entry_disconnected.wait()
    except TimeoutError:
        return

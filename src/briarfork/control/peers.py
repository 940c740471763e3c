"""Streams to the control processes of other VMs, with one task per connection and per peer."""

from __future__ import annotations

import asyncio
import random
from functools import partial
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.messages import Hello
from briarfork.border.streams import StreamClosed
from briarfork.border.streams import connect
from briarfork.border.supervision import run_supervised
from briarfork.control.handlers import handle
from briarfork.control.link import PeerLink
from briarfork.errors import BriarforkError

if TYPE_CHECKING:
    from briarfork.border.streams import MessageStream
    from briarfork.control.node import ControlNode


# Subtracted from the silence timeout, which includes the time to detect the failure and react.
DETECTION_MARGIN_S = 0.2
MAX_BACKOFF_S = 5.0


async def run_peer_stream(node: ControlNode, stream: MessageStream, dialled: bool = False) -> None:
    """Exchanges messages with a peer until the stream ends."""
    settings = node.settings
    link = PeerLink(stream, dialled)
    silence_s = max(settings.timeouts.silence_s - DETECTION_MARGIN_S, settings.timeouts.heartbeat_s)
    node.add_link(link)
    try:
        stream.send(Hello(settings.vm, settings.zone, node.roster.own.incarnation))
        others = [other for other in node.links if other.vm != settings.vm and other is not link]
        if not others:
            # Only the first peer is asked for all records; digests reveal what is still missing.
            link.send_summary(node)
        async with asyncio.TaskGroup() as group:
            sender = group.create_task(_send_heartbeats(node, link))
            try:
                while True:
                    handle(node, link, await stream.receive(silence_s))
            finally:
                sender.cancel()
    except* StreamClosed as closed:
        node.events.record(Event.PEER_LOST, peer=link.vm, reason=closed.exceptions[0])
    except* BriarforkError as invalid:
        node.events.record(Event.PEER_PROTOCOL_ERROR, peer=link.vm, fault=invalid.exceptions[0])
    finally:
        node.remove_link(link)
        stream.abort()


async def maintain_peers(node: ControlNode) -> None:
    """Runs one task per neighbour, and starts and cancels tasks as the roster changes."""
    tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
    revision = -1
    targets: dict[tuple[str, int], str] = {}
    async with asyncio.TaskGroup() as group:
        while True:
            node.roster_changed.clear()
            if revision != node.roster.revision:
                revision, targets = node.roster.revision, _list_targets(node)
            for target in [target for target in tasks if target not in targets]:
                tasks.pop(target).cancel()
            for target, vm in targets.items():
                if target not in tasks:
                    run = partial(_maintain_peer, node, vm, *target)
                    tasks[target] = group.create_task(run_supervised(run, node.events))
            node.check_members()
            try:
                async with asyncio.timeout(node.settings.timeouts.heartbeat_s):
                    await node.roster_changed.wait()
            except TimeoutError:
                continue


def _list_targets(node: ControlNode) -> dict[tuple[str, int], str]:
    """Returns the neighbours, and the seed peers whose address belongs to no known member.

    Such seed peers are dialled even if there are neighbours, so that separate groups that formed
    at startup find each other without the platform.

    Returns:
        VM names by address and port; the name of a seed peer is empty.
    """
    targets = {}
    for peer in node.settings.peers:
        address, _, port = peer.rpartition(":")
        if node.roster.find_by_address(address, int(port)) is None:
            targets[address, int(port)] = ""
    for member in node.roster.list_neighbours():
        targets[member.address, member.ports["control"]] = member.vm
    own = (node.settings.address, node.settings.ports.control)
    return {target: vm for target, vm in targets.items() if target != own}


async def _maintain_peer(node: ControlNode, vm: str, address: str, port: int) -> None:
    settings = node.settings
    pause_s, name = settings.timeouts.reconnect_s, vm
    while True:
        if not name or not node.is_linked(name):
            # The name of a seed peer becomes known with its first records.
            name = vm or node.roster.find_by_address(address, port) or ""
        if not name or not node.is_linked(name):
            try:
                stream = await connect(address, port, settings.timeouts.connect_s, settings.address)
            except StreamClosed:
                pause_s = min(MAX_BACKOFF_S, 2 * pause_s)
            else:
                pause_s = settings.timeouts.reconnect_s
                await run_peer_stream(node, stream, dialled=True)
        # Jitter prevents VMs that lost each other from dialling at the same time.
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))


async def _send_heartbeats(node: ControlNode, link: PeerLink) -> None:
    while True:
        try:
            async with asyncio.timeout(node.settings.timeouts.heartbeat_s):
                await link.has_updates.wait()
        except TimeoutError:
            pass
        link.has_updates.clear()
        link.send_heartbeat(node)

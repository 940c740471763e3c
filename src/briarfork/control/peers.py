"""Streams to the control processes of other VMs: one task for each connection and each peer."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.messages import Hello
from briarfork.border.streams import StreamClosed
from briarfork.border.streams import connect
from briarfork.control.handlers import handle
from briarfork.control.link import Link
from briarfork.errors import BriarforkError

if TYPE_CHECKING:
    from briarfork.border.streams import MessageStream
    from briarfork.control.node import ControlNode


# The limit on silence includes the time that it takes to notice and to act.
NOTICE_MARGIN_S = 0.2
MAX_BACKOFF_S = 5.0


async def converse(node: ControlNode, stream: MessageStream, dialled: bool = False) -> None:
    """Exchanges messages with a peer until the stream ends."""
    settings = node.settings
    link = Link(stream, dialled)
    silence_s = max(settings.timeouts.silence_s - NOTICE_MARGIN_S, settings.timeouts.heartbeat_s)
    node.add_link(link)
    try:
        stream.send(Hello(settings.vm, settings.zone, node.roster.own.incarnation))
        others = [other for other in node.links if other.vm != settings.vm and other is not link]
        if not others:
            # One peer is asked for everything; the digests of the others show what is missing then.
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
    except* BriarforkError as wrong:
        node.events.record(Event.PEER_PROTOCOL_ERROR, peer=link.vm, fault=wrong.exceptions[0])
    finally:
        node.remove_link(link)
        stream.abort()


async def keep_peers(node: ControlNode) -> None:
    """Runs one task for each neighbour, and starts and ends them as the roster changes."""
    tasks: dict[tuple[str, int], asyncio.Task[None]] = {}
    revision = -1
    wanted: dict[tuple[str, int], str] = {}
    async with asyncio.TaskGroup() as group:
        while True:
            node.roster_changed.clear()
            if revision != node.roster.revision:
                revision, wanted = node.roster.revision, _list_wanted(node)
            for target in [target for target in tasks if target not in wanted]:
                tasks.pop(target).cancel()
            for target, vm in wanted.items():
                if target not in tasks:
                    tasks[target] = group.create_task(_keep_peer(node, vm, *target))
            node.check_members()
            try:
                async with asyncio.timeout(node.settings.timeouts.heartbeat_s):
                    await node.roster_changed.wait()
            except TimeoutError:
                continue


def _list_wanted(node: ControlNode) -> dict[tuple[str, int], str]:
    """Returns the neighbours, and the seed peers that no known member answers for.

    Seeds that are not members yet are dialled also by a VM with neighbours, so that groups which
    formed at start find each other without the platform.
    """
    wanted = {}
    for peer in node.settings.peers:
        address, _, port = peer.rpartition(":")
        if not node.roster.has_address(address, int(port)):
            wanted[address, int(port)] = ""
    for member in node.roster.list_neighbours():
        wanted[member.address, member.ports["control"]] = member.vm
    own = (node.settings.address, node.settings.ports.control)
    return {target: vm for target, vm in wanted.items() if target != own}


async def _keep_peer(node: ControlNode, vm: str, address: str, port: int) -> None:
    settings = node.settings
    pause_s = settings.timeouts.reconnect_s
    while True:
        if not vm or not node.is_linked(vm):
            try:
                stream = await connect(address, port, settings.timeouts.connect_s, settings.address)
            except StreamClosed:
                pause_s = min(MAX_BACKOFF_S, 2 * pause_s)
            else:
                pause_s = settings.timeouts.reconnect_s
                await converse(node, stream, dialled=True)
        # Jitter keeps VMs that lost each other from dialling in step.
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))


async def _send_heartbeats(node: ControlNode, link: Link) -> None:
    while True:
        try:
            async with asyncio.timeout(node.settings.timeouts.heartbeat_s):
                await link.news.wait()
        except TimeoutError:
            pass
        link.news.clear()
        link.send_heartbeat(node)

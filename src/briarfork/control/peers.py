"""Streams to the control processes of other VMs: one task for each connection and each peer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.messages import Heartbeat
from briarfork.border.messages import Hello
from briarfork.border.streams import StreamClosed
from briarfork.border.streams import dial
from briarfork.control.handlers import handle
from briarfork.control.node import Link
from briarfork.errors import BriarforkError

if TYPE_CHECKING:
    from briarfork.border.streams import MessageStream
    from briarfork.control.node import ControlNode


async def converse(node: ControlNode, stream: MessageStream) -> None:
    """Exchanges messages with a peer until the stream ends."""
    settings = node.settings
    link = Link(stream)
    node.add_link(link)
    try:
        stream.send(Hello(settings.vm, settings.zone))
        async with asyncio.TaskGroup() as group:
            sender = group.create_task(_send_heartbeats(node, link))
            try:
                while True:
                    handle(node, link, await stream.receive(settings.timeouts.silence_s))
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
    async with asyncio.TaskGroup() as group:
        while True:
            node.roster_changed.clear()
            wanted = _list_wanted(node)
            for target in [target for target in tasks if target not in wanted]:
                tasks.pop(target).cancel()
            for target, vm in wanted.items():
                if target not in tasks:
                    tasks[target] = group.create_task(_keep_peer(node, vm, *target))
            node.suspect_silent()
            try:
                async with asyncio.timeout(node.settings.timeouts.heartbeat_s):
                    await node.roster_changed.wait()
            except TimeoutError:
                continue


def _list_wanted(node: ControlNode) -> dict[tuple[str, int], str]:
    neighbours = node.roster.list_neighbours()
    wanted = {(member.address, member.ports["control"]): member.vm for member in neighbours}
    if not wanted:
        for peer in node.settings.peers:
            address, _, port = peer.rpartition(":")
            wanted[address, int(port)] = ""
    own = (node.settings.address, node.settings.ports.control)
    return {target: vm for target, vm in wanted.items() if target != own}


async def _keep_peer(node: ControlNode, vm: str, address: str, port: int) -> None:
    timeouts = node.settings.timeouts
    while True:
        if not vm or not node.is_linked(vm):
            try:
                stream = await dial(address, port, timeouts.connect_s)
            except StreamClosed:
                pass
            else:
                await converse(node, stream)
        await asyncio.sleep(timeouts.reconnect_s)


async def _send_heartbeats(node: ControlNode, link: Link) -> None:
    while True:
        try:
            async with asyncio.timeout(node.settings.timeouts.heartbeat_s):
                await link.news.wait()
        except TimeoutError:
            pass
        link.news.clear()
        members, link.members = list(link.members.values()), {}
        loads, link.load = node.age_load(link.load.values()), {}
        link.stream.send(
            Heartbeat(
                generation=node.timeline.generation,
                members=members,
                load=loads,
                listed_at=node.listed_at,
            )
        )

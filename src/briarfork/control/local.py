"""The stream to the entry process of the same VM."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.messages import Changes
from briarfork.border.messages import Follow
from briarfork.border.messages import Heartbeat
from briarfork.border.messages import Members
from briarfork.border.messages import VmList
from briarfork.border.streams import StreamClosed
from briarfork.control.handlers import MAX_CHANGES
from briarfork.control.handlers import handle
from briarfork.control.node import Link
from briarfork.errors import BriarforkError

if TYPE_CHECKING:
    from briarfork.border.messages import ListedVm
    from briarfork.border.streams import MessageStream
    from briarfork.control.node import ControlNode
    from briarfork.membership import Member


class EntryFeed:
    """Sends an entry process what it lacks."""

    def __init__(self, node: ControlNode, link: Link) -> None:
        self._node = node
        self._link = link
        self._generation = 0
        self._members: list[Member] = []
        self._listed: list[ListedVm] = []
        self._following: bool | None = None

    async def run(self) -> None:
        """Sends news at once, and a heartbeat when there is none."""
        while True:
            self._send_changes()
            self._send_members()
            self._send_follow()
            loads, self._link.load = self._node.age_load(self._link.load.values()), {}
            self._link.stream.send(Heartbeat(generation=self._node.timeline.generation, load=loads))
            try:
                async with asyncio.timeout(self._node.settings.timeouts.heartbeat_s):
                    await self._link.news.wait()
            except TimeoutError:
                pass
            self._link.news.clear()

    def _send_changes(self) -> None:
        timeline = self._node.timeline
        while self._generation < timeline.generation:
            changes = timeline.list_after(self._generation, MAX_CHANGES)
            self._link.stream.send(Changes(changes))
            self._generation = changes[-1].generation

    def _send_members(self) -> None:
        members = self._node.roster.list_all()
        if members != self._members:
            self._members = members
            self._link.stream.send(Members(members))
        if self._node.listed is not self._listed:
            self._listed = self._node.listed
            self._link.stream.send(VmList(self._listed, self._node.listed_at))

    def _send_follow(self) -> None:
        following = self._node.roster.is_follower() or not self._node.listed
        if following != self._following:
            self._following = following
            event = Event.FOLLOWING if following else Event.NOT_FOLLOWING
            self._node.events.record(event)
            self._link.stream.send(Follow(following, self._node.timeline.generation))


async def feed_entry(node: ControlNode, stream: MessageStream) -> None:
    """Serves the entry process until its stream ends."""
    link = Link(stream, vm=node.settings.vm)
    node.add_link(link)
    node.set_serving(True)
    try:
        async with asyncio.TaskGroup() as group:
            feed = group.create_task(EntryFeed(node, link).run())
            try:
                while True:
                    handle(node, link, await stream.receive(node.settings.timeouts.silence_s))
            finally:
                feed.cancel()
    except* StreamClosed as closed:
        node.events.record(Event.PEER_LOST, peer="entry", reason=closed.exceptions[0])
    except* BriarforkError as wrong:
        node.events.record(Event.PEER_PROTOCOL_ERROR, peer="entry", fault=wrong.exceptions[0])
    finally:
        node.remove_link(link)
        stream.abort()
        node.set_serving(any(other.vm == node.settings.vm for other in node.links))

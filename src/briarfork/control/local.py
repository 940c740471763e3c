"""The stream to the entry process of the same VM."""

from __future__ import annotations

import asyncio
import math
import time
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.messages import MAX_CHANGES_PER_MESSAGE
from briarfork.border.messages import Changes
from briarfork.border.messages import Follow
from briarfork.border.messages import Members
from briarfork.border.messages import VmList
from briarfork.border.messages import split_records
from briarfork.border.messages import take_batch
from briarfork.border.streams import StreamClosed
from briarfork.control.handlers import handle
from briarfork.control.link import PeerLink
from briarfork.errors import BriarforkError
from briarfork.membership.directory import GONE

if TYPE_CHECKING:
    from briarfork.border.streams import MessageStream
    from briarfork.control.node import ControlNode


class EntryFeed:
    """Sends updates of the control process's state to the entry process."""

    def __init__(self, node: ControlNode, link: PeerLink) -> None:
        self._node = node
        self._link = link
        self._generation = 0
        self._changes_sent_at = -math.inf
        self._members_sent = False
        self._list_sent = False
        self._following: bool | None = None

    async def run(self) -> None:
        """Sends updates as soon as there are any, and otherwise heartbeats."""
        while True:
            self._send_changes()
            self._send_members()
            self._send_list()
            self._send_follow()
            self._link.members.clear()
            self._link.listed.clear()
            self._link.send_heartbeat(self._node)
            try:
                async with asyncio.timeout(self._node.settings.timeouts.heartbeat_s):
                    await self._link.has_updates.wait()
            except TimeoutError:
                pass
            self._link.has_updates.clear()

    def _send_changes(self) -> None:
        """Sends one batch of changes, once the entry process has taken the one before.

        A whole timeline of large changes does not fit in the send buffer of the stream. An entry
        process of an earlier version confirms nothing and gets a batch with each heartbeat.
        """
        now = time.monotonic()
        timeline, confirmed = self._node.timeline, self._link.confirmed
        is_due = now >= self._changes_sent_at + self._node.settings.timeouts.heartbeat_s
        if self._generation > confirmed and not is_due:
            return
        self._generation = max(self._generation, confirmed)
        if self._generation >= timeline.generation:
            return
        batch = take_batch(timeline.list_after(self._generation, MAX_CHANGES_PER_MESSAGE))
        self._link.stream.send(Changes(batch))
        self._generation = batch[-1].generation
        self._changes_sent_at = now

    def _send_members(self) -> None:
        """Sends the whole roster once, then only differences."""
        link, roster = self._link, self._node.roster
        if not self._node.settled:
            return
        if not self._members_sent:
            self._members_sent = True
            members, removed = roster.list_all(), None
        elif link.members or link.removed:
            members, removed = list(link.members.values()), sorted(link.removed)
        else:
            return
        for part, more in split_records(members):
            link.stream.send(Members(part, removed, more))

    def _send_list(self) -> None:
        """Sends the whole VM list once, then only differences."""
        link, directory = self._link, self._node.directory
        if not directory.has_records:
            return
        if not self._list_sent:
            self._list_sent = True
            vms, removed = directory.list_active(), None
        elif link.listed:
            changed = [record.listed for record in link.listed.values()]
            vms = [listed for listed in changed if listed.state != GONE]
            removed = [listed.vm for listed in changed if listed.state == GONE]
        else:
            return
        for part, more in split_records(vms):
            link.stream.send(VmList(part, removed, more))

    def _send_follow(self) -> None:
        following = self._node.roster.is_follower() or not self._node.directory.has_records
        if following != self._following:
            self._following = following
            event = Event.FOLLOWING if following else Event.NOT_FOLLOWING
            self._node.events.record(event)
            self._link.stream.send(Follow(following, self._node.timeline.generation))


async def serve_entry_process(node: ControlNode, stream: MessageStream) -> None:
    """Exchanges messages with the entry process until its stream ends."""
    link = PeerLink(stream, vm=node.settings.vm, zone=node.settings.zone)
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
    except* BriarforkError as invalid:
        node.events.record(Event.PEER_PROTOCOL_ERROR, peer="entry", fault=invalid.exceptions[0])
    finally:
        node.remove_link(link)
        stream.abort()
        node.set_serving(any(other.vm == node.settings.vm for other in node.links))

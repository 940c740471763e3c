"""The stream to the entry process of the same VM."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

from briarfork.border.events import Event
from briarfork.border.messages import MAX_CHANGES
from briarfork.border.messages import Changes
from briarfork.border.messages import Follow
from briarfork.border.messages import Members
from briarfork.border.messages import VmList
from briarfork.border.messages import split_changes
from briarfork.border.streams import StreamClosed
from briarfork.control.handlers import handle
from briarfork.control.link import Link
from briarfork.errors import BriarforkError

if TYPE_CHECKING:
    from briarfork.border.streams import MessageStream
    from briarfork.control.node import ControlNode
    from briarfork.membership import ListedVm
    from briarfork.membership import Member

Record = TypeVar("Record")


class EntryFeed:
    """Sends an entry process what it lacks."""

    def __init__(self, node: ControlNode, link: Link) -> None:
        self._node = node
        self._link = link
        self._generation = 0
        self._revision = 0
        self._members: dict[str, Member] | None = None
        self._digest = 0
        self._listed: dict[str, ListedVm] | None = None
        self._following: bool | None = None

    async def run(self) -> None:
        """Sends news at once, and a heartbeat when there is none."""
        while True:
            self._send_changes()
            self._send_members()
            self._send_follow()
            self._link.members.clear()
            self._link.listed.clear()
            self._link.send_heartbeat(self._node)
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
            for batch in split_changes(changes):
                self._link.stream.send(Changes(batch))
            self._generation = changes[-1].generation

    def _send_members(self) -> None:
        """Sends what changed; first the whole roster and the whole list."""
        roster, directory = self._node.roster, self._node.directory
        if self._node.settled and roster.revision != self._revision:
            self._revision = roster.revision
            members = {member.vm: member for member in roster.list_all()}
            known, self._members = self._members, members
            changed, removed = _find_changes(known, members)
            self._link.stream.send(Members(changed, removed))
        if directory.known and directory.digest.total != self._digest:
            self._digest = directory.digest.total
            listed = {vm.vm: vm for vm in directory.list_present()}
            before, self._listed = self._listed, listed
            vms, gone = _find_changes(before, listed)
            self._link.stream.send(VmList(vms, gone))

    def _send_follow(self) -> None:
        following = self._node.roster.is_follower() or not self._node.directory.known
        if following != self._following:
            self._following = following
            event = Event.FOLLOWING if following else Event.NOT_FOLLOWING
            self._node.events.record(event)
            self._link.stream.send(Follow(following, self._node.timeline.generation))


def _find_changes(
    known: dict[str, Record] | None, records: dict[str, Record]
) -> tuple[list[Record], list[str] | None]:
    """Returns the new and changed records, and the names that are gone."""
    if known is None:
        return list(records.values()), None
    changed = [record for name, record in records.items() if known.get(name) is not record]
    return changed, [name for name in known if name not in records]


async def feed_entry(node: ControlNode, stream: MessageStream) -> None:
    """Serves the entry process until its stream ends."""
    link = Link(stream, vm=node.settings.vm, zone=node.settings.zone)
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

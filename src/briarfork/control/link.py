"""An open stream to another process and what is still to be sent on it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarfork.border.messages import MAX_RECORDS_PER_MESSAGE
from briarfork.border.messages import Heartbeat
from briarfork.border.messages import Summary
from briarfork.control.load import find_key

if TYPE_CHECKING:
    from briarfork.border.messages import Load
    from briarfork.border.streams import MessageStream
    from briarfork.control.load import Regions
    from briarfork.control.node import ControlNode
    from briarfork.membership import ListedVm
    from briarfork.membership import ListRecord
    from briarfork.membership import Member

# News on their way make the digests differ for a moment; two heartbeats in a row are a difference.
MISMATCHES = 2


@dataclass(slots=True, eq=False)
class Link:
    """An open stream and what is still to be sent on it.

    Attributes:
        stream: The stream.
        dialled: Whether this VM opened it.
        vm: Name of the VM at the other end, once known.
        zone: Its availability zone, once known.
        incarnation: Incarnation of its control process.
        generation: Generation that the peer has named.
        news: Set when there is something to send before the next heartbeat.
        members: Member records to send, by VM.
        removed: Names of members that were dropped, for the entry process.
        listed: Records of the list of VMs to send, by VM.
        load: Loads to send, by service and site.
        parts: What has arrived of a list of VMs in parts.
        mismatches: Heartbeats in a row whose digests differed while nothing was on its way.
    """

    stream: MessageStream
    dialled: bool = False
    vm: str = ""
    zone: str = ""
    incarnation: int = 0
    generation: int = 0
    news: asyncio.Event = field(default_factory=asyncio.Event)
    members: dict[str, Member] = field(default_factory=dict)
    removed: set[str] = field(default_factory=set)
    listed: dict[str, ListRecord] = field(default_factory=dict)
    load: dict[tuple[str, str], Load] = field(default_factory=dict)
    parts: list[ListedVm] = field(default_factory=list)
    mismatches: int = 0

    def send_heartbeat(self, node: ControlNode) -> None:
        """Sends what the peer lacks, in several messages if it is much."""
        self.removed.clear()
        while True:
            members = [self.members.pop(vm) for vm in list(self.members)[:MAX_RECORDS_PER_MESSAGE]]
            listed = [self.listed.pop(vm) for vm in list(self.listed)[:MAX_RECORDS_PER_MESSAGE]]
            loads, self.load = node.load.age(self.load.values()), {}
            digests = (node.roster.digest.total, node.directory.digest.total)
            generation = node.timeline.generation
            self.stream.send(Heartbeat(generation, members, listed, loads, digests))
            if not self.members and not self.listed:
                return

    def send_summary(self, node: ControlNode) -> None:
        """Sends the digests by bucket, so that the peer finds what this VM lacks."""
        self.mismatches = 0
        self.stream.send(Summary(node.roster.digest.buckets, node.directory.digest.buckets))

    def compare(self, node: ControlNode, message: Heartbeat) -> None:
        """Asks for a comparison when the digests stay different without news."""
        own = (node.roster.digest.total, node.directory.digest.total)
        busy = message.members or message.listed or self.members or self.listed
        self.mismatches = 0 if busy or message.digests == own else self.mismatches + 1
        if self.mismatches >= MISMATCHES:
            self.send_summary(node)

    def queue_differences(self, node: ControlNode, summary: Summary) -> None:
        """Queues the records in which this VM and the peer differ."""
        buckets = node.roster.digest.find_differences(summary.members)
        if buckets:
            self.members.update((member.vm, member) for member in node.roster.list_all(buckets))
        buckets = node.directory.digest.find_differences(summary.listed)
        if buckets:
            records = node.directory.list_records(buckets)
            self.listed.update((record.listed.vm, record) for record in records)
        if self.members or self.listed:
            self.news.set()

    def offer_load(self, load: Load, regions: Regions, own_zone: str) -> None:
        """Queues a load if the peer can use it: details in its own region, else summaries."""
        if regions.is_useful(load, own_zone, self.zone):
            self.load[find_key(load)] = load

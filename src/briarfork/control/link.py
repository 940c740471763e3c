"""An open stream to another process, with its queue of unsent updates."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarfork.border.messages import MAX_RECORDS_PER_MESSAGE
from briarfork.border.messages import Heartbeat
from briarfork.border.messages import Summary
from briarfork.control.load import get_load_key

if TYPE_CHECKING:
    from briarfork.border.messages import Load
    from briarfork.border.streams import MessageStream
    from briarfork.control.load import RegionMap
    from briarfork.control.node import ControlNode
    from briarfork.membership import ListedVm
    from briarfork.membership import ListRecord
    from briarfork.membership import Member

# Updates in transit make the digests differ briefly, so a single mismatch is ignored.
MISMATCHES_BEFORE_SUMMARY = 2


@dataclass(slots=True, eq=False)
class PeerLink:
    """An open stream to another process, with its queue of unsent updates.

    Attributes:
        stream: The message stream.
        dialled: Whether this VM opened the stream.
        vm: Name of the peer's VM; empty until known.
        zone: Availability zone of the peer; empty until known.
        incarnation: Incarnation of the peer's control process.
        generation: Last generation that the peer reported.
        confirmed: Last generation that the entry process of this VM reported.
        requested: Generation after which changes were last requested from the peer.
        requested_at: Time of that request, in seconds on the monotonic clock.
        has_updates: Set when there are updates to send before the next heartbeat.
        members: Member records to send, by VM.
        removed: Names of removed members; used only for the entry process.
        listed: Records of the VM list to send, by VM.
        load: Loads to send, by service and site.
        partial_list: Entries of a VM list of which more parts are expected.
        mismatches: Number of consecutive heartbeats with different digests and no updates in
            transit.
    """

    stream: MessageStream
    dialled: bool = False
    vm: str = ""
    zone: str = ""
    incarnation: int = 0
    generation: int = 0
    confirmed: int = 0
    requested: int = -1
    requested_at: float = -math.inf
    has_updates: asyncio.Event = field(default_factory=asyncio.Event)
    members: dict[str, Member] = field(default_factory=dict)
    removed: set[str] = field(default_factory=set)
    listed: dict[str, ListRecord] = field(default_factory=dict)
    load: dict[tuple[str, str], Load] = field(default_factory=dict)
    partial_list: list[ListedVm] = field(default_factory=list)
    mismatches: int = 0

    def send_heartbeat(self, node: ControlNode) -> None:
        """Sends all queued updates, in several heartbeats if there are many records."""
        self.removed.clear()
        while True:
            members = [self.members.pop(vm) for vm in list(self.members)[:MAX_RECORDS_PER_MESSAGE]]
            listed = [self.listed.pop(vm) for vm in list(self.listed)[:MAX_RECORDS_PER_MESSAGE]]
            loads, self.load = node.load.update_ages(self.load.values()), {}
            digests = (node.roster.digest.total, node.directory.digest.total)
            generation = node.timeline.generation
            self.stream.send(Heartbeat(generation, members, listed, loads, digests))
            if not self.members and not self.listed:
                return

    def send_summary(self, node: ControlNode) -> None:
        """Sends the digests by bucket, from which the peer determines what this VM lacks."""
        self.mismatches = 0
        self.stream.send(Summary(node.roster.digest.buckets, node.directory.digest.buckets))

    def check_digests(self, node: ControlNode, message: Heartbeat) -> None:
        """Sends a summary if the digests keep differing while no updates are in transit."""
        own = (node.roster.digest.total, node.directory.digest.total)
        in_transit = message.members or message.listed or self.members or self.listed
        self.mismatches = 0 if in_transit or message.digests == own else self.mismatches + 1
        if self.mismatches >= MISMATCHES_BEFORE_SUMMARY:
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
            self.has_updates.set()

    def queue_load(self, load: Load, regions: RegionMap, own_zone: str) -> None:
        """Queues a load if the peer can use it, according to `RegionMap.is_useful`."""
        if regions.is_useful(load, own_zone, self.zone):
            self.load[get_load_key(load)] = load

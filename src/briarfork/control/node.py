"""State of the control process of one VM, and its distribution to other processes."""

from __future__ import annotations

import asyncio
import time
from ipaddress import ip_address
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.metrics import Metric
from briarfork.border.metrics import Metrics
from briarfork.control.load import LoadView
from briarfork.control.load import get_load_key
from briarfork.membership import Directory
from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.membership import Roster
from briarfork.timeline import AppendResult
from briarfork.timeline import Timeline

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.border.events import EventLog
    from briarfork.border.messages import Load
    from briarfork.border.settings import Settings
    from briarfork.control.link import PeerLink
    from briarfork.membership import ListedVm
    from briarfork.membership import ListRecord
    from briarfork.timeline import Change

ENTRY_ROLE = "entry"
LEAVING_STATE = "leaving"
MAX_PORT = 65535
PORT_NAMES = {"entry", "permits", "control"}
MAX_FLOODED_RECORDS = 100
MS_PER_SECOND = 1000
# Members are checked every heartbeat. A longer gap means that this process itself was paused, so
# the silence of other members is no evidence of their failure.
MAX_CHECK_GAP_HEARTBEATS = 2


class ControlNode:
    """State of the control process.

    The tasks of the streams call it with received messages and send the updates that it queues on
    their links.
    """

    def __init__(self, settings: Settings, events: EventLog) -> None:
        self.settings = settings
        self.events = events
        self.metrics = Metrics(settings)
        self.timeline = Timeline()
        self.roster = Roster(_build_own_member(settings))
        self.directory = Directory()
        self.load = LoadView()
        self.links: set[PeerLink] = set()
        self.roster_changed = asyncio.Event()
        self.entry_disconnected = asyncio.Event()
        self.entry_disconnected.set()
        self._checked_at = time.monotonic()
        self._settled_at = time.monotonic() + settings.timeouts.silence_s
        if not settings.peers:
            self._settled_at = 0.0

    @property
    def settled(self) -> bool:
        """Whether the roster is complete enough to replace that of the entry process.

        A control process that has just restarted knows only itself until a peer sends members.
        """
        return time.monotonic() >= self._settled_at

    def add_link(self, link: PeerLink) -> None:
        """Registers the link of an open stream."""
        self.links.add(link)

    def remove_link(self, link: PeerLink) -> None:
        """Removes the link of a stream that has ended."""
        self.links.discard(link)

    def is_linked(self, vm: str) -> bool:
        """Returns whether a stream to a VM is open."""
        return any(link.vm == vm for link in self.links)

    def accept_changes(self, changes: Iterable[Change], source: str) -> bool:
        """Adds changes to the timeline.

        Args:
            changes: Changes in order of generation.
            source: Name of the VM that sent them, for the log.

        Returns:
            Whether changes in between are missing and must be requested.
        """
        added = False
        gap = False
        for change in changes:
            result = self.timeline.append(change)
            if result is AppendResult.FORKED:
                self.events.record(
                    Event.TIMELINE_FORKED, generation=change.generation, source=source
                )
            gap = gap or result is AppendResult.GAP
            if result is AppendResult.ADDED:
                added = True
                self.events.record(
                    Event.CHANGE_ACCEPTED,
                    generation=change.generation,
                    change=change.change_id,
                    source=source,
                )
        if added:
            self.metrics.gauge(Metric.GENERATION, self.timeline.generation)
            self._signal_links()
        return gap

    def accept_members(self, records: Iterable[Member], source: PeerLink | None = None) -> None:
        """Merges member records and forwards those that are new.

        Records of VMs that are neither live nor listed are stale copies that another VM has not
        removed yet. Records that lack a port or an IP address are unusable. Both are ignored.
        """
        records = [
            record for record in records if not self._is_stale(record) and _is_usable(record)
        ]
        if source is not None and records:
            self._settled_at = 0.0
        self._publish_members(self.roster.merge(records), source)

    def accept_list(self, vms: list[ListedVm], removed: list[str] | None) -> None:
        """Applies the VM list, or changes of it, from this VM's follower."""
        self._publish_listed(self.directory.apply_list(vms, removed, time.monotonic()))

    def accept_listed(self, records: Iterable[ListRecord], source: PeerLink) -> None:
        """Merges records of the VM list and forwards those that are new."""
        self._publish_listed(self.directory.merge(records, time.monotonic()), source)

    def accept_load(self, loads: Iterable[Load], source: PeerLink) -> None:
        """Stores loads that are newer than the known ones and forwards them."""
        regions = self.load.read_regions(self.timeline, time.time())
        now = time.monotonic()
        loads = list(loads)
        for load in self.load.accept(loads, now):
            for link in self.links:
                if link is not source:
                    link.queue_load(load, regions, self.settings.zone)
        for load in loads:
            if self.load.is_current(load, now):
                source.load.pop(get_load_key(load), None)

    def check_members(self) -> None:
        """Suspects silent neighbours and removes members that are neither live nor listed."""
        now = time.monotonic()
        if now - self._checked_at > MAX_CHECK_GAP_HEARTBEATS * self.settings.timeouts.heartbeat_s:
            self.roster.reset_silence_timers()
        self._checked_at = now
        peers = [member.vm for member in self.roster.list_neighbours()]
        self._publish_members(
            self.roster.suspect_silent(peers, self.settings.timeouts.silence_s, now)
        )
        self._publish_listed(self.directory.apply_pending(now))
        if self.directory.has_records:
            removed = self.roster.remove_absent(lambda vm: self.directory.find(vm) is not None)
            for link in self.links:
                for vm in removed:
                    link.members.pop(vm, None)
                link.removed.update(removed)
            if removed:
                self._signal_all()

    def record_contact(self, vm: str) -> None:
        """Records that a message from a VM was received."""
        self.roster.record_heartbeat(vm, time.monotonic())

    def set_serving(self, serving: bool) -> None:
        """Records whether the entry process of this VM is connected."""
        if serving:
            self.entry_disconnected.clear()
        else:
            self.entry_disconnected.set()
            self.directory.clear_own_list()
        if serving != self.roster.own.serving:
            self._publish_members([self.roster.set_serving(serving)])

    def leave(self) -> None:
        """Starts the planned stop of this VM."""
        if self.roster.own.state is not MemberState.LEAVING:
            self._publish_members([self.roster.leave()])

    def _publish_members(self, changed: list[Member], source: PeerLink | None = None) -> None:
        for member in changed:
            self.events.record(
                Event.MEMBER_CHANGED,
                member=member.vm,
                state=member.state.value,
                serving=member.serving,
            )
            for link in self._select_links(len(changed), source):
                link.members[member.vm] = member
                link.removed.discard(member.vm)
            if member.vm == self.settings.vm and source is not None:
                source.members[member.vm] = member
        if changed:
            self.metrics.gauge(Metric.MEMBERS_LIVE, self.roster.count_live())
            self._signal_all()

    def _publish_listed(self, changed: list[ListRecord], source: PeerLink | None = None) -> None:
        if not changed:
            return
        self.events.record(Event.LIST_CHANGED, records=len(changed))
        for link in self._select_links(len(changed), source):
            link.listed.update((record.listed.vm, record) for record in changed)
        entries = [record.listed for record in changed if record.listed.role == ENTRY_ROLE]
        present = [vm for vm in entries if self.directory.find(vm.vm) is not None]
        self.accept_members([self._build_listed_member(vm) for vm in present])
        self._signal_all()

    def _select_links(self, count: int, source: PeerLink | None) -> list[PeerLink]:
        """Returns the links on which updates are forwarded at once.

        Large updates occur with a first list, a first comparison or at the end of a partition.
        Peers then receive most records from others, and the digests reveal what they still lack,
        so these are sent only to the entry process of this VM.
        """
        if count > MAX_FLOODED_RECORDS:
            return [link for link in self.links if link.vm == self.settings.vm]
        return [link for link in self.links if link is not source]

    def _signal_all(self) -> None:
        self.roster_changed.set()
        self._signal_links()

    def _signal_links(self) -> None:
        for link in self.links:
            link.has_updates.set()

    def _is_stale(self, record: Member) -> bool:
        return (
            self.directory.has_records
            and record.state is not MemberState.LIVE
            and self.roster.find(record.vm) is None
            and self.directory.find(record.vm) is None
        )

    def _build_listed_member(self, vm: ListedVm) -> Member:
        state = MemberState.LEAVING if vm.state == LEAVING_STATE else MemberState.LIVE
        known = self.roster.find(vm.vm)
        if known is not None:
            return known.with_state(state)
        return Member(vm.vm, vm.address, vm.zone, 0, 0, state, vm.ports)


def _is_usable(record: Member) -> bool:
    try:
        ip_address(record.address)
    except ValueError:
        return False
    return record.ports.keys() >= PORT_NAMES and all(
        0 < port <= MAX_PORT for port in record.ports.values()
    )


def _build_own_member(settings: Settings) -> Member:
    ports = {
        "entry": settings.ports.entry,
        "permits": settings.ports.permits,
        "control": settings.ports.control,
    }
    incarnation = int(time.time() * MS_PER_SECOND)
    return Member(
        settings.vm, settings.address, settings.zone, incarnation, 1, MemberState.LIVE, ports
    )

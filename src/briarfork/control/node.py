"""What the control process of one VM knows, and what it tells others."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.metrics import Metric
from briarfork.border.metrics import Metrics
from briarfork.control.load import LoadView
from briarfork.control.load import find_key
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
    from briarfork.control.link import Link
    from briarfork.membership import ListedVm
    from briarfork.membership import ListRecord
    from briarfork.timeline import Change

ENTRY_ROLE = "entry"
LEAVING_STATE = "leaving"
PORT_NAMES = {"entry", "permits", "control"}
MAX_FLOODED = 100
MILLISECONDS = 1000
# Members are checked every heartbeat. After a longer gap this process itself was paused, and the
# silence of the others says nothing.
PAUSE_HEARTBEATS = 2


class ControlNode:
    """State of the control process; its tasks call it and send what it hands them."""

    def __init__(self, settings: Settings, events: EventLog) -> None:
        self.settings = settings
        self.events = events
        self.metrics = Metrics(settings)
        self.timeline = Timeline()
        self.roster = Roster(_describe_own(settings))
        self.directory = Directory()
        self.load = LoadView()
        self.links: set[Link] = set()
        self.roster_changed = asyncio.Event()
        self.entry_absent = asyncio.Event()
        self.entry_absent.set()
        self._checked_at = time.monotonic()
        self._settled_at = time.monotonic() + settings.timeouts.silence_s
        if not settings.peers:
            self._settled_at = 0.0

    @property
    def settled(self) -> bool:
        """Whether the roster is complete enough to replace that of the entry process.

        A control process that has just restarted knows only itself until a peer has answered.
        """
        return time.monotonic() >= self._settled_at

    def add_link(self, link: Link) -> None:
        """Registers a stream."""
        self.links.add(link)

    def remove_link(self, link: Link) -> None:
        """Forgets a stream that has ended."""
        self.links.discard(link)

    def is_linked(self, vm: str) -> bool:
        """Returns whether a stream to a VM is open."""
        return any(link.vm == vm for link in self.links)

    def accept_changes(self, changes: Iterable[Change], source: str) -> bool:
        """Adds changes to the timeline; returns whether a gap has to be pulled."""
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

    def accept_members(self, records: Iterable[Member], source: Link | None = None) -> None:
        """Merges member records and passes on those that are new.

        A record of a VM that is neither live nor listed is a remnant that another VM has not
        dropped yet. A record without all ports would be of no use.
        """
        records = [
            record
            for record in records
            if not self._is_remnant(record) and record.ports.keys() >= PORT_NAMES
        ]
        if source is not None and records:
            self._settled_at = 0.0
        self._announce(self.roster.merge(records), source)

    def accept_list(self, vms: list[ListedVm], removed: list[str] | None) -> None:
        """Takes the list of VMs, or its changes, from the own follower."""
        self._spread_list(self.directory.read(vms, removed, time.monotonic()))

    def accept_listed(self, records: Iterable[ListRecord], source: Link) -> None:
        """Merges records of the list of VMs and passes on those that are new."""
        self._spread_list(self.directory.merge(records, time.monotonic()), source)

    def accept_load(self, loads: Iterable[Load], source: Link) -> None:
        """Takes loads that are newer than the known ones and passes them on."""
        regions = self.load.read_regions(self.timeline, time.time())
        now = time.monotonic()
        loads = list(loads)
        for load in self.load.accept(loads, now):
            for link in self.links:
                if link is not source:
                    link.offer_load(load, regions, self.settings.zone)
        for load in loads:
            if self.load.is_current(load, now):
                source.load.pop(find_key(load), None)

    def check_members(self) -> None:
        """Marks silent neighbours, and drops members that are neither live nor listed."""
        now = time.monotonic()
        if now - self._checked_at > PAUSE_HEARTBEATS * self.settings.timeouts.heartbeat_s:
            self.roster.forget_evidence()
        self._checked_at = now
        peers = [member.vm for member in self.roster.list_neighbours()]
        self._announce(self.roster.suspect_silent(peers, self.settings.timeouts.silence_s, now))
        self._spread_list(self.directory.settle(now))
        if self.directory.known:
            removed = self.roster.remove_absent(lambda vm: self.directory.find(vm) is not None)
            for link in self.links:
                for vm in removed:
                    link.members.pop(vm, None)
                link.removed.update(removed)
            if removed:
                self._signal_all()

    def hear(self, vm: str) -> None:
        """Records that a VM has shown that it is alive."""
        self.roster.hear(vm, time.monotonic())

    def set_serving(self, serving: bool) -> None:
        """Records whether the entry process of this VM is connected."""
        if serving:
            self.entry_absent.clear()
        else:
            self.entry_absent.set()
            self.directory.stop_reading()
        if serving != self.roster.own.serving:
            self._announce([self.roster.set_serving(serving)])

    def leave(self) -> None:
        """Begins the planned stop of this VM."""
        if self.roster.own.state is not MemberState.LEAVING:
            self._announce([self.roster.leave()])

    def _announce(self, changed: list[Member], source: Link | None = None) -> None:
        for member in changed:
            self.events.record(
                Event.MEMBER_CHANGED,
                member=member.vm,
                state=member.state.value,
                serving=member.serving,
            )
            for link in self._choose_links(len(changed), source):
                link.members[member.vm] = member
                link.removed.discard(member.vm)
            if member.vm == self.settings.vm and source is not None:
                source.members[member.vm] = member
        if changed:
            self.metrics.gauge(Metric.MEMBERS_LIVE, self.roster.count_live())
            self._signal_all()

    def _spread_list(self, changed: list[ListRecord], source: Link | None = None) -> None:
        if not changed:
            return
        self.events.record(Event.LIST_CHANGED, records=len(changed))
        for link in self._choose_links(len(changed), source):
            link.listed.update((record.listed.vm, record) for record in changed)
        entries = [record.listed for record in changed if record.listed.role == ENTRY_ROLE]
        present = [vm for vm in entries if self.directory.find(vm.vm) is not None]
        self.accept_members([self._describe_listed(vm) for vm in present])
        self._signal_all()

    def _choose_links(self, count: int, source: Link | None) -> list[Link]:
        """Returns the links on which news are passed on at once.

        Many records are a first list, a first comparison or the end of a partition. The peers have
        most of them from others, and the digests show what they lack.
        """
        if count > MAX_FLOODED:
            return [link for link in self.links if link.vm == self.settings.vm]
        return [link for link in self.links if link is not source]

    def _signal_all(self) -> None:
        self.roster_changed.set()
        self._signal_links()

    def _signal_links(self) -> None:
        for link in self.links:
            link.news.set()

    def _is_remnant(self, record: Member) -> bool:
        return (
            self.directory.known
            and record.state is not MemberState.LIVE
            and self.roster.find(record.vm) is None
            and self.directory.find(record.vm) is None
        )

    def _describe_listed(self, vm: ListedVm) -> Member:
        state = MemberState.LEAVING if vm.state == LEAVING_STATE else MemberState.LIVE
        known = self.roster.find(vm.vm)
        if known is not None:
            return known.with_state(state)
        return Member(vm.vm, vm.address, vm.zone, 0, 0, state, vm.ports)


def _describe_own(settings: Settings) -> Member:
    ports = {
        "entry": settings.ports.entry,
        "permits": settings.ports.permits,
        "control": settings.ports.control,
    }
    incarnation = int(time.time() * MILLISECONDS)
    return Member(
        settings.vm, settings.address, settings.zone, incarnation, 1, MemberState.LIVE, ports
    )

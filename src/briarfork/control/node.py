"""What the control process of one VM knows, and what it tells others."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.messages import Load
from briarfork.border.metrics import Metric
from briarfork.border.metrics import Metrics
from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.membership import Roster
from briarfork.timeline import Appended
from briarfork.timeline import Timeline

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.border.events import EventLog
    from briarfork.border.messages import ListedVm
    from briarfork.border.settings import Settings
    from briarfork.border.streams import MessageStream
    from briarfork.timeline import Change

ENTRY_ROLE = "entry"
LEAVING_STATE = "leaving"
MILLISECONDS = 1000


@dataclass(slots=True, eq=False)
class Link:
    """An open stream and what is still to be sent on it.

    Attributes:
        stream: The stream.
        vm: Name of the VM at the other end, once known.
        news: Set when there is something to send before the next heartbeat.
        members: Member records to send, by VM.
        load: Loads to send, by service and site.
    """

    stream: MessageStream
    vm: str = ""
    news: asyncio.Event = field(default_factory=asyncio.Event)
    members: dict[str, Member] = field(default_factory=dict)
    load: dict[tuple[str, str], Load] = field(default_factory=dict)


class ControlNode:
    """State of the control process; its tasks call it and send what it hands them."""

    def __init__(self, settings: Settings, events: EventLog) -> None:
        self.settings = settings
        self.events = events
        self.metrics = Metrics(settings)
        self.timeline = Timeline()
        self.roster = Roster(_describe_own(settings))
        self.listed: list[ListedVm] = []
        self.listed_at = 0.0
        self.links: set[Link] = set()
        self.roster_changed = asyncio.Event()
        self.entry_absent = asyncio.Event()
        self.entry_absent.set()
        self._load: dict[tuple[str, str], tuple[Load, float]] = {}

    def add_link(self, link: Link) -> None:
        """Registers a stream; the first heartbeat on it carries all that this VM knows."""
        self.links.add(link)
        link.members = {member.vm: member for member in self.roster.list_all()}
        link.load = {key: load for key, (load, _) in self._load.items()}
        link.news.set()

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
            if result is Appended.FORKED:
                self.events.record(
                    Event.TIMELINE_FORKED, generation=change.generation, source=source
                )
            gap = gap or result is Appended.GAP
            if result is Appended.ADDED:
                added = True
                self.events.record(
                    Event.CHANGE_ACCEPTED,
                    generation=change.generation,
                    change=change.change_id,
                    source=source,
                )
        if added:
            self.metrics.gauge(Metric.GENERATION, self.timeline.generation)
            self._signal_all()
        return gap

    def accept_members(self, records: Iterable[Member]) -> None:
        """Merges member records and passes on those that are new."""
        self._announce(self.roster.merge(records))

    def hear(self, vm: str) -> None:
        """Records that a VM has shown that it is alive."""
        self.roster.hear(vm, time.monotonic())

    def suspect_silent(self) -> None:
        """Marks neighbours that have been silent for too long."""
        peers = [member.vm for member in self.roster.list_neighbours()]
        silence_s = self.settings.timeouts.silence_s
        self._announce(self.roster.suspect_silent(peers, silence_s, time.monotonic()))

    def set_serving(self, serving: bool) -> None:
        """Records whether the entry process of this VM is connected."""
        if serving:
            self.entry_absent.clear()
        else:
            self.entry_absent.set()
        if serving != self.roster.own.serving:
            self._announce([self.roster.set_serving(serving)])

    def leave(self) -> None:
        """Begins the planned stop of this VM."""
        if self.roster.own.state is not MemberState.LEAVING:
            self._announce([self.roster.leave()])

    def accept_list(self, vms: list[ListedVm], listed_at: float) -> None:
        """Takes a list of VMs if it is newer and differs."""
        if listed_at <= self.listed_at or vms == self.listed:
            return
        self.listed = vms
        self.listed_at = listed_at
        entries = [vm for vm in vms if vm.role == ENTRY_ROLE]
        self.roster.remove_absent({vm.vm for vm in entries})
        self.accept_members(self._describe_listed(vm) for vm in entries)
        self._signal_all()

    def accept_load(self, loads: Iterable[Load]) -> None:
        """Takes loads that are newer than the known ones and passes them on."""
        now = time.monotonic()
        for load in loads:
            key = (load.service, load.site)
            known = self._load.get(key)
            if known is not None and known[1] >= now - load.age_s:
                continue
            self._load[key] = (load, now - load.age_s)
            for link in self.links:
                link.load[key] = load

    def age_load(self, loads: Iterable[Load]) -> list[Load]:
        """Returns loads with their age as of now."""
        now = time.monotonic()
        aged = []
        for load in loads:
            _, measured_at = self._load[load.service, load.site]
            aged.append(
                Load(
                    load.service,
                    load.site,
                    load.in_progress,
                    load.slots,
                    load.waiting,
                    round(now - measured_at, 3),
                )
            )
        return aged

    def _announce(self, members: Iterable[Member]) -> None:
        changed = list(members)
        for member in changed:
            self.events.record(
                Event.MEMBER_CHANGED,
                member=member.vm,
                state=member.state.value,
                serving=member.serving,
            )
            for link in self.links:
                link.members[member.vm] = member
        if changed:
            self.metrics.gauge(Metric.MEMBERS_LIVE, len(self.roster.list_live()))
            self._signal_all()

    def _signal_all(self) -> None:
        self.roster_changed.set()
        for link in self.links:
            link.news.set()

    def _describe_listed(self, vm: ListedVm) -> Member:
        state = MemberState.LEAVING if vm.state == LEAVING_STATE else MemberState.LIVE
        known = self.roster.find(vm.vm)
        incarnation, version = (known.incarnation, known.version) if known else (0, 0)
        serving = known.serving if known else False
        return Member(vm.vm, vm.address, vm.zone, incarnation, version, state, vm.ports, serving)


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

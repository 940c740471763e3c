"""Record of the requests and faults of a soak test, on which the invariants are checked."""

from __future__ import annotations

import math
import time
from collections import defaultdict
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

# Subject of the faults in which the store comes back from an older copy.
RESTORED_STORE = "restored store"


@dataclass(slots=True)
class Run:
    """An execution of a request on a backend server.

    Attributes:
        server: Name of the server incarnation.
        service: Service of the server.
        zone: Zone of the server.
        started_at: Monotonic start time.
        deadline_s: Remaining time that the server was given, in seconds.
        cancelled_at: Monotonic time at which the connection was closed before the response.
        ended_at: Monotonic end time.
    """

    server: str
    service: str
    zone: str
    started_at: float
    deadline_s: float
    cancelled_at: float = math.inf
    ended_at: float = math.inf


@dataclass(slots=True)
class Call:
    """A request sent by a caller.

    Attributes:
        name: ID of the request.
        vm: VM that received the request.
        route: Name of the route.
        idempotent: Whether the request may run more than once.
        sent_at: Monotonic time at which the request was sent.
        deadline_s: Time limit of the caller in seconds.
        status: Status of the complete response; 0 if there was none.
        error: Description of an incorrect response; empty if it was correct.
        abandoned: Whether the caller closed the connection before the response.
        reused: Whether the caller had sent a request to this VM before.
        keeps_connection: Whether the caller repeats no request on its own.
        was_reset: Whether the connection was reset, as it is if some bytes have not been read.
        sent_whole_at: Monotonic time at which the last byte was sent, if the caller knows it.
        ended_at: Monotonic time at which the call ended.
    """

    name: str
    vm: str
    route: str
    idempotent: bool
    sent_at: float
    deadline_s: float
    status: int = 0
    error: str = ""
    abandoned: bool = False
    reused: bool = False
    keeps_connection: bool = False
    was_reset: bool = False
    sent_whole_at: float = math.inf
    ended_at: float = math.inf


class StatementKind(Enum):
    """What a backend server can say about itself with a response."""

    LIMIT = "limit"
    LEAVING = "leaving"
    PAUSE = "pause"


@dataclass(frozen=True, slots=True)
class Statement:
    """What a backend server said with the response to a request.

    Attributes:
        server: Name of the server incarnation.
        request: ID of the request.
        kind: What the server said.
        at: Monotonic time of the response.
        value: Requests per second of a limit, or seconds of a pause.
    """

    server: str
    request: str
    kind: StatementKind
    at: float
    value: float = 0.0


@dataclass(slots=True)
class FaultInterval:
    """Time interval of an injected fault."""

    kind: str
    started_at: float
    ended_at: float = math.inf

    def overlaps(self, start: float, end: float) -> bool:
        return self.started_at <= end and self.ended_at >= start


@dataclass(frozen=True, slots=True)
class Probe:
    """What a probe of a VM showed.

    Attributes:
        vm: Name of the VM.
        started_at: Monotonic time before the first question.
        ended_at: Monotonic time after the last answer.
        is_ready: Whether the VM said that it was ready.
        version: The newest version of the configuration that was to be in force, 0 for none.
        knows_version: Whether the VM knew the route of that version; also without an answer.
    """

    vm: str
    started_at: float
    ended_at: float
    is_ready: bool
    version: int
    knows_version: bool


@dataclass(slots=True)
class LargeEntry:
    """A live server whose entry in the store was large for a while."""

    server: str
    service: str
    zone: str
    interval: FaultInterval


@dataclass
class Ledger:
    """Record of one soak; all times are monotonic.

    Attributes:
        runs: Executions by request.
        calls: Calls by request.
        fault_intervals: Injected faults by subject: a VM, a backend server or the store.
        drain_times: Times at which the store acknowledged that a server is draining.
        stop_times: Times at which servers stopped.
        evacuations: Intervals of the evacuations by zone.
        configurations: Acknowledged configurations: time and service of the route "move".
        arrivals: Times and IDs of all requests that reached a server, also of refused ones.
        statements: What servers said about themselves.
        restart_times: Times of planned stops by VM.
        unexpected_exits: Descriptions of processes that exited or failed to stop.
        wrong_bodies: Descriptions of request bodies that differ from those sent.
        peak_memory_mb: Highest resident memory of the processes of each VM, in megabytes.
        start_times: Times at which processes were started, by VM.
        downtimes: Times from the stop or end of a process to the start of the next, by VM.
        version_times: Times at which configurations were acknowledged, by version.
        probes: What probes of the VMs showed.
        large_entries: Live servers whose entries were large.
        late_starts: Descriptions of VMs with slow links that were not ready in time.
        processor_waits: Times in which a process was ready to run but had no processor, by VM.
        own_delays: Times in which the event loop of the soak, with all callers and servers, stood
            still.
    """

    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    calls: dict[str, Call] = field(default_factory=dict)
    fault_intervals: dict[str, list[FaultInterval]] = field(
        default_factory=lambda: defaultdict(list)
    )
    drain_times: dict[str, float] = field(default_factory=dict)
    stop_times: dict[str, float] = field(default_factory=dict)
    evacuations: dict[str, list[FaultInterval]] = field(default_factory=lambda: defaultdict(list))
    configurations: list[tuple[float, str]] = field(default_factory=list)
    arrivals: dict[str, list[tuple[float, str]]] = field(default_factory=lambda: defaultdict(list))
    statements: list[Statement] = field(default_factory=list)
    restart_times: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    unexpected_exits: list[str] = field(default_factory=list)
    wrong_bodies: list[str] = field(default_factory=list)
    peak_memory_mb: dict[str, float] = field(default_factory=dict)
    start_times: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    downtimes: dict[str, list[FaultInterval]] = field(default_factory=lambda: defaultdict(list))
    version_times: dict[int, float] = field(default_factory=dict)
    probes: list[Probe] = field(default_factory=list)
    large_entries: list[LargeEntry] = field(default_factory=list)
    late_starts: list[str] = field(default_factory=list)
    processor_waits: dict[str, list[FaultInterval]] = field(
        default_factory=lambda: defaultdict(list)
    )
    own_delays: list[FaultInterval] = field(default_factory=list)

    @contextmanager
    def record_fault(self, subjects: Iterable[str], kind: str) -> Iterator[FaultInterval]:
        """Records a fault of some subjects for the duration of a block."""
        interval = FaultInterval(kind, time.monotonic())
        for subject in subjects:
            self.fault_intervals[subject].append(interval)
        yield interval
        interval.ended_at = time.monotonic()

    def measure_own_delay_s(self, start: float, end: float) -> float:
        """Returns for how much of a time interval the soak itself stood still, in seconds."""
        return sum(
            min(end, item.ended_at) - max(start, item.started_at)
            for item in self.own_delays
            if item.overlaps(start, end)
        )

    def add_processor_wait(self, vm: str, wait_s: float) -> None:
        """Records that a VM had no processor for a time until now."""
        if wait_s > 0.0:
            now = time.monotonic()
            self.processor_waits[vm].append(FaultInterval("wait", now - wait_s, now))

    def measure_processor_wait_s(self, vm: str, start: float, end: float) -> float:
        """Returns for how much of a time interval a VM had no processor, in seconds."""
        waits = [item for item in self.processor_waits[vm] if item.overlaps(start, end)]
        return sum(min(end, item.ended_at) - max(start, item.started_at) for item in waits)

    def has_kept_state(self, vm: str, start: float, end: float) -> bool:
        """Returns whether a VM neither restarted nor had a fault in a time interval."""
        # A stop may begin before the interval, and the next process start within it.
        times = [*self.restart_times.get(vm, []), *self.start_times.get(vm, [])]
        restarted = any(start <= time_s <= end for time_s in times)
        return not restarted and self.is_fault_free([vm], start, end)

    def has_kept_knowledge(self, vm: str, since: float, learn_s: float, until: float) -> bool:
        """Returns whether a VM must still know a change, whatever the store was restored to.

        Args:
            vm: Name of the VM.
            since: Monotonic time at which the store acknowledged the change.
            learn_s: Time in which the VM learns of it.
            until: Monotonic time at which the VM must know it.
        """
        restores = [
            item
            for item in self.fault_intervals.get(RESTORED_STORE, [])
            if item.overlaps(since, until)
        ]
        has_learned = all(item.started_at >= since + learn_s for item in restores)
        restarted = any(since <= time_s <= until for time_s in self.restart_times.get(vm, []))
        return not restores or (has_learned and not restarted)

    def is_fault_free(self, subjects: list[str], start: float, end: float) -> bool:
        """Returns whether no fault of any of the subjects overlaps a time interval."""
        return not any(
            interval.overlaps(start, end)
            for name in subjects
            for interval in self.fault_intervals.get(name, [])
        )

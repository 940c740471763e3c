"""Probes of the VMs, and what must hold for those that run and reach the store."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from typing import TYPE_CHECKING

from briarfork.platform import names
from tests.soak.environment import HOST
from tests.soak.faults import STORE
from tests.soak.invariants import INVARIANTS
from tests.soak.ledger import RESTORED_STORE
from tests.soak.ledger import Probe
from tests.standins.gateway import APPLY_S
from tests.standins.gateway import FRONT_PORT

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.soak.environment import SoakEnvironment
    from tests.soak.ledger import Ledger
    from tests.soak.vms import Vm

# The platform's `stable_window`: a VM that was disturbed, or killed and started again, is in touch
# and must be ready this long afterwards.
STABLE_WINDOW_S = 4.0
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.5
# A large entry must be known this long before its server is expected to get requests.
MIN_LARGE_ENTRY_S = 3.0
# A server of the same service and zone gets about as many requests.
MIN_PEER_REQUESTS = 15


async def probe_vms(environment: SoakEnvironment) -> None:
    """Probes all VMs at an interval, until cancelled."""
    async with asyncio.TaskGroup() as group:
        for vm in environment.vms.values():
            group.create_task(_probe_repeatedly(environment, vm))


async def _probe_repeatedly(environment: SoakEnvironment, vm: Vm) -> None:
    ledger = environment.ledger
    while True:
        started_at = time.monotonic()
        due = [v for v, at in ledger.version_times.items() if at + APPLY_S < started_at]
        version = max(due, default=0)
        is_ready = await environment.is_ready(vm)
        knows_version = not version or await _knows_route(vm.address, f"/v{version}/")
        probe = Probe(vm.name, started_at, time.monotonic(), is_ready, version, knows_version)
        ledger.probes.append(probe)
        await asyncio.sleep(PROBE_INTERVAL_S)


async def _knows_route(address: str, path: str) -> bool:
    """Returns whether a VM answers a request for a route, which no server serves, without a 404."""
    lines = (f"GET {path} HTTP/1.1", f"Host: {HOST}", f"{names.ATTEMPT_ID}: probe", "", "")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(address, FRONT_PORT)
            try:
                writer.write("\r\n".join(lines).encode())
                return b" 404 " not in await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return True


def is_in_touch(ledger: Ledger, vm: str, start: float, end: float) -> bool:
    """Returns whether a VM has run and reached the store for the stable window and a time interval.

    The window is longer by the time in which the VM had no processor or the soak, with the store,
    stood still: the platform's figures hold for machines of their own.
    """
    since = start - STABLE_WINDOW_S
    since -= ledger.measure_own_delay_s(since, end) + ledger.measure_processor_wait_s(
        vm, since, end
    )
    # The faults that kill a VM last until it is ready, which is to be checked here.
    faults = [item for item in ledger.fault_intervals.get(vm, []) if item.kind != "kill"]
    intervals = [*faults, *ledger.downtimes.get(vm, [])]
    has_started = any(since <= at <= end for at in ledger.start_times[vm])
    disturbed = has_started or any(item.overlaps(since, end) for item in intervals)
    return not disturbed and ledger.is_fault_free([STORE, RESTORED_STORE], since, end)


@INVARIANTS.register("ready")
def check_ready(ledger: Ledger) -> Iterator[str]:
    """A VM that runs and reaches the store is ready, also after it was killed.

    The platform takes a VM out after two questions in a row, a second apart, without a 200. Three
    probes cover that time.
    """
    for vm, started in ledger.start_times.items():
        probes = [probe for probe in ledger.probes if probe.vm == vm]
        for row in zip(probes, probes[1:], probes[2:], strict=False):
            asked_at, ended_at = row[0].started_at, row[-1].ended_at
            if any(item.is_ready for item in row) or not is_in_touch(
                ledger, vm, asked_at, ended_at
            ):
                continue
            age_s = asked_at - max(at for at in started if at <= asked_at)
            yield f"{vm} is not ready {age_s:.1f} s after its start"
            break


@INVARIANTS.register("configuration in force")
def check_configuration_in_force(ledger: Ledger) -> Iterator[str]:
    """A VM that runs and reaches the store knows the routes of the newest configuration."""
    for probe in ledger.probes:
        if probe.knows_version or not is_in_touch(
            ledger, probe.vm, probe.started_at, probe.ended_at
        ):
            continue
        age_s = probe.started_at - ledger.version_times[probe.version]
        yield f"{probe.vm} does not know version {probe.version} after {age_s:.1f} s"


@INVARIANTS.register("slow links")
def check_slow_links(ledger: Ledger) -> Iterator[str]:
    """A VM with a slow link to the store is ready as soon as the link can have carried all keys."""
    yield from ledger.late_starts


@INVARIANTS.register("large entries")
def check_large_entries(ledger: Ledger) -> Iterator[str]:
    """A live server is used also while its entry is large."""
    for entry in ledger.large_entries:
        start, end = entry.interval.started_at + STABLE_WINDOW_S, entry.interval.ended_at
        if (
            end < start + MIN_LARGE_ENTRY_S
            or not ledger.is_fault_free([entry.server, STORE, RESTORED_STORE], start, end)
            or any(item.overlaps(start, end) for item in ledger.evacuations.get(entry.zone, []))
            or any(item.server == entry.server for item in ledger.statements)
        ):
            continue
        runs = Counter(
            run.server
            for run in itertools.chain.from_iterable(ledger.runs.values())
            if (run.service, run.zone) == (entry.service, entry.zone)
            and start <= run.started_at <= end
        )
        if not runs[entry.server] and max(runs.values(), default=0) >= MIN_PEER_REQUESTS:
            yield f"{entry.server} got no request while its entry was large, others {runs}"

"""Faults beside large and odd records of the store, which also other writers write."""

from __future__ import annotations

import asyncio
import json
import math
import signal
import time
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from functools import lru_cache
from typing import TYPE_CHECKING

from briarfork.platform import names
from briarfork.registry import Registry
from tests.soak.extra_faults import restore_store
from tests.soak.faults import INFO
from tests.soak.faults import MALFORMED_RECORDS
from tests.soak.faults import STATUS
from tests.soak.faults import STORE
from tests.soak.faults import Fault
from tests.soak.faults import choose_vm
from tests.soak.faults import is_steady
from tests.soak.faults import kill_vms
from tests.soak.faults import stop_gracefully
from tests.soak.faults import wait_until_ready
from tests.soak.ledger import RESTORED_STORE
from tests.soak.ledger import FaultInterval
from tests.soak.ledger import LargeEntry
from tests.soak.readiness import STABLE_WINDOW_S

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from random import Random

    from tests.soak.environment import SoakEnvironment
    from tests.soak.vms import Vm

RECORD_FAULTS: Registry[Fault] = Registry("fault beside large or odd records")
# A value may have 1 MiB; the other fields of an entry take less than 1 KiB.
TEXT_BYTES = 1024 * 1024 - 1024
LARGE_FIELDS = ("version", "service", "zone", "note")
# Fields of the entry of a live server, whose service and zone are short.
LIVE_FIELDS = ("version", "note")
# All large records that the store holds at a time, which are too many for a VM that keeps them.
MAX_LARGE_RECORDS = 90
LARGE_RECORDS = (20, MAX_LARGE_RECORDS)
LIVE_RECORDS = (1, 3)
# Time for which large records stay: a VM must be ready before its end.
HOLD_S = STABLE_WINDOW_S + 2.0
LIVE_CHECK_S = 0.1
LIVE_HOLD_S = STABLE_WINDOW_S + 4.0
ODD_RECORDS = (5, 20)
SILENCE_S = (0.5, 3.0)
EARLY_STOP_S = (0.1, 0.6)
RELOAD_INTERVAL_S = (0.0, 0.1)
# Links of VMs, in bytes per second: 5 and 20 Mbit/s.
SLOW_LINKS = (625_000, 2_500_000)
SLOW_LINK_RECORDS = (1, 2)
SLOW_LINK_MAX_S = 12.0
BASE64_FACTOR = 4 / 3
# A link that is used for half of the time is still good enough.
SLOW_LINK_FACTOR = 2.0
UNUSED = INFO | {"service": "unused"}


def _encode_entry(**fields: object) -> bytes:
    entry = {"address": "127.0.0.1:80", "info": UNUSED, "status": STATUS, "born": 1} | fields
    return json.dumps(entry).encode()


ODD_VALUES = (
    *(json.dumps(record).encode() for record in MALFORMED_RECORDS),
    b"",
    b" ",
    b"null",
    b"\x00\xff\xfe\x80" * 100,
    b'{"address":"\xc3\x28"}',
    b'"\\ud800"',
    _encode_entry(info=UNUSED | {"service": "\ud800"}),
    _encode_entry(info=UNUSED | {"zone": ""}),
    _encode_entry(info=UNUSED | {"slots": 10_000}),
    _encode_entry(info=UNUSED | {"slots": "4"}),
    _encode_entry(info=UNUSED | {"slots": 10**4000}),
    _encode_entry(status=STATUS | {"state": "unknown"}),
    _encode_entry(status=STATUS | {"sequence": 2**63 - 1}, born=2**63 - 1),
    _encode_entry(status=STATUS | {"sequence": 2**64}, born=-(2**63)),
    _encode_entry(status=STATUS | {"sequence": 1e308}),
    _encode_entry(status=STATUS | {"cold_remaining": "9" * 1000 + "s"}),
    _encode_entry(status=STATUS).replace(b'"born": 1', b'"born": 1e999'),
    _encode_entry(status=None),
    _encode_entry(address="127.0.0.1:" + "9" * 5000),
    _encode_entry(address=[["127.0.0.1", 80]]),
    b"[" * 200_000,
    b'{"info":' * 50_000,
    _encode_entry().replace(b'"born": 1', b'"born": ' + b"[" * 10_000 + b"]" * 10_000),
)
ODD_NAMES = (
    "",
    "/",
    "odd-1",
    "odd-2",
    "odd-3",
    "odd/../key",
    "odd key\n",
    "odd-\x00",
    "ö-\U0001f600",
)
MAX_KEY_BYTES = 200


@lru_cache
def build_large_value(name: str) -> bytes:
    """Returns the entry of a server that nobody uses, with a long text in a field."""
    return _encode_entry(info=UNUSED | {name: "v" * TEXT_BYTES})


@asynccontextmanager
async def hold_large_records(
    environment: SoakEnvironment, random: Random, counts: tuple[int, int] = LARGE_RECORDS
) -> AsyncIterator[int]:
    """Writes large records, and removes them at the end."""
    numbers = random.sample(range(MAX_LARGE_RECORDS), random.randint(*counts))
    keys = [f"{names.SERVER_PREFIX}large-{number:03}" for number in numbers]
    value = build_large_value(random.choice(LARGE_FIELDS))
    pause_s = random.choice((0.0, 0.01))
    for key in keys:
        await environment.store.write({key: (value, 0)}, [])
        await asyncio.sleep(pause_s)
    try:
        yield len(keys)
    finally:
        await environment.store.write({}, keys)


async def write_odd_records(environment: SoakEnvironment, random: Random) -> int:
    """Writes odd records in a burst, and returns their number."""
    count = random.randint(*ODD_RECORDS)
    for _ in range(count):
        name = random.choice((*ODD_NAMES, "k" * (MAX_KEY_BYTES - len(names.SERVER_PREFIX))))
        value = random.choice(ODD_VALUES)
        await environment.store.write({names.SERVER_PREFIX + name: (value, 0)}, [])
    return count


def choose_vms(environment: SoakEnvironment, random: Random) -> list[Vm]:
    """Returns several VMs."""
    vms = list(environment.vms.values())
    return random.sample(vms, random.randint(2, len(vms)))


@RECORD_FAULTS.register("herd kill")
async def kill_herd(environment: SoakEnvironment, random: Random) -> str:
    """Kills several VMs at the same moment while the store holds large records, some of them twice.

    Odd records are written right before and during the kills.
    """
    vms = choose_vms(environment, random)
    async with asyncio.TaskGroup() as kills, hold_large_records(environment, random) as records:
        odd = await write_odd_records(environment, random)
        kills.create_task(kill_vms(environment, vms))
        await asyncio.sleep(random.uniform(0.0, 1.0))
        odd += await write_odd_records(environment, random)
        if random.random() < 0.5:
            kills.create_task(kill_vms(environment, choose_vms(environment, random)))
        await asyncio.sleep(HOLD_S)
    return f"{[vm.name for vm in vms]}, {records} large and {odd} odd records"


@RECORD_FAULTS.register("silent store beside large records")
async def silence_store_beside_records(environment: SoakEnvironment, random: Random) -> str:
    """Leaves calls without a response while large records and a configuration are written."""
    is_compacted = random.random() < 0.5
    async with AsyncExitStack() as stack:
        with environment.ledger.record_fault([STORE], "silent"):
            environment.store.start_silence()
            records = await stack.enter_async_context(hold_large_records(environment, random))
            await environment.write_configuration("orders")
            if is_compacted:
                await environment.store.forget_history()
            await asyncio.sleep(random.uniform(*SILENCE_S))
            environment.store.end_silence()
        await asyncio.sleep(HOLD_S)
    return f"{records} large records{', compacted' if is_compacted else ''}"


@RECORD_FAULTS.register("restore beside large records")
async def restore_store_beside_records(environment: SoakEnvironment, random: Random) -> str:
    """Restores the store from a copy that has large records, or while it holds some."""
    async with hold_large_records(environment, random) as records:
        age = await restore_store(environment, random)
        await asyncio.sleep(HOLD_S)
    return f"{records} large records, {age}"


@RECORD_FAULTS.register("odd records")
async def kill_beside_odd_records(environment: SoakEnvironment, random: Random) -> str:
    """Writes odd records in bursts right before and during the kill of a VM."""
    vm = choose_vm(environment, random)
    count = await write_odd_records(environment, random)
    async with asyncio.TaskGroup() as group:
        group.create_task(kill_vms(environment, [vm]))
        await asyncio.sleep(random.uniform(0.0, 1.0))
        count += await write_odd_records(environment, random)
    return f"{vm.name}, {count} odd records"


@RECORD_FAULTS.register("large entries of live servers")
async def enlarge_live_entries(environment: SoakEnvironment, random: Random) -> str:
    """Adds a long text to the entries of servers that are in use, and kills a VM."""
    endpoints = [item for item in environment.endpoints if is_steady(item)]
    large = random.sample(endpoints, random.randint(*LIVE_RECORDS))
    backends = [endpoint.backend for endpoint in large]
    for endpoint in large:
        endpoint.large_fields = {random.choice(LIVE_FIELDS): "v" * TEXT_BYTES}
        await environment.register(endpoint, time.monotonic())
    vm = choose_vm(environment, random)
    await kill_vms(environment, [vm])
    steady = list(zip(large, backends, strict=True))
    interval = FaultInterval("large", time.monotonic())
    while time.monotonic() < interval.started_at + LIVE_HOLD_S:
        await asyncio.sleep(LIVE_CHECK_S)
        steady = [pair for pair in steady if pair[0].backend is pair[1] and is_steady(pair[0])]
    interval.ended_at = time.monotonic()
    for endpoint in large:
        endpoint.large_fields = {}
    environment.ledger.large_entries += [
        LargeEntry(item.name, item.service, item.zone, interval) for _, item in steady
    ]
    return f"{[backend.name for backend in backends]}, {vm.name} killed"


@RECORD_FAULTS.register("signals in series")
async def send_signals_in_series(environment: SoakEnvironment, random: Random) -> str:
    """Repeats SIGHUP through a planned stop, a start, a stop soon after it, and a run."""
    vm = choose_vm(environment, random)
    reloads = asyncio.create_task(_repeat_reloads(vm, random))
    ages_s = []
    try:
        await stop_gracefully(environment, vm)
        while not vm.is_running or vm.age_s < random.uniform(*EARLY_STOP_S):
            await asyncio.sleep(0.01)
        ages_s.append(vm.age_s)
        await stop_gracefully(environment, vm)
        await wait_until_ready(environment, vm)
    finally:
        reloads.cancel()
    return f"{vm.name}, stopped {ages_s[0]:.2f} s after its start"


async def _repeat_reloads(vm: Vm, random: Random) -> None:
    while True:
        if not vm.is_interpreter_starting:
            vm.signal(signal.SIGHUP)
        await asyncio.sleep(random.uniform(*RELOAD_INTERVAL_S))


@RECORD_FAULTS.register("slow link to the store")
async def slow_link(environment: SoakEnvironment, random: Random) -> str:
    """Kills a VM whose link to the store is slow for the large records that this holds."""
    vm = choose_vm(environment, random)
    bytes_per_s = random.choice(SLOW_LINKS)
    async with hold_large_records(environment, random, SLOW_LINK_RECORDS) as records:
        with environment.ledger.record_fault([vm.name], "slow link") as link:
            vm.conditions.bytes_per_s = bytes_per_s
            await _kill_with_slow_link(environment, vm, link)
            vm.conditions.bytes_per_s = math.inf
    return f"{vm.name} {bytes_per_s} bytes/s, {records} large records"


async def _kill_with_slow_link(environment: SoakEnvironment, vm: Vm, link: FaultInterval) -> None:
    """Kills a VM, and records if it is not ready once its link could have carried all keys."""
    ledger = environment.ledger
    started_at, starts = time.monotonic(), len(ledger.start_times[vm.name])
    kill = asyncio.create_task(kill_vms(environment, [vm]))
    held_bytes = waited_s = 0.0
    allowed_s = STABLE_WINDOW_S
    while not kill.done() and waited_s <= min(allowed_s, SLOW_LINK_MAX_S):
        await asyncio.sleep(LIVE_CHECK_S)
        values = (len(item.value) for item in environment.store.items.values())
        held_bytes = max(held_bytes, BASE64_FACTOR * sum(values))
        waited_s = time.monotonic() - started_at
        transfer_s = SLOW_LINK_FACTOR * held_bytes / vm.conditions.bytes_per_s
        allowed_s = STABLE_WINDOW_S + transfer_s + ledger.measure_own_delay_s(started_at, math.inf)
    others = [
        item
        for item in ledger.fault_intervals[vm.name]
        if item is not link and item.kind != "kill" and item.overlaps(started_at, math.inf)
    ]
    was_calm = ledger.is_fault_free([STORE, RESTORED_STORE], started_at, math.inf) and not others
    if waited_s > allowed_s and was_calm and len(ledger.start_times[vm.name]) <= starts + 1:
        ledger.late_starts.append(
            f"{vm.name} is not ready after {waited_s:.1f} s for {held_bytes / 10**6:.1f} MB"
        )

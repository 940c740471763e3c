"""Faults of a soak test; each is injected from outside the processes and removed after a while."""

from __future__ import annotations

import asyncio
import math
import signal
import time
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from briarfork.platform import names
from briarfork.registry import Registry
from tests.soak.backend import BACKEND_FAULTS
from tests.soak.environment import SERVICES
from tests.soak.environment import ZONES
from tests.soak.ledger import FaultInterval
from tests.standins.gateway import DRAIN_S
from tests.standins.gateway import GRACE_S
from tests.standins.key_value import KeyValueStore

if TYPE_CHECKING:
    from random import Random

    from tests.soak.environment import ServerEndpoint
    from tests.soak.environment import SoakEnvironment
    from tests.soak.vms import Vm

Fault = Callable[["SoakEnvironment", "Random"], Awaitable[str]]
FAULTS: Registry[Fault] = Registry("fault")
STORE = "store"
INFO = {"service": "orders", "zone": "a", "slots": 4}
STATUS = {"state": "ready", "sequence": 1}
MALFORMED_RECORDS: list[object] = [
    [],
    {"address": 7},
    "x",
    {"info": None},
    {"version": "1"},
    {"address": "127.0.0.1:99999", "info": INFO, "status": STATUS},
    {"address": "127.0.0.1:80", "info": INFO | {"slots": 10**30}, "status": STATUS},
    {"address": "127.0.0.1:80", "info": INFO, "status": STATUS, "born": -(10**400)},
]
# Without a limit, a server gets about 3 requests a second.
LIMIT_PER_S = 0.2
ADDRESS_REUSE_DELAY_S = 2.0
# Longer than any bound on the time until a killed VM is ready.
READY_TIMEOUT_S = 30.0
# Time between the two resets of a link.
RESET_INTERVAL_S = 0.2


def draw_duration_s(random: Random) -> float:
    """Returns a random duration of a fault in seconds."""
    return random.uniform(0.5, 4.0)


def choose_vm(environment: SoakEnvironment, random: Random) -> Vm:
    return random.choice(list(environment.vms.values()))


def choose_endpoint(environment: SoakEnvironment, random: Random) -> ServerEndpoint:
    """Returns an endpoint whose server is listed and does not leave."""
    return random.choice([item for item in environment.endpoints if is_steady(item)])


def is_steady(endpoint: ServerEndpoint) -> bool:
    """Returns whether the server of an endpoint is listed and does not leave."""
    return endpoint.state == "ready" and endpoint.listed and not endpoint.backend.leaving


async def inject_store_fault(
    environment: SoakEnvironment, random: Random, kind: str, **fault: object
) -> str:
    """Sets attributes of the store for a while.

    Faults can overlap, so each one restores the defaults instead of the previous values.
    """
    defaults = KeyValueStore()
    with environment.ledger.record_fault([STORE], kind):
        for name, value in fault.items():
            setattr(environment.store, name, value)
        await asyncio.sleep(draw_duration_s(random))
        for name in fault:
            setattr(environment.store, name, getattr(defaults, name))
    return kind


async def kill_vms(environment: SoakEnvironment, vms: list[Vm]) -> None:
    """Kills VMs at the same moment and waits until all are ready again."""
    with environment.ledger.record_fault([vm.name for vm in vms], "kill"):
        for vm in vms:
            vm.signal(signal.SIGKILL)
        for vm in vms:
            await wait_until_ready(environment, vm)


@FAULTS.register("kill")
async def kill_vm(environment: SoakEnvironment, random: Random) -> str:
    vm = choose_vm(environment, random)
    await kill_vms(environment, [vm])
    return vm.name


@FAULTS.register("kill all")
async def kill_all_vms(environment: SoakEnvironment, random: Random) -> str:
    await kill_vms(environment, list(environment.vms.values()))
    return "all"


@FAULTS.register("stop")
async def stop_vm(environment: SoakEnvironment, random: Random) -> str:
    """Stops a VM gracefully; it is restarted afterwards."""
    vm = choose_vm(environment, random)
    await stop_gracefully(environment, vm)
    await wait_until_ready(environment, vm)
    return vm.name


async def stop_gracefully(environment: SoakEnvironment, vm: Vm) -> None:
    """Stops the process of a VM and waits until it has exited."""
    process = vm.process
    started_at = time.monotonic()
    vm.signal(signal.SIGTERM)
    environment.ledger.restart_times[vm.name].append(started_at)
    if process is not None:
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            # A process that was paused in the meantime could not use its whole grace period.
            if environment.ledger.is_fault_free([vm.name], started_at, time.monotonic()):
                environment.ledger.unexpected_exits.append(
                    f"{vm.name} did not stop within {GRACE_S} s"
                )
            vm.signal(signal.SIGKILL)


@FAULTS.register("pause")
async def pause_vm(environment: SoakEnvironment, random: Random) -> str:
    vm = choose_vm(environment, random)
    with environment.ledger.record_fault([vm.name], "pause"):
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(draw_duration_s(random))
        vm.signal(signal.SIGCONT)
    return vm.name


@FAULTS.register("reload")
async def reload_vm(environment: SoakEnvironment, random: Random) -> str:
    vm = choose_vm(environment, random)
    vm.signal(signal.SIGHUP)
    return vm.name


@FAULTS.register("cut from store")
async def cut_from_store(environment: SoakEnvironment, random: Random) -> str:
    """Resets the connections of one VM to the store, or silences one of their directions."""
    vm = choose_vm(environment, random)
    mode = random.choice(("cut", "silent_up", "silent_down"))
    with environment.ledger.record_fault([vm.name], mode):
        setattr(vm.conditions, mode, True)
        await asyncio.sleep(draw_duration_s(random))
        setattr(vm.conditions, mode, False)
    return f"{vm.name} {mode}"


@FAULTS.register("slow store")
async def slow_store(environment: SoakEnvironment, random: Random) -> str:
    return await inject_store_fault(environment, random, "slow", delay_s=random.uniform(0.1, 1.0))


@FAULTS.register("store down")
async def take_store_down(environment: SoakEnvironment, random: Random) -> str:
    return await inject_store_fault(environment, random, "down", down=True)


@FAULTS.register("silent store")
async def silence_store(environment: SoakEnvironment, random: Random) -> str:
    """Leaves calls without a response and their connections open, also after the fault."""
    with environment.ledger.record_fault([STORE], "silent"):
        environment.store.start_silence()
        await asyncio.sleep(draw_duration_s(random))
        environment.store.end_silence()
    return "silent"


@FAULTS.register("lost answers")
async def lose_store_responses(environment: SoakEnvironment, random: Random) -> str:
    return await inject_store_fault(environment, random, "lost", lose=random.randint(1, 4))


@FAULTS.register("forgotten history")
async def forget_history(environment: SoakEnvironment, random: Random) -> str:
    await environment.store.forget_history()
    return "compacted"


@FAULTS.register("server link")
async def impair_server_link(environment: SoakEnvironment, random: Random) -> str:
    """Delays or resets the streams to a server, or silences one of their directions."""
    endpoint = choose_endpoint(environment, random)
    name = endpoint.backend.name
    mode = random.choice(("delay_s", "reset", "silent_up", "silent_down"))
    with environment.ledger.record_fault([name], "link"):
        if mode == "delay_s":
            endpoint.conditions.delay_s = random.uniform(0.1, 0.5)
        elif mode == "reset":
            endpoint.link.reset()
            await asyncio.sleep(RESET_INTERVAL_S)
            endpoint.link.reset()
        else:
            setattr(endpoint.conditions, mode, True)
        await asyncio.sleep(draw_duration_s(random))
        endpoint.conditions.delay_s = 0.0
        endpoint.conditions.silent_up = endpoint.conditions.silent_down = False
    return f"{name} {mode}"


@FAULTS.register("server crash")
async def crash_server(environment: SoakEnvironment, random: Random) -> str:
    """Stops a server without notice; its address is reused by a server of any service."""
    endpoint = choose_endpoint(environment, random)
    name = endpoint.backend.name
    crash = FaultInterval("crash", time.monotonic())
    environment.ledger.fault_intervals[name].append(crash)
    endpoint.listed = False
    endpoint.link.reset()
    await endpoint.backend.stop()
    await asyncio.sleep(ADDRESS_REUSE_DELAY_S)
    await environment.restart_backend(endpoint, random.choice(SERVICES))
    return name


@FAULTS.register("server leaves")
async def drain_server(environment: SoakEnvironment, random: Random) -> str:
    """Stops a server gracefully; some say that they leave in their responses only."""
    endpoint = choose_endpoint(environment, random)
    name = endpoint.backend.name
    endpoint.backend.leaving = True
    if random.random() < 0.5:
        endpoint.state = "draining"
        await environment.register(endpoint, time.monotonic())
        if not environment.store.down:
            environment.ledger.drain_times[name] = time.monotonic()
    await asyncio.sleep(DRAIN_S + random.uniform(0.5, 2.0))
    await replace_server(environment, endpoint)
    return name


async def replace_server(environment: SoakEnvironment, endpoint: ServerEndpoint) -> None:
    """Ends a server that has left and starts another one at its address."""
    endpoint.listed = False
    await environment.store.delete(names.SERVER_PREFIX + endpoint.backend.name)
    await endpoint.backend.stop()
    endpoint.link.reset()
    await asyncio.sleep(ADDRESS_REUSE_DELAY_S)
    await environment.restart_backend(endpoint, endpoint.backend.service)


@FAULTS.register("server misbehaves")
async def inject_backend_fault(environment: SoakEnvironment, random: Random) -> str:
    endpoint = choose_endpoint(environment, random)
    mode = random.choice(list(BACKEND_FAULTS.names()))
    backend = endpoint.backend
    with environment.ledger.record_fault([backend.name], mode):
        backend.fault = mode
        await asyncio.sleep(draw_duration_s(random))
        backend.fault = ""
    return f"{backend.name} {mode}"


@FAULTS.register("server limits")
async def limit_server(environment: SoakEnvironment, random: Random) -> str:
    """Lets the servers of a service name limits, or refuse some requests and ask for pauses."""
    service = random.choice(SERVICES)
    backends = [item.backend for item in environment.endpoints if item.backend.service == service]
    refusing = random.random() < 0.5
    for backend in backends:
        backend.limit_per_s = 0.0 if refusing else LIMIT_PER_S
        backend.refusing = refusing
    await asyncio.sleep(random.uniform(6.0, 9.0))
    for backend in backends:
        backend.limit_per_s, backend.refusing = 0.0, False
    return f"{service} {'pauses' if refusing else 'limits'}"


@FAULTS.register("evacuation")
async def evacuate_zone(environment: SoakEnvironment, random: Random) -> str:
    zone = random.choice(list(ZONES))
    key = names.EVACUATION_PREFIX + zone
    await environment.store.put(key, {})
    intervals = environment.ledger.evacuations[zone]
    with environment.ledger.record_fault([f"evacuation of {zone}"], "evacuation") as interval:
        intervals.append(interval)
        await asyncio.sleep(random.uniform(4.0, 8.0))
    # Evacuations of a zone can overlap; the key stays until the last one ends.
    if all(item.ended_at < math.inf for item in intervals):
        await environment.store.delete(key)
    return zone


@FAULTS.register("configuration")
async def change_configuration(environment: SoakEnvironment, random: Random) -> str:
    service = random.choice(SERVICES)
    await environment.write_configuration(service)
    return f"version {environment.version}: {service}"


@FAULTS.register("odd records")
async def write_malformed_records(environment: SoakEnvironment, random: Random) -> str:
    """Writes malformed server entries, as a faulty writer would."""
    record = random.choice(MALFORMED_RECORDS)
    await environment.store.put(f"{names.SERVER_PREFIX}odd-{random.randint(1, 3)}", record)
    return str(record)


async def wait_until_ready(environment: SoakEnvironment, vm: Vm) -> None:
    """Waits for a time until a restarted VM is ready; whether it is, is checked separately."""
    with suppress(TimeoutError):
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await environment.is_ready(vm):
                await asyncio.sleep(0.1)

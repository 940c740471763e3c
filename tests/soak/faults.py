"""Faults of a soak: each is put on from outside the processes, held for a while and taken off."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

from briarfork.platform import names
from briarfork.registry import Registry
from tests.soak.backend import MISBEHAVIOURS
from tests.soak.world import DRAIN_S
from tests.soak.world import GRACE_S
from tests.soak.world import SERVICES
from tests.soak.world import VMS
from tests.soak.world import ZONES
from tests.standins.key_value import KeyValueStore

if TYPE_CHECKING:
    from random import Random

    from tests.soak.ledger import Span
    from tests.soak.world import Site
    from tests.soak.world import Vm
    from tests.soak.world import World

Fault = Callable[["World", "Random"], Awaitable[str]]
FAULTS: Registry[Fault] = Registry("fault")
STORE = "store"
ODD_RECORDS: list[object] = [[], {"address": 7}, "x", {"info": None}, {"version": "1"}]
REUSE_S = 2.0
# A link that ends dial attempts and streams for a moment.
FLICKER_S = 0.2


def hold_s(random: Random) -> float:
    """Returns how long a fault lasts."""
    return random.uniform(0.5, 4.0)


def choose_vm(world: World, random: Random) -> Vm:
    return random.choice(list(world.vms.values()))


def choose_site(world: World, random: Random) -> Site:
    """Returns a server that is neither leaving nor gone, and that has a healthy neighbour."""
    sound = [site for site in world.sites if site.state == "ready" and site.listed]
    return random.choice(sound)


def end(span: Span) -> None:
    span.ended_at = time.monotonic()


async def disturb_store(world: World, random: Random, kind: str, **fault: object) -> str:
    """Sets attributes of the store for a while; faults overlap, so each ends at the defaults."""
    span = world.ledger.begin(STORE, kind, time.monotonic())
    sound = KeyValueStore()
    for name, value in fault.items():
        setattr(world.store, name, value)
    await asyncio.sleep(hold_s(random))
    for name in fault:
        setattr(world.store, name, getattr(sound, name))
    end(span)
    return kind


@FAULTS.register("kill")
async def kill_vm(world: World, random: Random) -> str:
    vm = choose_vm(world, random)
    span = world.ledger.begin(vm.name, "kill", time.monotonic())
    world.signal(vm, signal.SIGKILL)
    await wait_until_ready(world, vm)
    end(span)
    return vm.name


@FAULTS.register("kill all")
async def kill_all(world: World, random: Random) -> str:
    spans = [world.ledger.begin(name, "kill", time.monotonic()) for name in VMS]
    for vm in world.vms.values():
        world.signal(vm, signal.SIGKILL)
    for vm in world.vms.values():
        await wait_until_ready(world, vm)
    for span in spans:
        end(span)
    return "all"


@FAULTS.register("stop")
async def stop_vm(world: World, random: Random) -> str:
    """A planned stop; the process starts again afterwards."""
    vm = choose_vm(world, random)
    process = vm.process
    began = time.monotonic()
    world.signal(vm, signal.SIGTERM)
    if process is not None:
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            # A process that is paused meanwhile has no part of its grace then.
            if world.ledger.is_calm([vm.name], began, time.monotonic()):
                world.ledger.unplanned_ends.append(f"{vm.name} did not stop within {GRACE_S} s")
            world.signal(vm, signal.SIGKILL)
    await wait_until_ready(world, vm)
    return vm.name


@FAULTS.register("pause")
async def pause_vm(world: World, random: Random) -> str:
    vm = choose_vm(world, random)
    span = world.ledger.begin(vm.name, "pause", time.monotonic())
    world.signal(vm, signal.SIGSTOP)
    await asyncio.sleep(hold_s(random))
    world.signal(vm, signal.SIGCONT)
    end(span)
    return vm.name


@FAULTS.register("reload")
async def reload_vm(world: World, random: Random) -> str:
    vm = choose_vm(world, random)
    world.signal(vm, signal.SIGHUP)
    return vm.name


@FAULTS.register("cut from store")
async def cut_from_store(world: World, random: Random) -> str:
    """Connections of one VM to the store are reset, silent or silent one way."""
    vm = choose_vm(world, random)
    how = random.choice(("cut", "silent_up", "silent_down"))
    span = world.ledger.begin(vm.name, how, time.monotonic())
    setattr(vm.conditions, how, True)
    await asyncio.sleep(hold_s(random))
    setattr(vm.conditions, how, False)
    end(span)
    return f"{vm.name} {how}"


@FAULTS.register("slow store")
async def slow_store(world: World, random: Random) -> str:
    return await disturb_store(world, random, "slow", delay_s=random.uniform(0.1, 1.0))


@FAULTS.register("store down")
async def stop_store(world: World, random: Random) -> str:
    return await disturb_store(world, random, "down", down=True)


@FAULTS.register("lost answers")
async def lose_store_answers(world: World, random: Random) -> str:
    return await disturb_store(world, random, "lost", lose=random.randint(1, 4))


@FAULTS.register("forgotten history")
async def forget_history(world: World, random: Random) -> str:
    await world.store.forget_history()
    return "compacted"


@FAULTS.register("server link")
async def harm_server_link(world: World, random: Random) -> str:
    """Streams to a server are delayed, reset, silent, or silent one way."""
    site = choose_site(world, random)
    span = world.ledger.begin(site.backend.name, "link", time.monotonic())
    how = random.choice(("delay_s", "reset", "silent_up", "silent_down"))
    if how == "delay_s":
        site.conditions.delay_s = random.uniform(0.1, 0.5)
    elif how == "reset":
        site.link.reset()
        await asyncio.sleep(FLICKER_S)
        site.link.reset()
    else:
        setattr(site.conditions, how, True)
    await asyncio.sleep(hold_s(random))
    site.conditions.delay_s = 0.0
    site.conditions.silent_up = site.conditions.silent_down = False
    end(span)
    return f"{site.backend.name} {how}"


@FAULTS.register("server crash")
async def crash_server(world: World, random: Random) -> str:
    """A server ends without notice; its address goes to a server of any service."""
    site = choose_site(world, random)
    name = site.backend.name
    world.ledger.begin(name, "crash", time.monotonic())
    site.listed = False
    site.link.reset()
    await site.backend.stop()
    await asyncio.sleep(REUSE_S)
    await world.restart_backend(site, random.choice(SERVICES))
    return name


@FAULTS.register("server leaves")
async def drain_server(world: World, random: Random) -> str:
    site = choose_site(world, random)
    name = site.backend.name
    site.state = "draining"
    await world.register(site, time.monotonic())
    if not world.store.down:
        world.ledger.drained[name] = time.monotonic()
    await asyncio.sleep(DRAIN_S + random.uniform(0.5, 2.0))
    site.listed = False
    await world.store.delete(names.SERVER_PREFIX + name)
    await site.backend.stop()
    site.link.reset()
    await asyncio.sleep(REUSE_S)
    await world.restart_backend(site, site.backend.service)
    return name


@FAULTS.register("server misbehaves")
async def misbehave(world: World, random: Random) -> str:
    site = choose_site(world, random)
    how = random.choice(list(MISBEHAVIOURS.names()))
    span = world.ledger.begin(site.backend.name, how, time.monotonic())
    backend = site.backend
    backend.misbehaviour = how
    await asyncio.sleep(hold_s(random))
    backend.misbehaviour = ""
    end(span)
    return f"{backend.name} {how}"


@FAULTS.register("evacuation")
async def evacuate(world: World, random: Random) -> str:
    zone = random.choice(list(ZONES))
    key = names.EVACUATION_PREFIX + zone
    await world.store.put(key, {})
    known = world.ledger.evacuated[zone]
    span = world.ledger.begin(f"evacuation of {zone}", "evacuation", time.monotonic())
    known.append(span)
    await asyncio.sleep(random.uniform(4.0, 8.0))
    end(span)
    await world.store.delete(key)
    return zone


@FAULTS.register("configuration")
async def change_configuration(world: World, random: Random) -> str:
    service = random.choice(SERVICES)
    await world.configure(service)
    return f"version {world.version}: {service}"


@FAULTS.register("odd records")
async def write_odd_records(world: World, random: Random) -> str:
    """Another writer leaves entries that name no server and no configuration to use."""
    odd = random.choice(ODD_RECORDS)
    await world.store.put(f"{names.SERVER_PREFIX}odd-{random.randint(1, 3)}", odd)
    return str(odd)


async def wait_until_ready(world: World, vm: Vm) -> None:
    """Waits until a VM that was ended serves again; the promise of recovery is checked apart."""
    while not await world.is_ready(vm):
        await asyncio.sleep(0.1)

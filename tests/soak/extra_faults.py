"""Faults that are drawn apart from the others, which so stay the same for a seed."""

from __future__ import annotations

import asyncio
import math
import signal
import time
from typing import TYPE_CHECKING

from briarfork.platform import names
from briarfork.registry import Registry
from tests.soak.endless import ENDLESS_ANSWERS
from tests.soak.environment import MISSED_HEARTBEATS
from tests.soak.environment import build_next_entry
from tests.soak.faults import STORE
from tests.soak.faults import Fault
from tests.soak.faults import choose_endpoint
from tests.soak.faults import choose_vm
from tests.soak.faults import draw_duration_s
from tests.soak.faults import replace_server
from tests.soak.faults import stop_gracefully
from tests.soak.faults import wait_until_ready
from tests.soak.ledger import RESTORED_STORE
from tests.standins.gateway import DRAIN_S
from tests.standins.gateway import HEARTBEAT_S

if TYPE_CHECKING:
    from random import Random

    from tests.soak.environment import SoakEnvironment
    from tests.standins.key_value import StoreCopy

EXTRA_FAULTS: Registry[Fault] = Registry("extra fault")
# Messages that arrive after newer ones.
LATE_FAULTS: Registry[Fault] = Registry("late message")
RESTORE_FAULTS: Registry[Fault] = Registry("restore of the store")
# The platform's store does a write that got no response at most this much later.
LATE_WRITE_S = 6.0
# Time between two signals to the same process.
SIGNAL_INTERVAL_S = (0.0, 2.0)
# Age of a copy from which the store comes back, and for how long it is down before.
COPY_AGE_S, RESTORE_S = (1.0, 5.0), (0.2, 0.5)
# Time after which operators have written again what a copy lacks.
REWRITE_S = (0.2, 1.0)


@EXTRA_FAULTS.register("endless answers")
async def inject_endless_answers(environment: SoakEnvironment, random: Random) -> str:
    """Lets a server send bytes that are no answer, or no end of one."""
    endpoint = choose_endpoint(environment, random)
    mode = random.choice(ENDLESS_ANSWERS)
    fault = f"endless {mode}"
    backend = endpoint.backend
    with environment.ledger.record_fault([backend.name], fault):
        backend.endless = mode
        await asyncio.sleep(draw_duration_s(random))
        backend.endless = ""
    return f"{backend.name} {fault}"


@EXTRA_FAULTS.register("signals in a row")
async def send_signals_in_a_row(environment: SoakEnvironment, random: Random) -> str:
    """Stops a VM with reloads and further signals before and during the stop."""
    vm = choose_vm(environment, random)
    vm.signal(signal.SIGHUP)
    await asyncio.sleep(random.uniform(*SIGNAL_INTERVAL_S))
    stop = asyncio.create_task(stop_gracefully(environment, vm))
    numbers = [random.choice((signal.SIGHUP, signal.SIGTERM)) for _ in range(2)]
    for number in numbers:
        await asyncio.sleep(random.uniform(*SIGNAL_INTERVAL_S))
        if not stop.done():
            vm.signal(number)
    await stop
    await wait_until_ready(environment, vm)
    return f"{vm.name} {[number.name for number in numbers]}"


@EXTRA_FAULTS.register("odd store answers")
async def answer_oddly(environment: SoakEnvironment, random: Random) -> str:
    """Lets the store give answers that its calls do not have."""
    status = random.choice((200, 404, 410, 412))
    with environment.ledger.record_fault([STORE], "odd answers"):
        environment.store.odd_answer = (status, b"[" * random.choice((0, 100_000)))
        await environment.store.delete(names.SERVER_PREFIX + "odd-1")
        await asyncio.sleep(draw_duration_s(random))
        environment.store.odd_answer = None
    return str(status)


@LATE_FAULTS.register("repeated refusals")
async def repeat_refusals(environment: SoakEnvironment, random: Random) -> str:
    """Lets the only listed server of a zone refuse some requests twice."""
    endpoint = choose_endpoint(environment, random)
    backend = endpoint.backend
    others = [
        item
        for item in environment.endpoints
        if (item.backend.service, item.backend.zone) == (backend.service, backend.zone)
        and item is not endpoint
        and item.state == "ready"
        and item.listed
    ]
    for other in others:
        other.listed = False
        await environment.store.delete(names.SERVER_PREFIX + other.backend.name)
    backend.refusing_twice = True
    await asyncio.sleep(draw_duration_s(random))
    backend.refusing_twice = False
    for other in others:
        other.listed = True
    return backend.name


@LATE_FAULTS.register("late heartbeat")
async def write_heartbeat_late(environment: SoakEnvironment, random: Random) -> str:
    """Lets a heartbeat of a server take effect after the server has left."""
    endpoint = choose_endpoint(environment, random)
    backend = endpoint.backend
    late_entry = build_next_entry(endpoint)
    mode = random.choice(("draining", "removed"))
    if mode == "draining":
        endpoint.state = "draining"
        await environment.register(endpoint, time.monotonic())
    else:
        endpoint.listed = False
        await environment.store.delete(names.SERVER_PREFIX + backend.name)
    if not environment.store.down:
        environment.ledger.drain_times[backend.name] = time.monotonic()
    await asyncio.sleep(random.uniform(1.0, LATE_WRITE_S))
    await environment.write_entry(endpoint, late_entry, time.monotonic())
    await asyncio.sleep(DRAIN_S)
    await replace_server(environment, endpoint)
    return f"{backend.name} {mode}"


@RESTORE_FAULTS.register("store comes back older")
async def restore_store(environment: SoakEnvironment, random: Random) -> str:
    """Restores the store from a copy; what was written since is written again by its writers."""
    copy = environment.store.take_copy()
    age_s = random.uniform(*COPY_AGE_S)
    await asyncio.sleep(age_s)
    with environment.ledger.record_fault([RESTORED_STORE], "older"):
        await _restore_and_rewrite(environment, random, copy)
    return f"{age_s:.1f} s"


async def _restore_and_rewrite(
    environment: SoakEnvironment, random: Random, copy: StoreCopy
) -> None:
    store = environment.store
    store.down = True
    await asyncio.sleep(random.uniform(*RESTORE_S))
    await store.restore(copy)
    store.down = False
    await asyncio.sleep(random.uniform(*REWRITE_S))
    await environment.rewrite_configuration()
    for zone, intervals in environment.ledger.evacuations.items():
        key = names.EVACUATION_PREFIX + zone
        is_evacuated = any(item.ended_at == math.inf for item in intervals)
        if is_evacuated and key not in store.items:
            await store.put(key, {})
        elif not is_evacuated and key in store.items:
            await store.delete(key)
    await asyncio.sleep(MISSED_HEARTBEATS * HEARTBEAT_S)
    await environment.expire_ended_servers()

"""Faults that are drawn apart from the others, which so stay the same for a seed."""

from __future__ import annotations

import asyncio
import math
import signal
from typing import TYPE_CHECKING

from briarfork.platform import names
from briarfork.registry import Registry
from tests.soak.endless import ENDLESS_ANSWERS
from tests.soak.environment import MISSED_HEARTBEATS
from tests.soak.faults import STORE
from tests.soak.faults import Fault
from tests.soak.faults import choose_endpoint
from tests.soak.faults import choose_vm
from tests.soak.faults import draw_duration_s
from tests.soak.faults import stop_gracefully
from tests.soak.faults import wait_until_ready
from tests.soak.ledger import RESTORED_STORE
from tests.standins.gateway import HEARTBEAT_S

if TYPE_CHECKING:
    from random import Random

    from tests.soak.environment import SoakEnvironment
    from tests.standins.key_value import StoreCopy

EXTRA_FAULTS: Registry[Fault] = Registry("extra fault")
RESTORE_FAULTS: Registry[Fault] = Registry("restore of the store")
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
    environment.signal(vm, signal.SIGHUP)
    await asyncio.sleep(random.uniform(*SIGNAL_INTERVAL_S))
    stop = asyncio.create_task(stop_gracefully(environment, vm))
    numbers = [random.choice((signal.SIGHUP, signal.SIGTERM)) for _ in range(2)]
    for number in numbers:
        await asyncio.sleep(random.uniform(*SIGNAL_INTERVAL_S))
        if not stop.done():
            environment.signal(vm, number)
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

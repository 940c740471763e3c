"""What a scenario may expect; decorators fill the registry."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

from briarfork.registry import Registry
from tests.scenarios.steps import VERBS

if TYPE_CHECKING:
    from tests.scenarios.language import Step
    from tests.scenarios.world import World

Reader = Callable[["World", "Step"], Awaitable[object]]
EXPECTATIONS: Registry[Reader] = Registry("expectation")
POLL_S = 0.05


@VERBS.register("expect")
async def expect(world: World, step: Step) -> None:
    """expect SUBJECT ... equals=VALUE | at_most=N | at_least=N [within_s=N]"""
    read = EXPECTATIONS.get(step.words[0])
    deadline = asyncio.get_running_loop().time() + float(step.options.get("within_s", "0"))
    while True:
        found = await read(world, step)
        if _matches(found, step.options):
            return
        if asyncio.get_running_loop().time() >= deadline:
            raise AssertionError(f"{step}: found {found}")
        await asyncio.sleep(POLL_S)


def _matches(found: object, options: dict[str, str]) -> bool:
    if "equals" in options and str(found) != options["equals"]:
        return False
    if "at_most" in options and not float(str(found)) <= float(options["at_most"]):
        return False
    return not ("at_least" in options and not float(str(found)) >= float(options["at_least"]))


@EXPECTATIONS.register("runs")
async def count_runs(world: World, step: Step) -> object:
    """expect runs KEY: how often a request ran on all backend servers together"""
    ledgers = await world.read_ledgers()
    return sum(ledger["ledger"].get(step.words[1], 0) for ledger in ledgers.values())


@EXPECTATIONS.register("duplicates")
async def count_duplicates(world: World, step: Step) -> object:
    """expect duplicates LOAD: requests of a load that ran more than once"""
    runs: dict[str, int] = {}
    for ledger in (await world.read_ledgers()).values():
        for name, count in ledger["ledger"].items():
            runs[name] = runs.get(name, 0) + count
    return sum(1 for key in world.loads[step.words[1]].keys if runs.get(key, 0) > 1)


@EXPECTATIONS.register("status")
async def read_status(world: World, step: Step) -> object:
    """expect status NAME: HTTP status of a request; 0 if the answer was not whole"""
    return world.answers[step.words[1]].status


@EXPECTATIONS.register("header")
async def read_header(world: World, step: Step) -> object:
    """expect header NAME HEADER"""
    return world.answers[step.words[1]].headers.get(step.words[2], "none")


@EXPECTATIONS.register("elapsed")
async def read_elapsed(world: World, step: Step) -> object:
    """expect elapsed NAME: seconds until the whole answer"""
    return world.answers[step.words[1]].elapsed_s


@EXPECTATIONS.register("cut")
async def count_cut(world: World, step: Step) -> object:
    """expect cut LOAD: answers that were not whole"""
    return world.loads[step.words[1]].cut


@EXPECTATIONS.register("errors")
async def count_errors(world: World, step: Step) -> object:
    """expect errors LOAD: answers with an error status"""
    return world.loads[step.words[1]].count_errors()


@EXPECTATIONS.register("answered")
async def count_answered(world: World, step: Step) -> object:
    """expect answered LOAD: share of requests with a whole answer without error, in percent"""
    load = world.loads[step.words[1]]
    good = sum(1 for answer in load.answers if answer.whole and answer.status < 400)
    return 100.0 * good / load.sent


@EXPECTATIONS.register("generation")
async def read_generation(world: World, step: Step) -> object:
    """expect generation VM|lowest|highest"""
    word = step.words[1]
    if word in ("lowest", "highest"):
        generations = [await world.cluster.read_generation(vm) for vm in world.cluster.vms]
        return min(generations) if word == "lowest" else max(generations)
    return await world.cluster.read_generation(world.find_vm(word))


@EXPECTATIONS.register("reverted")
async def count_reverted(world: World, step: Step) -> object:
    """expect reverted: VMs whose generation is lower than remembered"""
    count = 0
    for vm in world.cluster.vms:
        generation = await world.cluster.read_generation(vm)
        count += 0 <= generation < world.generations.get(vm.name, 0)
    return count


@EXPECTATIONS.register("accepted")
async def read_accepted(world: World, step: Step) -> object:
    """expect accepted NAME FIELD: a field of the answer to a submission"""
    return world.accepted[step.words[1]].get(step.words[2], "none")


@EXPECTATIONS.register("changes")
async def count_changes(world: World, step: Step) -> object:
    """expect changes: number of accepted changes in the store"""
    url = f"{world.cluster.vms[0].admin_url}/v1/changes"
    return len((await world.cluster.get(url, limit="1000"))["changes"])


@EXPECTATIONS.register("event")
async def count_events(world: World, step: Step) -> object:
    """expect event NUMBER VM PROGRAM: how often an event was logged"""
    vm = world.find_vm(step.words[2])
    return world.cluster.read_log(vm, step.words[3]).count(f"event={step.words[1]} ")


@EXPECTATIONS.register("listed")
async def count_listed(world: World, step: Step) -> object:
    """expect listed VM via=VM service=S: whether lookups name a VM, as 1 or 0"""
    vm = world.find_vm(step.options["via"])
    service = step.options["service"]
    answer = await world.cluster.get(f"{vm.url}/lookup", service=service)
    return sum(1 for entry in answer["entries"] if entry["vm"] == world.find_vm(step.words[1]).name)


@EXPECTATIONS.register("work")
async def count_late_work(world: World, step: Step) -> object:
    """expect work SERVER since=MARK plus_s=N: requests begun more than N seconds after a mark"""
    ledger = (await world.read_ledgers())[step.words[1]]
    since = world.marks[step.options["since"]] + float(step.options.get("plus_s", "0"))
    return sum(1 for at in ledger["arrivals"] if at > since)


@EXPECTATIONS.register("peak")
async def read_peak(world: World, step: Step) -> object:
    """expect peak: highest number of requests that one server ran at the same time"""
    return max(ledger["peak"] for ledger in (await world.read_ledgers()).values())

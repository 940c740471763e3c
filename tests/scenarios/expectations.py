"""Expectations of the scenario language, registered by decorators."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

from briarfork.registry import Registry
from tests.scenarios.steps import VERBS

if TYPE_CHECKING:
    from tests.scenarios.context import ScenarioContext
    from tests.scenarios.language import Step

ValueReader = Callable[["ScenarioContext", "Step"], Awaitable[object]]
EXPECTATIONS: Registry[ValueReader] = Registry("expectation")
POLL_INTERVAL_S = 0.05


@VERBS.register("expect")
async def expect(context: ScenarioContext, step: Step) -> None:
    """`expect SUBJECT ... equals=VALUE | at_most=N | at_least=N [within_s=N]`.

    Reads the value repeatedly until it matches or `within_s` has passed.
    """
    read_value = EXPECTATIONS.get(step.words[0])
    deadline = asyncio.get_running_loop().time() + float(step.options.get("within_s", "0"))
    while True:
        actual = await read_value(context, step)
        if _matches(actual, step.options):
            return
        if asyncio.get_running_loop().time() >= deadline:
            raise AssertionError(f"{step}: found {actual}")
        await asyncio.sleep(POLL_INTERVAL_S)


def _matches(actual: object, options: dict[str, str]) -> bool:
    if "equals" in options and str(actual) != options["equals"]:
        return False
    if "at_most" in options and not float(str(actual)) <= float(options["at_most"]):
        return False
    return not ("at_least" in options and not float(str(actual)) >= float(options["at_least"]))


@EXPECTATIONS.register("runs")
async def count_runs(context: ScenarioContext, step: Step) -> object:
    """`expect runs KEY`: number of executions of a request on all backend servers."""
    ledgers = await context.read_ledgers()
    return sum(server_ledger["ledger"].get(step.words[1], 0) for server_ledger in ledgers.values())


@EXPECTATIONS.register("duplicates")
async def count_duplicates(context: ScenarioContext, step: Step) -> object:
    """`expect duplicates LOAD`: number of requests of a load that ran more than once."""
    runs: dict[str, int] = {}
    for server_ledger in (await context.read_ledgers()).values():
        for name, count in server_ledger["ledger"].items():
            runs[name] = runs.get(name, 0) + count
    return sum(1 for key in context.loads[step.words[1]].keys if runs.get(key, 0) > 1)


@EXPECTATIONS.register("status")
async def read_status(context: ScenarioContext, step: Step) -> object:
    """`expect status NAME`: HTTP status of a response; 0 if it was incomplete."""
    return context.responses[step.words[1]].status


@EXPECTATIONS.register("header")
async def read_header(context: ScenarioContext, step: Step) -> object:
    """`expect header NAME HEADER`: value of a response header, or "none"."""
    return context.responses[step.words[1]].headers.get(step.words[2], "none")


@EXPECTATIONS.register("elapsed")
async def read_elapsed(context: ScenarioContext, step: Step) -> object:
    """`expect elapsed NAME`: time in seconds until the end of the response."""
    return context.responses[step.words[1]].elapsed_s


@EXPECTATIONS.register("cut")
async def count_cut(context: ScenarioContext, step: Step) -> object:
    """`expect cut LOAD`: number of incomplete responses."""
    return context.loads[step.words[1]].incomplete_count


@EXPECTATIONS.register("errors")
async def count_errors(context: ScenarioContext, step: Step) -> object:
    """`expect errors LOAD`: number of complete responses with an error status."""
    return context.loads[step.words[1]].count_errors()


@EXPECTATIONS.register("answered")
async def count_answered(context: ScenarioContext, step: Step) -> object:
    """`expect answered LOAD`: percentage of requests with a complete successful response."""
    load = context.loads[step.words[1]]
    successful = sum(
        1 for response in load.responses if response.complete and response.status < 400
    )
    return 100.0 * successful / load.sent


@EXPECTATIONS.register("generation")
async def read_generation(context: ScenarioContext, step: Step) -> object:
    """`expect generation VM|lowest|highest`: generation on one VM or of all VMs."""
    selector = step.words[1]
    if selector in ("lowest", "highest"):
        generations = [await context.cluster.read_generation(vm) for vm in context.cluster.vms]
        return min(generations) if selector == "lowest" else max(generations)
    return await context.cluster.read_generation(context.get_vm(selector))


@EXPECTATIONS.register("reverted")
async def count_reverted(context: ScenarioContext, step: Step) -> object:
    """`expect reverted`: number of VMs whose generation is lower than remembered."""
    count = 0
    for vm in context.cluster.vms:
        generation = await context.cluster.read_generation(vm)
        count += 0 <= generation < context.remembered_generations.get(vm.name, 0)
    return count


@EXPECTATIONS.register("accepted")
async def read_submission_field(context: ScenarioContext, step: Step) -> object:
    """`expect accepted NAME FIELD`: field of the response to a submission, or "none"."""
    return context.submissions[step.words[1]].get(step.words[2], "none")


@EXPECTATIONS.register("changes")
async def count_changes(context: ScenarioContext, step: Step) -> object:
    """`expect changes`: number of accepted changes in the store."""
    url = f"{context.cluster.vms[0].admin_url}/v1/changes"
    return len((await context.cluster.get(url, limit="1000"))["changes"])


@EXPECTATIONS.register("event")
async def count_events(context: ScenarioContext, step: Step) -> object:
    """`expect event NUMBER VM PROGRAM`: number of times an event was logged."""
    vm = context.get_vm(step.words[2])
    return context.cluster.read_log(vm, step.words[3]).count(f"event={step.words[1]} ")


@EXPECTATIONS.register("listed")
async def count_listed(context: ScenarioContext, step: Step) -> object:
    """`expect listed VM via=VM service=S`: 1 if a lookup returns the VM, else 0."""
    vm = context.get_vm(step.options["via"])
    service = step.options["service"]
    response = await context.cluster.get(f"{vm.url}/lookup", service=service)
    return sum(
        1 for entry in response["entries"] if entry["vm"] == context.get_vm(step.words[1]).name
    )


@EXPECTATIONS.register("work")
async def count_started_after(context: ScenarioContext, step: Step) -> object:
    """`expect work SERVER since=MARK plus_s=N`: requests started over N seconds after a mark."""
    server_ledger = (await context.read_ledgers())[step.words[1]]
    since = context.marked_times[step.options["since"]] + float(step.options.get("plus_s", "0"))
    return sum(1 for at in server_ledger["arrivals"] if at > since)


@EXPECTATIONS.register("peak")
async def read_peak_concurrency(context: ScenarioContext, step: Step) -> object:
    """`expect peak`: maximum number of requests in progress on any one server."""
    return max(server_ledger["peak"] for server_ledger in (await context.read_ledgers()).values())

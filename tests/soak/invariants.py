"""Invariants of the platform, checked on the record of a soak test."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
from typing import TYPE_CHECKING

from briarfork.registry import Registry
from tests.soak.environment import EVACUATE_S
from tests.soak.faults import STORE
from tests.soak.ledger import StatementKind
from tests.soak.vms import VM_MEMORY_MB
from tests.standins.gateway import APPLY_S
from tests.standins.gateway import DRAIN_S

if TYPE_CHECKING:
    from tests.soak.ledger import Call
    from tests.soak.ledger import Ledger
    from tests.soak.ledger import Run
    from tests.soak.ledger import Statement

Invariant = Callable[["Ledger"], Iterator[str]]
INVARIANTS: Registry[Invariant] = Registry("invariant")
# Statuses which state that the request has not run and will not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
MAX_ATTEMPTS = {"lookup": 3, "order": 2, "load": 2, "move": 2, "upload": 2, "file": 2}
RETRY_RATIO = 0.2
RETRY_SLACK = 20
BUDGET_WINDOW_S = 10.0
DEADLINE_SLACK_S = 0.5
# The platform's `loss_slack`: a connection that ends sooner may have crossed the request.
LOSS_SLACK_S = 0.2
# A fault can have effects for this long after its end.
FAULT_EFFECT_S = 4.0
# A VM notices a change within this time, and a request can be in transit for equally long.
CANCELLATION_SLACK_S = 0.5
# A VM heeds what a server says within this time.
STATEMENT_SLACK_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXCESS = 5
MAX_PAUSED_REQUESTS = 2
MAX_CALL_DURATION_S = 60.0
# At most this share of the abandoned requests may still run after the slack.
MAX_ABANDONED_SHARE = 0.25


def list_runs(ledger: Ledger) -> Iterator[tuple[Call, Run]]:
    for name, runs in ledger.runs.items():
        if name in ledger.calls:
            for run in runs:
                yield ledger.calls[name], run


@INVARIANTS.register("whole answers")
def check_complete_responses(ledger: Ledger) -> Iterator[str]:
    """A successful response is the server's complete response to the same request."""
    for call in ledger.calls.values():
        if call.error:
            yield f"{call.name} at {call.vm}: {call.error}"


@INVARIANTS.register("whole bodies")
def check_complete_bodies(ledger: Ledger) -> Iterator[str]:
    """A server that reads the body of a request to its end gets the body that was sent."""
    yield from ledger.wrong_bodies


@INVARIANTS.register("known requests")
def check_known_requests(ledger: Ledger) -> Iterator[str]:
    """Servers run only requests that callers have sent."""
    yield from (f"{name} was sent by no caller" for name in ledger.runs if name not in ledger.calls)


@INVARIANTS.register("at most once")
def check_at_most_once(ledger: Ledger) -> Iterator[str]:
    """A request that is not idempotent runs at most once."""
    for name, runs in ledger.runs.items():
        call = ledger.calls.get(name)
        if call is not None and not call.idempotent and len(runs) > 1:
            yield f"{name} at {call.vm} ran on {[run.server for run in runs]}"


@INVARIANTS.register("true refusals")
def check_refusals(ledger: Ledger) -> Iterator[str]:
    """A refused request that is not idempotent has not run on any server."""
    for call in ledger.calls.values():
        if call.status in NOT_RUN_STATUSES and not call.idempotent and ledger.runs.get(call.name):
            yield f"{call.name} at {call.vm}: {call.status}, but it ran"


@INVARIANTS.register("attempts")
def check_attempts(ledger: Ledger) -> Iterator[str]:
    """A request runs on at most `max_attempts` servers, not counting those that have stopped."""
    for name, runs in ledger.runs.items():
        call = ledger.calls.get(name)
        if call is None:
            continue
        running_servers = {run.server for run in runs if run.server not in ledger.stop_times}
        if len(running_servers) > MAX_ATTEMPTS[call.route]:
            yield f"{name} ran on {sorted(running_servers)}"


@INVARIANTS.register("budget")
def check_budget(ledger: Ledger) -> Iterator[str]:
    """Retries stay within the retry budget in every time window."""
    retry_times: dict[str, list[float]] = defaultdict(list)
    for runs in ledger.runs.values():
        for run in runs[1:]:
            retry_times[run.service].append(run.started_at)
    first_run_times: dict[str, list[float]] = defaultdict(list)
    for runs in ledger.runs.values():
        first_run_times[runs[0].service].append(runs[0].started_at)
    for service, times in retry_times.items():
        for window_start in times:
            window_end = window_start + BUDGET_WINDOW_S
            count = sum(window_start <= time_s < window_end for time_s in times)
            requests = (
                sum(
                    window_start - BUDGET_WINDOW_S <= time_s < window_end
                    for time_s in first_run_times[service]
                )
                / 2
            )
            if count > RETRY_RATIO * requests + RETRY_SLACK:
                yield f"{service}: {count} retries of {requests:.0f} requests in 10 s"
                break


@INVARIANTS.register("deadlines")
def check_deadlines(ledger: Ledger) -> Iterator[str]:
    """Servers are given no more time than their callers have left.

    While the soak itself stands still, neither do its callers send nor its servers read.
    """
    for call, run in list_runs(ledger):
        remaining_s = call.sent_at + call.deadline_s - run.started_at
        slack_s = DEADLINE_SLACK_S + ledger.measure_own_delay_s(call.sent_at, run.started_at)
        if run.deadline_s > remaining_s + slack_s and ledger.is_fault_free(
            [call.vm, run.server], call.sent_at - FAULT_EFFECT_S, run.started_at
        ):
            yield f"{call.name}: {run.deadline_s:.2f} s of {remaining_s:.2f} s at {run.server}"


@INVARIANTS.register("drained servers")
def check_drained_servers(ledger: Ledger) -> Iterator[str]:
    """A draining server gets no new requests after the drain time."""
    for call, run in list_runs(ledger):
        drained_at = ledger.drain_times.get(run.server)
        subjects = [call.vm, run.server, STORE]
        if drained_at is None or run.started_at <= drained_at + DRAIN_S:
            continue
        if not ledger.has_kept_knowledge(call.vm, drained_at, DRAIN_S, run.started_at):
            continue
        if ledger.is_fault_free(subjects, drained_at - FAULT_EFFECT_S, run.started_at):
            yield (
                f"{call.name} at {run.server} {run.started_at - drained_at:.2f} s after it "
                "began to drain"
            )


def list_told_vms(ledger: Ledger, kind: StatementKind) -> dict[tuple[str, str], Statement]:
    """Returns the first statement of a kind that each server made to each VM."""
    told: dict[tuple[str, str], Statement] = {}
    for statement in ledger.statements:
        call = ledger.calls.get(statement.request)
        if call is not None and call.status and statement.kind is kind:
            told.setdefault((statement.server, call.vm), statement)
    return told


@INVARIANTS.register("leaving servers")
def check_leaving_servers(ledger: Ledger) -> Iterator[str]:
    """A VM that a server told that it leaves sends it no request after the drain time."""
    told = list_told_vms(ledger, StatementKind.LEAVING)
    for call, run in list_runs(ledger):
        statement = told.get((run.server, call.vm))
        if statement is None or call.sent_at <= statement.at + DRAIN_S:
            continue
        if ledger.has_kept_state(call.vm, statement.at, run.started_at):
            yield f"{call.name} at {run.server} {call.sent_at - statement.at:.2f} s after its word"


@INVARIANTS.register("limits")
def check_limits(ledger: Ledger) -> Iterator[str]:
    """A server with a limit gets few more requests than that from the VMs that it told."""
    told = list_told_vms(ledger, StatementKind.LIMIT)
    for server in {server for server, _ in told}:
        per_s = max(item.value for (name, _), item in told.items() if name == server)
        times = list(list_limited_arrivals(ledger, server, told))
        counts = [sum(start <= at < start + LIMIT_WINDOW_S for at in times) for start in times]
        if max(counts, default=0) > LIMIT_FACTOR * per_s * LIMIT_WINDOW_S + LIMIT_EXCESS:
            yield f"{server}: {max(counts)} requests in {LIMIT_WINDOW_S} s at {per_s} a second"


def list_limited_arrivals(
    ledger: Ledger, server: str, told: dict[tuple[str, str], Statement]
) -> Iterator[float]:
    """Yields when requests of VMs that know the limit of a server reached it."""
    named = [
        item.at
        for item in ledger.statements
        if item.server == server and item.kind is StatementKind.LIMIT
    ]
    for time_s, request in ledger.arrivals[server]:
        if not named[0] + FAULT_EFFECT_S <= time_s <= named[-1] or request not in ledger.calls:
            continue
        vm = ledger.calls[request].vm
        statement = told.get((server, vm))
        if statement is None or statement.at + STATEMENT_SLACK_S > time_s:
            continue
        if ledger.has_kept_state(vm, statement.at, time_s):
            yield time_s


@INVARIANTS.register("pauses")
def check_pauses(ledger: Ledger) -> Iterator[str]:
    """A VM that a server asked for a pause sends it nearly nothing until the pause is over."""
    for statement in ledger.statements:
        asked = ledger.calls.get(statement.request)
        if statement.kind is not StatementKind.PAUSE or asked is None or not asked.status:
            # A VM whose caller has left ends its attempt and does not read the refusal.
            continue
        start, end = statement.at + STATEMENT_SLACK_S, statement.at + statement.value
        arrived = [
            request
            for time_s, request in ledger.arrivals[statement.server]
            if start < time_s < end
            and request in ledger.calls
            and ledger.calls[request].vm == asked.vm
        ]
        if len(arrived) > MAX_PAUSED_REQUESTS and ledger.has_kept_state(
            asked.vm, statement.at, end
        ):
            yield (
                f"{statement.server}: {len(arrived)} requests from {asked.vm} in a pause, which "
                f"{asked.name} (status {asked.status}) was told of: {arrived}"
            )


@INVARIANTS.register("evacuated zones")
def check_evacuated_zones(ledger: Ledger) -> Iterator[str]:
    """An evacuated zone gets no new requests after the evacuation time."""
    for call, run in list_runs(ledger):
        for interval in ledger.evacuations.get(run.zone, []):
            after_evacuation = interval.started_at + EVACUATE_S < run.started_at < interval.ended_at
            began_at, at = interval.started_at, run.started_at
            knows = ledger.has_kept_knowledge(call.vm, began_at, EVACUATE_S, at)
            if (
                after_evacuation
                and knows
                and ledger.is_fault_free([call.vm, STORE], began_at - FAULT_EFFECT_S, at)
            ):
                yield f"{call.name} at {run.server} in {run.zone}"


@INVARIANTS.register("configuration")
def check_configuration(ledger: Ledger) -> Iterator[str]:
    """A request is routed by the current configuration once it had time to propagate."""
    for call, run in list_runs(ledger):
        if call.route != "move":
            continue
        earlier = [item for item in ledger.configurations if item[0] + APPLY_S < call.sent_at]
        if not earlier:
            continue
        allowed_services = [
            service
            for time_s, service in ledger.configurations
            if earlier[-1][0] <= time_s <= run.started_at
        ]
        fault_free = ledger.is_fault_free(
            [call.vm, STORE], earlier[-1][0] - FAULT_EFFECT_S, run.started_at
        )
        knows = ledger.has_kept_knowledge(call.vm, earlier[-1][0], APPLY_S, run.started_at)
        if run.service not in allowed_services and fault_free and knows:
            yield f"{call.name} at {call.vm} ran on {run.service}, allowed are {allowed_services}"


@INVARIANTS.register("no request lost")
def check_no_request_lost(ledger: Ledger) -> Iterator[str]:
    """A VM without faults responds to every request that it has read, also while it stops."""
    for call in ledger.calls.values():
        if call.status or call.abandoned or call.ended_at > call.sent_at + MAX_CALL_DURATION_S:
            continue
        runs = ledger.runs.get(call.name, [])
        ended_late = call.ended_at > call.sent_whole_at + LOSS_SLACK_S
        was_read = runs or (ended_late and not call.was_reset)
        if not was_read or call.ended_at >= call.sent_at + call.deadline_s:
            continue
        subjects = [call.vm, *(run.server for run in runs)]
        if ledger.is_fault_free(subjects, call.sent_at - FAULT_EFFECT_S, call.ended_at):
            yield f"{call.name} at {call.vm} was cut after {call.ended_at - call.sent_at:.2f} s"


@INVARIANTS.register("final answers")
def check_final_responses(ledger: Ledger) -> Iterator[str]:
    """A VM without faults responds to every request before the caller's deadline."""
    for call in ledger.calls.values():
        if call.status or call.abandoned or call.ended_at < call.sent_at + call.deadline_s:
            continue
        if ledger.is_fault_free([call.vm], call.sent_at - FAULT_EFFECT_S, call.ended_at):
            yield f"{call.name} at {call.vm} got no response in {call.deadline_s} s"


@INVARIANTS.register("abandoned requests")
def check_abandoned_requests(ledger: Ledger) -> Iterator[str]:
    """Servers stop running a request soon after its caller has closed the connection."""
    still_running = []
    for call, run in list_runs(ledger):
        if not call.abandoned or not call.idempotent:
            continue
        if ledger.is_fault_free(
            [call.vm, run.server], call.sent_at - FAULT_EFFECT_S, call.ended_at
        ):
            still_running.append(
                min(run.cancelled_at, run.ended_at) - call.ended_at > CANCELLATION_SLACK_S
            )
    if still_running and statistics.fmean(still_running) > MAX_ABANDONED_SHARE:
        yield f"{sum(still_running)} of {len(still_running)} abandoned requests kept running"


@INVARIANTS.register("processes")
def check_processes(ledger: Ledger) -> Iterator[str]:
    """No process exits unexpectedly, and a graceful stop ends within the grace period."""
    yield from ledger.unexpected_exits


@INVARIANTS.register("memory")
def check_memory(ledger: Ledger) -> Iterator[str]:
    """No process uses more memory than its VM has."""
    for vm, peak_mb in ledger.peak_memory_mb.items():
        if peak_mb > VM_MEMORY_MB:
            yield f"{vm} used {peak_mb:.0f} MB of {VM_MEMORY_MB}"

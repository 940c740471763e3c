"""The promises of the platform's rules, checked on what callers and backend servers saw."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
from typing import TYPE_CHECKING

from briarfork.registry import Registry
from tests.soak.faults import STORE
from tests.soak.world import APPLY_S
from tests.soak.world import DRAIN_S
from tests.soak.world import EVACUATE_S

if TYPE_CHECKING:
    from tests.soak.ledger import Call
    from tests.soak.ledger import Ledger
    from tests.soak.ledger import Run

Promise = Callable[["Ledger"], Iterator[str]]
PROMISES: Registry[Promise] = Registry("promise")
# Statuses that say that a request has not run and will not.
NOT_RUN_STATUSES = (408, 421, 429, 503)
MAX_ATTEMPTS = {"lookup": 3, "order": 2, "load": 2, "move": 2}
REPEAT_RATIO = 0.2
REPEAT_SLACK = 20
BUDGET_WINDOW_S = 10.0
DEADLINE_SLACK_S = 0.5
# A disruption counts for this time after its end.
STABLE_S = 4.0
# A VM learns of a change within this time, and the request is on its way for up to as long.
CLOSE_SLACK_S = 0.5
LAST_S = 60.0
# At most this part of the abandoned requests may still be worked on after the slack.
ABANDONED_SHARE = 0.25


def list_runs(ledger: Ledger) -> Iterator[tuple[Call, Run]]:
    for name, runs in ledger.runs.items():
        if name in ledger.calls:
            for run in runs:
                yield ledger.calls[name], run


@PROMISES.register("whole answers")
def check_answers(ledger: Ledger) -> Iterator[str]:
    """A success is the server's whole answer to this very request."""
    for call in ledger.calls.values():
        if call.fault:
            yield f"{call.name} at {call.vm}: {call.fault}"


@PROMISES.register("known requests")
def check_known(ledger: Ledger) -> Iterator[str]:
    """Servers run only what callers have sent."""
    yield from (f"{name} was sent by no caller" for name in ledger.runs if name not in ledger.calls)


@PROMISES.register("at most once")
def check_once(ledger: Ledger) -> Iterator[str]:
    for name, runs in ledger.runs.items():
        call = ledger.calls.get(name)
        if call is not None and not call.repeatable and len(runs) > 1:
            yield f"{name} at {call.vm} ran on {[run.server for run in runs]}"


@PROMISES.register("true refusals")
def check_refusals(ledger: Ledger) -> Iterator[str]:
    """A refused request that is not idempotent has not run."""
    for call in ledger.calls.values():
        if call.status in NOT_RUN_STATUSES and not call.repeatable and ledger.runs.get(call.name):
            yield f"{call.name} at {call.vm}: {call.status}, but it ran"


@PROMISES.register("attempts")
def check_attempts(ledger: Ledger) -> Iterator[str]:
    for name, runs in ledger.runs.items():
        call = ledger.calls.get(name)
        if call is None:
            continue
        lasting = {run.server for run in runs if run.server not in ledger.ended}
        if len(lasting) > MAX_ATTEMPTS[call.route]:
            yield f"{name} ran on {sorted(lasting)}"


@PROMISES.register("budget")
def check_budget(ledger: Ledger) -> Iterator[str]:
    """Second arrivals stay within a part of the requests in any window."""
    repeats: dict[str, list[float]] = defaultdict(list)
    for runs in ledger.runs.values():
        for run in runs[1:]:
            repeats[run.service].append(run.at)
    firsts: dict[str, list[float]] = defaultdict(list)
    for runs in ledger.runs.values():
        firsts[runs[0].service].append(runs[0].at)
    for service, times in repeats.items():
        for since in times:
            until = since + BUDGET_WINDOW_S
            count = sum(since <= at < until for at in times)
            requests = sum(since - BUDGET_WINDOW_S <= at < until for at in firsts[service]) / 2
            if count > REPEAT_RATIO * requests + REPEAT_SLACK:
                yield f"{service}: {count} repeats of {requests:.0f} requests in 10 s"
                break


@PROMISES.register("deadlines")
def check_deadlines(ledger: Ledger) -> Iterator[str]:
    """Servers are told no more time than their callers have left."""
    for call, run in list_runs(ledger):
        left_s = call.sent_at + call.deadline_s - run.at
        if run.deadline_s > left_s + DEADLINE_SLACK_S and ledger.is_calm(
            [call.vm, run.server], call.sent_at - STABLE_S, run.at
        ):
            yield f"{call.name}: {run.deadline_s:.2f} s of {left_s:.2f} s at {run.server}"


@PROMISES.register("drained servers")
def check_drained(ledger: Ledger) -> Iterator[str]:
    """A server that leaves gets nothing new after the time to drain."""
    for call, run in list_runs(ledger):
        since = ledger.drained.get(run.server)
        subjects = [call.vm, run.server, STORE]
        if since is None or run.at <= since + DRAIN_S:
            continue
        if ledger.is_calm(subjects, since - STABLE_S, run.at):
            yield f"{call.name} at {run.server} {run.at - since:.2f} s after it began to leave"


@PROMISES.register("evacuated zones")
def check_evacuated(ledger: Ledger) -> Iterator[str]:
    for call, run in list_runs(ledger):
        for span in ledger.evacuated.get(run.zone, []):
            late = span.started_at + EVACUATE_S < run.at < span.ended_at
            if late and ledger.is_calm([call.vm, STORE], span.started_at - STABLE_S, run.at):
                yield f"{call.name} at {run.server} in {run.zone}"


@PROMISES.register("configuration")
def check_configuration(ledger: Ledger) -> Iterator[str]:
    """A request is handled by the configuration in force once it has had time to spread."""
    for call, run in list_runs(ledger):
        if call.route != "move":
            continue
        older = [item for item in ledger.versions if item[0] + APPLY_S < call.sent_at]
        if not older:
            continue
        newer = [service for at, service in ledger.versions if older[-1][0] <= at <= run.at]
        calm = ledger.is_calm([call.vm, STORE], older[-1][0] - STABLE_S, run.at)
        if run.service not in newer and calm:
            yield f"{call.name} at {call.vm} ran on {run.service}, allowed are {newer}"


@PROMISES.register("no request lost")
def check_lost(ledger: Ledger) -> Iterator[str]:
    """A sound VM answers each request that it has read, also while it stops as planned."""
    for call in ledger.calls.values():
        if call.status or call.closed_by_caller or call.ended_at > call.sent_at + LAST_S:
            continue
        runs = ledger.runs.get(call.name, [])
        if not runs or call.ended_at >= call.sent_at + call.deadline_s:
            continue
        subjects = [call.vm, *(run.server for run in runs)]
        if ledger.is_calm(subjects, call.sent_at - STABLE_S, call.ended_at):
            yield f"{call.name} at {call.vm} was cut after {call.ended_at - call.sent_at:.2f} s"


@PROMISES.register("final answers")
def check_final(ledger: Ledger) -> Iterator[str]:
    """A sound VM gives an answer of some kind within the caller's time."""
    for call in ledger.calls.values():
        if call.status or call.closed_by_caller or call.ended_at < call.sent_at + call.deadline_s:
            continue
        if ledger.is_calm([call.vm], call.sent_at - STABLE_S, call.ended_at):
            yield f"{call.name} at {call.vm} got no answer in {call.deadline_s} s"


@PROMISES.register("abandoned requests")
def check_abandoned(ledger: Ledger) -> Iterator[str]:
    """Servers stop work soon after the caller has left."""
    late = []
    for call, run in list_runs(ledger):
        if not call.closed_by_caller or not call.repeatable:
            continue
        if ledger.is_calm([call.vm, run.server], call.sent_at - STABLE_S, call.ended_at):
            late.append(min(run.left_at, run.ended_at) - call.ended_at > CLOSE_SLACK_S)
    if late and statistics.fmean(late) > ABANDONED_SHARE:
        yield f"{sum(late)} of {len(late)} abandoned requests were worked on"


@PROMISES.register("processes")
def check_processes(ledger: Ledger) -> Iterator[str]:
    """No process ends by itself, and a planned stop takes no longer than its grace."""
    yield from ledger.unplanned_ends

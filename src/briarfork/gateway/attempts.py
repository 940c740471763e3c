"""Attempts to run a request: one at a time, or a second one in parallel if the first is slow."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Protocol

from briarfork.border.events import Event
from briarfork.errors import NotRun
from briarfork.pools import NO_REPORT
from briarfork.pools import Release
from briarfork.requests import AttemptResult
from briarfork.requests import HedgeBudget
from briarfork.requests.response_memory import SMALL_RESPONSE_BYTES

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.entry.overflow import Permit
    from briarfork.gateway.admission import Admission
    from briarfork.gateway.admission import Admitted
    from briarfork.gateway.metrics import GatewayMetrics
    from briarfork.gateway.permits import GatewayPermits
    from briarfork.gateway.request import Request
    from briarfork.gateway.request import Response
    from briarfork.pools import ServerAddress
    from briarfork.pools import ServerReport
    from briarfork.requests import Deadline
    from briarfork.requests import DropReason
    from briarfork.routing import Route

# A hedged attempt starts after this fraction of the latency objective and this multiple of the mean
# run time, whichever is later. Most requests that take longer lost their response or their server.
HEDGE_OBJECTIVE_FRACTION = 0.6
HEDGE_RUN_TIME_FACTOR = 2.0
# Turns of the event loop until the close of a connection, once it has arrived, has cancelled the
# request: one reads it, one ends the connection, and uvloop or asyncio may need one more.
CLOSE_TURNS = 3
# Attempts at one request that run in parallel.
MAX_PARALLEL_ATTEMPTS = 2


class AttemptError(Exception):
    """An attempt that did not return a complete response.

    Attributes:
        result: How far the attempt got.
        release: Outcome that is reported to the owner of the slot.
        report: What the server says about itself with its response, if there was one.
        dropped: Why its response was not kept, None if there was none or it was invalid.
    """

    def __init__(
        self,
        result: AttemptResult,
        release: Release,
        detail: str,
        report: ServerReport = NO_REPORT,
        dropped: DropReason | None = None,
    ) -> None:
        super().__init__(detail)
        self.result = result
        self.release = release
        self.report = report
        self.dropped = dropped


class Upstream(Protocol):
    """Sends requests to backend servers."""

    @property
    def held_bytes(self) -> int:
        """Memory that responses hold or have reserved."""

    async def send(
        self,
        request: Request,
        server: ServerAddress,
        deadline: Deadline,
        *,
        service: str,
        idempotent: bool,
        repeated: bool,
    ) -> Response:
        """Sends a request and returns the complete response.

        Args:
            request: The request.
            server: The backend server.
            deadline: Time by which the server has to respond.
            service: Service of the server, which shares the memory for responses with others.
            idempotent: Whether the request may run more than once.
            repeated: Whether an earlier attempt was sent to the same address, so that the
                connection must not be one that it used.

        Raises:
            AttemptError: If there is no complete response.
        """


@dataclass(slots=True)
class Progress:
    """The state of one request across its attempts.

    Attributes:
        started: Monotonic time at which the request arrived.
        tried_servers: Servers that the request was sent to.
        tried_addresses: Addresses and ports of these servers.
        sent_attempts: Number of attempts that ended after they had been sent to a server.
        unsent_attempts: Number of attempts that reached no server.
        unproven_attempts: Number of attempts that may have run: those in progress, and those that
            ended without proof that the server did not run the request.
        admitted: What the request was admitted as, None before the decision.
        error_response: The last response with a server error.
        responses: All responses so far.
        body_bytes: Length of the request body.
        body_wait_s: Time from the start of the request until its body was complete.
        zone: Availability zone of the last slot.
        slot_wait_s: Time from the start of the request until the last slot was granted.
        detail: Why no slot was granted.
    """

    route: Route
    service: str
    deadline: Deadline
    started: float
    tried_servers: set[str] = field(default_factory=set)
    tried_addresses: set[tuple[str, int]] = field(default_factory=set)
    sent_attempts: int = 0
    unsent_attempts: int = 0
    unproven_attempts: int = 0
    admitted: Admitted | None = None
    error_response: Response | None = None
    responses: list[Response] = field(default_factory=list)
    body_bytes: int = 0
    body_wait_s: float = 0.0
    zone: str = ""
    slot_wait_s: float = 0.0
    detail: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run the request."""
        return self.unproven_attempts > 0

    def admit(self, admitted: Admitted) -> None:
        """Records what the request was admitted as; its route may be a restricted one."""
        self.admitted = admitted
        self.route = admitted.route

    def refund_unused(self) -> None:
        """Gives the credit of the quota back if no server may have run the request."""
        if self.admitted is not None and not self.may_have_run:
            self.admitted.refund()

    def drop_large_error_response(self) -> None:
        """Frees the memory of an error response before a retry.

        Requests that hold a response and wait for memory for another one would wait for each other.
        """
        response = self.error_response
        if response is not None and sum(map(len, response.body)) > SMALL_RESPONSE_BYTES:
            self.error_response = None
            self.responses.remove(response)
            response.release()

    def release_responses(self, passed_on: Response | None) -> None:
        """Frees the memory of all responses but the one that is passed on to the caller."""
        for response in self.responses:
            if response is not passed_on:
                response.release()

    def record_end(self, result: AttemptResult) -> None:
        """Counts an attempt that has failed."""
        if result in (AttemptResult.NOT_SENT, AttemptResult.REFUSED):
            self.unproven_attempts -= 1
        if result is AttemptResult.NOT_SENT:
            self.unsent_attempts += 1
        else:
            self.sent_attempts += 1

    def record_attempt(self, server: ServerAddress) -> bool:
        """Records an attempt and returns whether an earlier one was sent to the same address."""
        self.unproven_attempts += 1
        address = (server.address, server.port)
        repeated = address in self.tried_addresses
        self.tried_servers.add(server.name)
        self.tried_addresses.add(address)
        return repeated


class AttemptRunner:
    """Sends requests under permits, releases the permits and records failed attempts."""

    def __init__(
        self,
        permits: GatewayPermits,
        upstream: Upstream,
        events: EventLog,
        metrics: GatewayMetrics,
        admission: Admission,
    ) -> None:
        self._admission = admission
        self._permits = permits
        self._upstream = upstream
        self._events = events
        self._metrics = metrics
        self._hedge_budgets: dict[str, HedgeBudget] = {}

    async def run(
        self, request: Request, progress: Progress, permit: Permit
    ) -> Response | AttemptError:
        """Sends a request, and sends an idempotent one to a second server if the first is slow.

        The first complete response wins; the other attempt is cancelled at its server.
        """
        budget = self._hedge_budgets.setdefault(progress.service, HedgeBudget())
        budget.earn()
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(self._send(request, progress, permit))]
            if not await self._ends_before_hedge(tasks[0], progress) and budget.spend():
                second = await self._permits.acquire_hedge(progress.route, permit)
                if second is not None:
                    await confirm_permit(self._permits, second)
                if second is None or tasks[0].done() or not self._may_hedge(request, progress):
                    budget.return_unused()
                    if second is not None:
                        self._permits.release(second, Release.UNUSED, 0.0)
                else:
                    tasks.append(group.create_task(self._send(request, progress, second)))
            outcome = await _wait_for_response(tasks)
            for task in tasks:
                task.cancel()
        return outcome

    def _may_hedge(self, request: Request, progress: Progress) -> bool:
        """Returns whether the key of a request is still valid; the first attempt goes on anyway."""
        try:
            if progress.admitted is not None:
                self._admission.confirm(request, progress.admitted)
        except NotRun:
            return False
        return True

    async def _ends_before_hedge(
        self, task: asyncio.Task[Response | AttemptError], progress: Progress
    ) -> bool:
        """Returns whether the attempt ends before a hedged attempt is due, or none is allowed."""
        route = progress.route
        if (
            not route.kind.is_idempotent
            or progress.sent_attempts + MAX_PARALLEL_ATTEMPTS > route.max_attempts
        ):
            return True
        run_s = HEDGE_RUN_TIME_FACTOR * self._permits.mean_run_times_s.get(progress.service, 0.0)
        wait_s = max(HEDGE_OBJECTIVE_FRACTION * route.objective_s, run_s)
        done, _ = await asyncio.wait({task}, timeout=wait_s)
        return bool(done)

    async def _send(
        self, request: Request, progress: Progress, permit: Permit
    ) -> Response | AttemptError:
        """Sends a request once and releases its permit."""
        started = time.monotonic()
        repeated = progress.record_attempt(permit.server)
        progress.zone = permit.site
        progress.slot_wait_s = started - progress.started
        release, report = Release.CANCELLED, NO_REPORT
        try:
            response = await self._upstream.send(
                request,
                permit.server,
                progress.deadline,
                service=progress.service,
                idempotent=progress.route.kind.is_idempotent,
                repeated=repeated,
            )
            progress.responses.append(response)
            release, report = Release.DONE, response.report
            self._permits.record_load(
                permit, progress.service, report.waiting > 0, report.utilization
            )
            if not response.is_server_error:
                return response
            release = Release.FAILED
            progress.error_response = response
            failure = AttemptError(AttemptResult.SENT_WITHOUT_ANSWER, release, f"{response.status}")
        except AttemptError as error:
            release, report = error.release, error.report
            self._permits.record_load(permit, progress.service, release is not Release.UNUSED)
            # The traceback would keep this frame, which refers to the error, as garbage.
            failure = error.with_traceback(None)
        finally:
            self._permits.release(permit, release, time.monotonic() - started, report)
        progress.record_end(failure.result)
        self._record_failure(request, progress, permit, failure)
        return failure

    def _record_failure(
        self, request: Request, progress: Progress, permit: Permit, failure: AttemptError
    ) -> None:
        self._metrics.count_failed_attempt(progress.service, failure.result.value)
        if failure.dropped is not None:
            self._metrics.count_dropped_response(progress.service, failure.dropped.value)
            self._events.record(
                Event.RESPONSE_DROPPED,
                request=request.request_id,
                service=progress.service,
                server=permit.server.name,
                reason=failure.dropped.value,
                held_bytes=self._upstream.held_bytes,
            )
        self._events.record(
            Event.ATTEMPT_FAILED,
            request=request.request_id,
            service=progress.service,
            server=permit.server.name,
            zone=permit.site,
            result=failure.result.value,
            reason=str(failure),
        )


async def confirm_permit(permits: GatewayPermits, permit: Permit) -> None:
    """Lets the close of the caller's connection, if it has arrived, cancel the request.

    A busy event loop grants permits before it reads closes that arrived earlier. A request whose
    caller has left must not be sent; its permit is released.
    """
    try:
        for _ in range(CLOSE_TURNS):
            await asyncio.sleep(0)
    except asyncio.CancelledError:
        permits.release(permit, Release.UNUSED, 0.0)
        raise


async def _wait_for_response(
    tasks: list[asyncio.Task[Response | AttemptError]],
) -> Response | AttemptError:
    """Returns the first response, or a failure if there is none.

    The failure of an attempt that may have run takes precedence over one that did not run.
    """
    pending = set(tasks)
    failures: list[AttemptError] = []
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            outcome = task.result()
            if not isinstance(outcome, AttemptError):
                return outcome
            failures.append(outcome)
    unanswered = [
        outcome for outcome in failures if outcome.result is AttemptResult.SENT_WITHOUT_ANSWER
    ]
    return (unanswered or failures)[0]

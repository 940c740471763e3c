"""Tests of retries, hedging and error results of the dispatcher."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import TYPE_CHECKING

import pytest

from briarfork.border.events import EventLog
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.errors import OutcomeUnknown
from briarfork.gateway.dispatch import Dispatcher
from briarfork.gateway.process import Gateway
from briarfork.gateway.request import Request
from briarfork.gateway.request import Response
from briarfork.gateway.view import GatewayView
from briarfork.pools import Release
from briarfork.requests.budget import HEDGE_RATIO
from briarfork.routing import RequestKind
from tests.gateway.harness import LOCATION
from tests.gateway.harness import REFUSED
from tests.gateway.harness import RESPONSE
from tests.gateway.harness import RETRY_LIMITS
from tests.gateway.harness import SETTINGS
from tests.gateway.harness import UNANSWERED
from tests.gateway.harness import UNRESPONSIVE
from tests.gateway.harness import UNSENT
from tests.gateway.harness import DispatchHarness
from tests.gateway.harness import ScriptedPermits
from tests.gateway.harness import ScriptedUpstream
from tests.gateway.harness import build_gateway

if TYPE_CHECKING:
    from briarfork.entry.overflow import Permit
    from briarfork.errors import BriarforkError
    from briarfork.gateway.attempts import AttemptError
    from briarfork.gateway.permits import SlotRequirements

CALLER_TIMEOUT_S = 0.2
NON_IDEMPOTENT = RequestKind.NON_IDEMPOTENT


class SlowPermits(ScriptedPermits):
    """Grants permits after a time in which the event loop does not run."""

    async def acquire(self, request: SlotRequirements) -> Permit:
        time.sleep(CALLER_TIMEOUT_S)  # noqa: ASYNC251
        return await super().acquire(request)


class TestDispatcher:
    async def test_request_whose_deadline_passed_during_a_delay_is_not_sent(self) -> None:
        """Guards against work for a caller that has given up while the event loop was late."""
        harness = DispatchHarness(RESPONSE)
        gateway = build_gateway()
        permits = SlowPermits(gateway, "i-0")
        dispatcher = Dispatcher(gateway.view, permits, harness.upstream, EventLog("test"))
        request = Request("r1", "h", "GET", "/a/x", (), (), "", CALLER_TIMEOUT_S)
        with pytest.raises(NotRun):
            await dispatcher.handle(request)
        assert harness.upstream.sent == []
        assert permits.released == [Release.UNUSED]

    async def test_unanswered_non_idempotent_request_is_not_retried(self) -> None:
        """Guards against a non-idempotent request that runs twice or is reported as not run."""
        harness = DispatchHarness(UNANSWERED, RESPONSE, kind=NON_IDEMPOTENT)
        with pytest.raises(OutcomeUnknown):
            await harness.send()
        assert harness.upstream.sent == ["i-0"]

    async def test_refused_request_is_retried_at_another_server(self) -> None:
        """Guards against failing a refused request although another server has a free slot."""
        harness = DispatchHarness(REFUSED, RESPONSE, kind=NON_IDEMPOTENT)
        assert await harness.send() == RESPONSE
        assert harness.permits.released == [Release.NOT_RUN, Release.DONE]

    async def test_attempts_are_limited_by_the_route(self) -> None:
        """Guards against sending a request to more servers than its route allows."""
        harness = DispatchHarness(UNANSWERED, UNANSWERED, RESPONSE)
        with pytest.raises(OutcomeUnknown):
            await harness.send()
        assert len(harness.upstream.sent) == 2

    async def test_unsent_attempts_do_not_count_as_retries(self) -> None:
        """Guards against a refused connection that uses up the attempts of a request."""
        harness = DispatchHarness(UNSENT, UNSENT, RESPONSE, kind=NON_IDEMPOTENT)
        assert await harness.send() == RESPONSE

    async def test_attempts_at_one_server_are_limited_by_the_route(self) -> None:
        """Guards against sending a refused request to the only server again and again."""
        harness = DispatchHarness(REFUSED, REFUSED, RESPONSE, kind=NON_IDEMPOTENT)
        harness.permits.servers = ["i-0"] * 3
        with pytest.raises(NotRun):
            await harness.send()
        assert harness.upstream.sent == ["i-0"] * 2

    async def test_unreachable_server_does_not_allow_more_servers(self) -> None:
        """Guards against more servers than the route allows after several failures to connect."""
        harness = DispatchHarness(UNSENT, UNSENT, REFUSED, REFUSED, RESPONSE, kind=NON_IDEMPOTENT)
        harness.permits.servers = ["i-0", "i-0", "i-1", "i-2", "i-3"]
        with pytest.raises(NotRun):
            await harness.send()
        assert harness.upstream.sent[2:] == ["i-1", "i-2"]

    async def test_request_that_may_have_run_is_not_reported_as_not_run(self) -> None:
        """Guards against reporting a request as not run after an attempt without a response."""
        harness = DispatchHarness(UNANSWERED, slots=1)
        with pytest.raises(OutcomeUnknown):
            await harness.send()

    @pytest.mark.parametrize(
        ("outcomes", "error"),
        [
            ([], NotRun),
            ([REFUSED], NotRun),
            ([UNSENT], NotRun),
            ([UNRESPONSIVE], OutcomeUnknown),
            ([UNANSWERED], OutcomeUnknown),
            ([UNANSWERED, REFUSED], OutcomeUnknown),
        ],
    )
    async def test_request_that_is_broken_off_is_reported_as_not_run_only_with_proof(
        self, outcomes: list[Response | AttemptError], error: type[BriarforkError]
    ) -> None:
        """Guards against a stop that reports a request as not run although it may have run."""
        harness = DispatchHarness(*outcomes, slots=len(outcomes))
        harness.permits.waits = True
        request = asyncio.create_task(harness.send())
        await asyncio.sleep(0.05)
        harness.dispatcher.break_off()
        with pytest.raises(error):
            await request
        # A request that is read later reaches no server.
        with pytest.raises(NotRun):
            await harness.send()

    async def test_server_error_is_returned_if_no_retry_succeeds(self) -> None:
        """Guards against replacing the server's error response with one of the gateway."""
        error_response = Response(500, (), (b"fault",))
        harness = DispatchHarness(error_response, slots=1)
        assert await harness.send() == error_response

    async def test_only_the_returned_response_keeps_its_memory(self) -> None:
        """Guards against memory that is lost with each response that is not passed on."""
        released: list[int] = []
        responses = [
            Response(status, (), (b"x",), release=partial(released.append, status))
            for status in (500, 200)
        ]
        harness = DispatchHarness(*responses)
        assert await harness.send() == responses[1]
        assert released == [500]

    async def test_retries_are_limited_by_the_budget(self) -> None:
        """Guards against retry storms: servers refuse every request, and retries stay in budget."""
        harness = DispatchHarness(*[REFUSED] * 200, slots=200)
        for _ in range(100):
            with pytest.raises(NotRun):
                await harness.send()
        ratio, reserve = RETRY_LIMITS.ratio_per_vm, RETRY_LIMITS.compute_reserve(1)
        assert len(harness.upstream.sent) <= 100 * (1 + ratio) + reserve
        assert ratio + HEDGE_RATIO < RETRY_LIMITS.ratio

    async def test_idempotent_request_is_hedged_if_the_server_is_silent(self) -> None:
        """Guards against waiting for a lost response, and against a first attempt that runs on."""
        harness = DispatchHarness(*[RESPONSE] * 25, UNRESPONSIVE, RESPONSE, slots=40)
        for _ in range(25):
            await harness.send()
        assert await harness.send() == RESPONSE
        assert harness.upstream.sent[-2:] == ["i-25", "i-26"]
        assert harness.upstream.cancelled == ["i-25"]
        assert harness.permits.released[-2:] == [Release.DONE, Release.CANCELLED]

    async def test_non_idempotent_request_is_not_hedged(self) -> None:
        """Guards against running a non-idempotent request twice because its response is slow."""
        harness = DispatchHarness(
            *[RESPONSE] * 25, UNRESPONSIVE, RESPONSE, kind=NON_IDEMPOTENT, slots=40
        )
        for _ in range(25):
            await harness.send()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.6):
                await harness.send()
        assert harness.upstream.sent[-1] == "i-25"

    async def test_request_without_enough_time_is_refused_at_once(self) -> None:
        """Guards against holding a request that cannot be served before its deadline."""
        harness = DispatchHarness(RESPONSE)
        with pytest.raises(NotRun):
            await harness.send(timeout_s=0.02)
        assert harness.upstream.sent == []

    async def test_unknown_path_is_not_reported_as_overload(self) -> None:
        """Guards against callers that retry a request that no route matches."""
        with pytest.raises(NotRun) as caught:
            await DispatchHarness().send("/b/x")
        assert caught.value.kind is ErrorKind.UNKNOWN_PATH

    async def test_vm_without_configuration_refuses(self) -> None:
        """Guards against reporting an unknown path before any route is loaded."""
        gateway = Gateway(
            GatewayView(SETTINGS, LOCATION, RETRY_LIMITS, EventLog("test")), EventLog("test")
        )
        dispatcher = Dispatcher(
            gateway.view, ScriptedPermits(gateway), ScriptedUpstream(), EventLog("test")
        )
        harness = DispatchHarness()
        harness.dispatcher = dispatcher
        with pytest.raises(NotRun) as caught:
            await harness.send()
        assert caught.value.kind is ErrorKind.NO_CONFIGURATION


class TestStoppingVm:
    @pytest.mark.parametrize("kind", RequestKind)
    async def test_request_that_would_be_broken_off_is_refused(self, kind: RequestKind) -> None:
        """Guards against a planned stop that ends requests which came late in its grace period."""
        harness = DispatchHarness(RESPONSE, kind=kind)
        harness.permits.mean_run_times_s["s"] = 1.0
        harness.view.stops_at = time.monotonic() + 1.0
        with pytest.raises(NotRun):
            await harness.send()
        assert harness.upstream.sent == []

    async def test_request_that_ends_before_the_stop_is_served(self) -> None:
        """Guards against refusing all requests from the start of a planned stop."""
        harness = DispatchHarness(RESPONSE)
        harness.permits.mean_run_times_s["s"] = 1.0
        harness.view.stops_at = time.monotonic() + 2.0
        assert await harness.send() == RESPONSE

"""What follows from the end of an attempt."""

from __future__ import annotations

import asyncio

import pytest

from briarfork.border.events import EventLog
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.errors import OutcomeUnknown
from briarfork.gateway.dispatch import Dispatcher
from briarfork.gateway.process import Gateway
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

NON_IDEMPOTENT = RequestKind.NON_IDEMPOTENT


class TestDispatcher:
    async def test_unanswered_request_that_must_run_once_is_not_repeated(self) -> None:
        """Guards against an order that runs twice, and against calling it not run."""
        harness = DispatchHarness(UNANSWERED, RESPONSE, kind=NON_IDEMPOTENT)
        with pytest.raises(OutcomeUnknown):
            await harness.send()
        assert harness.upstream.sent == ["i-0"]

    async def test_refused_request_is_tried_at_another_server(self) -> None:
        """Guards against a refusal that ends a request although another server has room."""
        harness = DispatchHarness(REFUSED, RESPONSE, kind=NON_IDEMPOTENT)
        assert await harness.send() == RESPONSE
        assert harness.permits.released == [Release.NOT_RUN, Release.DONE]

    async def test_attempts_stay_within_the_route(self) -> None:
        """Guards against a request that runs on more servers than its route allows."""
        harness = DispatchHarness(UNANSWERED, UNANSWERED, RESPONSE)
        with pytest.raises(OutcomeUnknown):
            await harness.send()
        assert len(harness.upstream.sent) == 2

    async def test_unsent_attempts_are_no_repeats(self) -> None:
        """Guards against a refused connection that uses up the attempts of a request."""
        harness = DispatchHarness(UNSENT, UNSENT, RESPONSE, kind=NON_IDEMPOTENT)
        assert await harness.send() == RESPONSE

    async def test_request_that_may_have_run_is_not_called_refused(self) -> None:
        """Guards against a false promise after an unanswered attempt and no further slot."""
        harness = DispatchHarness(UNANSWERED, slots=1)
        with pytest.raises(OutcomeUnknown):
            await harness.send()

    async def test_fault_of_a_server_is_passed_on_if_nothing_better_comes(self) -> None:
        """Guards against replacing the server's own answer by one of ours."""
        error_response = Response(500, (), b"fault")
        harness = DispatchHarness(error_response, slots=1)
        assert await harness.send() == error_response

    async def test_repeats_are_bounded_by_the_budget(self) -> None:
        """Replays servers that shed everything: repeats stay within their part of the bounds."""
        harness = DispatchHarness(*[REFUSED] * 200, slots=200)
        for _ in range(100):
            with pytest.raises(NotRun):
                await harness.send()
        ratio, reserve = RETRY_LIMITS.ratio_per_vm, RETRY_LIMITS.compute_reserve(1)
        assert len(harness.upstream.sent) <= 100 * (1 + ratio) + reserve
        assert ratio + HEDGE_RATIO < RETRY_LIMITS.ratio

    async def test_silent_server_does_not_hold_an_idempotent_request(self) -> None:
        """Replays lost answers: a second server is asked, and the first attempt is cancelled."""
        harness = DispatchHarness(*[RESPONSE] * 25, UNRESPONSIVE, RESPONSE, slots=40)
        for _ in range(25):
            await harness.send()
        assert await harness.send() == RESPONSE
        assert harness.upstream.sent[-2:] == ["i-25", "i-26"]
        assert harness.upstream.cancelled == ["i-25"]
        assert harness.permits.released[-2:] == [Release.DONE, Release.CANCELLED]

    async def test_silent_server_holds_a_request_that_must_run_once(self) -> None:
        """Guards against a second run of an order whose answer is slow."""
        harness = DispatchHarness(
            *[RESPONSE] * 25, UNRESPONSIVE, RESPONSE, kind=NON_IDEMPOTENT, slots=40
        )
        for _ in range(25):
            await harness.send()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.6):
                await harness.send()
        assert harness.upstream.sent[-1] == "i-25"

    async def test_request_without_time_is_refused_at_once(self) -> None:
        """Guards against a request that is held although it cannot be served."""
        harness = DispatchHarness(RESPONSE)
        with pytest.raises(NotRun):
            await harness.send(wait_s=0.02)
        assert harness.upstream.sent == []

    async def test_unknown_path_is_no_overload(self) -> None:
        """Guards against callers that try again what no route allows."""
        with pytest.raises(NotRun) as caught:
            await DispatchHarness().send("/b/x")
        assert caught.value.kind is ErrorKind.UNKNOWN_PATH

    async def test_vm_without_configuration_refuses(self) -> None:
        """Guards against answering that a path is unknown before any route is known."""
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

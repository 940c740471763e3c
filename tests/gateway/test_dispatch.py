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
from briarfork.gateway.request import Reply
from briarfork.gateway.view import GatewayView
from briarfork.pools import Release
from briarfork.requests.budget import HEDGE_RATIO
from briarfork.routing import RequestKind
from tests.gateway.scene import PLACE
from tests.gateway.scene import REFUSED
from tests.gateway.scene import REPEAT_BOUNDS
from tests.gateway.scene import REPLY
from tests.gateway.scene import SETTINGS
from tests.gateway.scene import SILENT
from tests.gateway.scene import UNANSWERED
from tests.gateway.scene import UNSENT
from tests.gateway.scene import Scene
from tests.gateway.scene import ScriptedPermits
from tests.gateway.scene import ScriptedUpstream

UNIQUE = RequestKind.NON_IDEMPOTENT


class TestDispatcher:
    async def test_unanswered_request_that_must_run_once_is_not_repeated(self) -> None:
        """Guards against an order that runs twice, and against calling it not run."""
        scene = Scene(UNANSWERED, REPLY, kind=UNIQUE)
        with pytest.raises(OutcomeUnknown):
            await scene.send()
        assert scene.upstream.sent == ["i-0"]

    async def test_refused_request_is_tried_at_another_server(self) -> None:
        """Guards against a refusal that ends a request although another server has room."""
        scene = Scene(REFUSED, REPLY, kind=UNIQUE)
        assert await scene.send() == REPLY
        assert scene.permits.released == [Release.NOT_RUN, Release.DONE]

    async def test_attempts_stay_within_the_route(self) -> None:
        """Guards against a request that runs on more servers than its route allows."""
        scene = Scene(UNANSWERED, UNANSWERED, REPLY)
        with pytest.raises(OutcomeUnknown):
            await scene.send()
        assert len(scene.upstream.sent) == 2

    async def test_unsent_attempts_are_no_repeats(self) -> None:
        """Guards against a refused connection that uses up the attempts of a request."""
        scene = Scene(UNSENT, UNSENT, REPLY, kind=UNIQUE)
        assert await scene.send() == REPLY

    async def test_request_that_may_have_run_is_not_called_refused(self) -> None:
        """Guards against a false promise after an unanswered attempt and no further slot."""
        scene = Scene(UNANSWERED, slots=1)
        with pytest.raises(OutcomeUnknown):
            await scene.send()

    async def test_fault_of_a_server_is_passed_on_if_nothing_better_comes(self) -> None:
        """Guards against replacing the server's own answer by one of ours."""
        fault = Reply(500, (), b"fault")
        scene = Scene(fault, slots=1)
        assert await scene.send() == fault

    async def test_repeats_are_bounded_by_the_budget(self) -> None:
        """Replays servers that shed everything: repeats stay within their part of the bounds."""
        scene = Scene(*[REFUSED] * 200, slots=200)
        for _ in range(100):
            with pytest.raises(NotRun):
                await scene.send()
        ratio, reserve = REPEAT_BOUNDS.ratio_per_vm, REPEAT_BOUNDS.find_reserve(1)
        assert len(scene.upstream.sent) <= 100 * (1 + ratio) + reserve
        assert ratio + HEDGE_RATIO < REPEAT_BOUNDS.ratio

    async def test_silent_server_does_not_hold_an_idempotent_request(self) -> None:
        """Replays lost answers: a second server is asked, and the first attempt is cancelled."""
        scene = Scene(*[REPLY] * 25, SILENT, REPLY, slots=40)
        for _ in range(25):
            await scene.send()
        assert await scene.send() == REPLY
        assert scene.upstream.sent[-2:] == ["i-25", "i-26"]
        assert scene.upstream.cancelled == ["i-25"]
        assert scene.permits.released[-2:] == [Release.DONE, Release.CANCELLED]

    async def test_silent_server_holds_a_request_that_must_run_once(self) -> None:
        """Guards against a second run of an order whose answer is slow."""
        scene = Scene(*[REPLY] * 25, SILENT, REPLY, kind=UNIQUE, slots=40)
        for _ in range(25):
            await scene.send()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.6):
                await scene.send()
        assert scene.upstream.sent[-1] == "i-25"

    async def test_request_without_time_is_refused_at_once(self) -> None:
        """Guards against a request that is held although it cannot be served."""
        scene = Scene(REPLY)
        with pytest.raises(NotRun):
            await scene.send(wait_s=0.02)
        assert scene.upstream.sent == []

    async def test_unknown_path_is_no_overload(self) -> None:
        """Guards against callers that try again what no route allows."""
        with pytest.raises(NotRun) as caught:
            await Scene().send("/b/x")
        assert caught.value.kind is ErrorKind.UNKNOWN_PATH

    async def test_vm_without_configuration_refuses(self) -> None:
        """Guards against answering that a path is unknown before any route is known."""
        gateway = Gateway(
            GatewayView(SETTINGS, PLACE, REPEAT_BOUNDS, EventLog("test")), EventLog("test")
        )
        dispatcher = Dispatcher(
            gateway.view, ScriptedPermits(gateway), ScriptedUpstream(), EventLog("test")
        )
        scene = Scene()
        scene.dispatcher = dispatcher
        with pytest.raises(NotRun) as caught:
            await scene.send()
        assert caught.value.kind is ErrorKind.NO_CONFIGURATION

"""Tests of the error handling of the HTTP server connections."""

from __future__ import annotations

import asyncio

import aiohttp
import logbook
from aiohttp import web

from briarfork.border.events import EventLog
from briarfork.gateway.dispatch import Dispatcher
from briarfork.platform import names
from briarfork.platform.callers import CallerConnection
from briarfork.platform.pipelines import CallerPipelines
from tests.gateway.harness import ScriptedUpstream
from tests.gateway.harness import build_gateway

ADDRESS = "127.62.9.8"


async def fail(request: web.BaseRequest) -> web.StreamResponse:
    raise ZeroDivisionError("division by zero")


class TestInternalErrors:
    async def test_log_names_the_request_and_the_place_of_an_internal_error(self) -> None:
        """Guards against internal errors that cannot be traced from the log."""
        gateway = build_gateway()
        gateway.events = EventLog("test")
        manager = web.Server(fail)
        pipelines = CallerPipelines(
            gateway, Dispatcher(gateway.view, gateway.permits, ScriptedUpstream(), gateway.events)
        )
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(gateway, manager, pipelines), ADDRESS, 0
        )
        url = f"http://{ADDRESS}:{server.sockets[0].getsockname()[1]}/a/x"
        handler = logbook.TestHandler()
        with handler.applicationbound():
            async with (
                aiohttp.ClientSession() as session,
                session.get(url, headers={names.ATTEMPT_ID: "r1"}) as response,
            ):
                assert response.status == 500
        server.close()
        (record,) = [item for item in handler.records if item.extra["name"] == "task_failed"]
        assert record.extra["request"] == "r1"
        assert record.extra["path"] == "/a/x"
        assert record.extra["place"].startswith("test_http_server.py:")
        assert record.extra["place"].endswith(" fail")

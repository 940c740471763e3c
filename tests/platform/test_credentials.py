"""Keys and names of workspaces in the headers of requests."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from aiohttp.test_utils import make_mocked_request
from multidict import CIMultiDict

from briarfork.border.events import Event
from briarfork.border.events import EventLog
from briarfork.gateway.dispatch import Dispatcher
from briarfork.platform import names
from briarfork.platform.callers import CallerRequestHandler
from briarfork.platform.upstream import _build_headers
from briarfork.pools import ServerAddress
from briarfork.requests import Deadline
from briarfork.workspaces import WorkspaceDirectory
from tests.gateway.harness import ScriptedPermits
from tests.gateway.harness import ScriptedUpstream
from tests.gateway.harness import build_gateway
from tests.platform.test_configuration_record import decode_workspaces

if TYPE_CHECKING:
    from briarfork.gateway.request import Request

SERVER = ServerAddress("i-1", "127.0.0.1", 80)


def read_head(*headers: tuple[str, str]) -> Request:
    message = make_mocked_request("GET", "/a/x", headers=CIMultiDict([("Host", "h"), *headers]))
    handler = CallerRequestHandler(build_gateway(), None)  # type: ignore[arg-type]
    return handler._read_head(message, "r1")


class TestHeaders:
    def test_neither_the_key_nor_a_given_name_is_passed_on(self) -> None:
        """Guards against callers that name a workspace, and servers that see a key."""
        request = read_head(
            (names.CREDENTIAL, "k-1"), ("x-briarfork-tenant", "a"), ("X-BRIARFORK-TENANT", "b")
        )
        assert request.credential == "k-1"
        assert "k-1" not in repr(request)
        sent = _build_headers(request, SERVER, Deadline(time.monotonic() + 1.0))
        lowered = {name.lower() for name, _ in sent}
        assert not lowered & {names.CREDENTIAL.lower(), names.WORKSPACE.lower()}

    @pytest.mark.parametrize(
        "headers",
        [
            [],
            [(names.CREDENTIAL, "")],
            [(names.CREDENTIAL, "k-1"), (names.CREDENTIAL.lower(), "k-1")],
            [(names.CREDENTIAL, "k-1\x01")],
            [(names.CREDENTIAL, "k-1\x85")],
        ],
    )
    def test_key_that_is_not_given_exactly_once_is_none(
        self, headers: list[tuple[str, str]]
    ) -> None:
        """Guards against a choice between two keys."""
        assert read_head(*headers).credential == ""

    @pytest.mark.parametrize("key", ["k 1", "schl\u00fcssel", "k\u00a01"])
    def test_every_key_of_a_valid_configuration_is_read(self, key: str) -> None:
        """Guards against a key that a configuration may contain and that no caller can use."""
        decode_workspaces(["acme", [key], 0, 1, 1, []])
        assert read_head((names.CREDENTIAL, key)).credential == key

    def test_name_of_the_workspace_is_sent_once(self) -> None:
        """Guards against a server that does not learn the workspace, or reads a given name."""
        request = replace(read_head(("x-briarfork-tenant", "a")), workspace="acme")
        sent = _build_headers(request, SERVER, Deadline(time.monotonic() + 1.0))
        assert [value for name, value in sent if name.lower() == names.WORKSPACE.lower()] == [
            "acme"
        ]


class TestStaleConfiguration:
    async def test_refusal_is_logged_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against two lines for a request that is refused because keys may be revoked."""
        logged: list[Event] = []
        monkeypatch.setattr(EventLog, "record", lambda _, event, **fields: logged.append(event))
        gateway = build_gateway()
        gateway.view.max_configuration_age_s = 4.0
        gateway.view.require_route_table().workspaces = WorkspaceDirectory({})
        dispatcher = Dispatcher(
            gateway.view, ScriptedPermits(gateway), ScriptedUpstream(), EventLog("test")
        )
        message = make_mocked_request("GET", "/a/x", headers=CIMultiDict([("Host", "h")]))
        response = await CallerRequestHandler(gateway, dispatcher).handle(message)
        assert (response.status, "Retry-After" in response.headers) == (503, True)
        assert logged.count(Event.REQUEST_FAILED) == 1

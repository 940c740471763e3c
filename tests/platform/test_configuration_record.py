"""Tests of decoding the configuration."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from briarfork.gateway.metrics import GatewayMetrics
from briarfork.platform.configuration_record import decode_configuration
from briarfork.platform.records import InvalidRecord
from briarfork.routing import RequestKind
from briarfork.routing import RouteTable
from briarfork.workspaces import Workspace

ROUTE = ["r", "h", "/a/", "idempotent", "1500ms", "400ms", 2, "s", 2, True, ["north"], None]
COLUMNS = [
    "name",
    "host",
    "prefix",
    "kind",
    "timeout",
    "slo",
    "priority",
    "service",
    "max_attempts",
    "sticky_sessions",
    "allowed_regions",
    "traffic_split",
]


def build_configuration(**changes: Any) -> dict[str, Any]:
    row = [changes.get(name, value) for name, value in zip(COLUMNS, ROUTE, strict=True)]
    return {
        "version": 7,
        "routes": {"columns": COLUMNS, "rows": [row]},
        "services": {"columns": ["name", "cold_start", "cold_per_s"], "rows": [["s", "3s", 4.0]]},
        "limits": {"max_header_bytes": 100, "idle_timeout": "15000ms"},
    }


class TestConfiguration:
    def test_every_field_reaches_the_route(self) -> None:
        """Guards against reading a column as another one."""
        table = decode_configuration(json.dumps(build_configuration()).encode())
        route = table.find("h", "/a/b")
        assert route is not None
        assert (route.kind, route.timeout_s, route.objective_s) == (
            RequestKind.IDEMPOTENT,
            1.5,
            0.4,
        )
        assert (route.priority, route.max_attempts, route.sticky) == (2, 2, True)
        assert route.allows_region("north")
        assert not route.allows_region("south")
        assert (table.version, table.limits.header_bytes, table.limits.idle_s) == (7, 100, 15.0)
        assert table.services["s"].cold_per_s == 4.0

    def test_upload_route_is_in_force_and_not_idempotent(self) -> None:
        """Guards against ignoring a configuration, or an upload that runs twice."""
        table = decode_configuration(json.dumps(build_configuration(kind="upload")).encode())
        route = table.find("h", "/a/b")
        assert route is not None
        assert not route.kind.is_idempotent

    @pytest.mark.parametrize(
        "changes",
        [
            {"service": "unknown"},
            {"kind": "odd"},
            {"host": None},
            {"prefix": "/a"},
            {"timeout": "soon"},
            {"timeout": "9" * 400 + "s"},
            {"priority": 2**64},
            {"service": None},
            {"max_attempts": 0},
        ],
    )
    def test_invalid_configuration_is_rejected_as_a_whole(self, changes: dict[str, Any]) -> None:
        """Guards against applying a part of a configuration."""
        with pytest.raises(InvalidRecord):
            decode_configuration(json.dumps(build_configuration(**changes)).encode())

    @pytest.mark.parametrize("version", [0, 2**63, 10**309])
    def test_version_out_of_range_is_rejected(self, version: int) -> None:
        """Guards against a version that no later one exceeds, or that metrics cannot show."""
        with pytest.raises(InvalidRecord):
            decode_configuration(json.dumps(build_configuration() | {"version": version}).encode())

    def test_largest_version_is_shown_in_the_metrics(self) -> None:
        """Guards against a metrics address that fails because of a version."""
        body = build_configuration() | {"version": 2**63 - 1}
        metrics = GatewayMetrics()
        metrics.set_version(decode_configuration(json.dumps(body).encode()).version)
        assert b"briarfork_configuration_version 9.22" in metrics.render()

    def test_two_routes_with_the_same_prefix_are_rejected(self) -> None:
        """Guards against a route that depends on the order of rows."""
        body = build_configuration()
        body["routes"]["rows"] *= 2
        with pytest.raises(InvalidRecord):
            decode_configuration(json.dumps(body).encode())

    def test_truncated_record_is_rejected(self) -> None:
        """Guards against an undecodable value that stops the watcher."""
        encoded = json.dumps(build_configuration()).encode()
        for size in (0, 1, len(encoded) // 2, len(encoded) - 1):
            with pytest.raises(InvalidRecord):
                decode_configuration(encoded[:size])


WORKSPACE_COLUMNS = ["name", "api_keys", "priority", "rate_per_s", "burst", "allowed_regions"]


def decode_workspaces(*rows: list[Any], columns: list[str] = WORKSPACE_COLUMNS) -> RouteTable:
    body = build_configuration() | {"tenants": {"columns": columns, "rows": list(rows)}}
    return decode_configuration(json.dumps(body).encode())


class TestWorkspaces:
    def test_every_field_reaches_the_workspace(self) -> None:
        """Guards against reading a column as another one, and null as a value."""
        table = decode_workspaces(
            ["acme", ["k-1", "k-2"], 0, 238, 100, ["north"]],
            ["umbra", ["k-3"], None, None, None, None],
        )
        assert table.workspaces is not None
        acme = Workspace("acme", 238.0, 100.0, 0, frozenset({"north"}))
        assert table.workspaces.find("k-2") == acme
        assert table.workspaces.find("k-3") == Workspace("umbra")
        assert table.workspaces.find("k-4") is None

    @pytest.mark.parametrize(
        ("row", "place"),
        [
            (["acme", ["k-9"], 0, 1, 1, []], "row 2 ('acme'): another row"),
            (["umbra", ["k-1"], 0, 1, 1, []], "row 2 ('umbra'): 'acme' has"),
            (["umbra", ["k-9", "k-9"], 0, 1, 1, []], "row 2 ('umbra'): the same key"),
            ([None, ["k-9"], 0, 1, 1, []], "row 2: "),
            (["umbra", "k-9", 0, 1, 1, []], "row 2 ('umbra'): "),
            (["umbra", [9], 0, 1, 1, []], "row 2 ('umbra'): "),
            (["umbra", ["k-9\r\nX: y"], 0, 1, 1, []], "row 2 ('umbra'): "),
            (["um\nbra", ["k-9"], 0, 1, 1, []], "row 2 ('um\\nbra'): "),
            (["umbra\n", ["k-9"], 0, 1, 1, []], "row 2 ('umbra\\n'): "),
            (["umbra", ["k-9\n"], 0, 1, 1, []], "row 2 ('umbra'): "),
            (["umbra", ["k-9\x85"], 0, 1, 1, []], "row 2 ('umbra'): "),
            (["umbra", ["k-9"], 0, -1, 1, []], "row 2 ('umbra'): "),
            (["umbra", ["k-9"], 0, "1", 1, []], "row 2 ('umbra'): "),
            (["umbra", ["k-9"], -1, 1, 1, []], "row 2 ('umbra'): "),
            (["umbra", ["k-9"], 0, 1], "row 2: "),
        ],
    )
    def test_invalid_row_rejects_the_configuration_and_is_named(
        self, row: list[Any], place: str
    ) -> None:
        """Guards against a table that is applied in part, and against keys in logs."""
        with pytest.raises(InvalidRecord) as caught:
            decode_workspaces(["acme", ["k-1"], 0, 1, 1, []], row)
        assert place in caught.value.detail
        assert "k-9" not in caught.value.detail

    def test_unknown_columns_are_ignored(self) -> None:
        """Guards against refusing a configuration of a later version."""
        table = decode_workspaces([1, "acme", ["k-1"]], columns=["new", "name", "api_keys"])
        assert table.workspaces is not None
        assert table.workspaces.find("k-1") == Workspace("acme")

    def test_ten_thousand_workspaces_are_decoded_in_time(self) -> None:
        """Guards against a configuration that stops the event loop; the target is 0.5 s."""
        rows = [[f"w-{n}", [f"k-{n}", f"l-{n}"], 0, 5, 5, []] for n in range(10_000)]
        started = time.process_time()
        decode_workspaces(*rows)
        assert time.process_time() - started < 0.5

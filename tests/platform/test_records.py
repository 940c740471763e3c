"""Tests of decoding valid and invalid records."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import pytest

from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.platform.records import InvalidRecord
from briarfork.platform.records import decode_configuration
from briarfork.platform.records import decode_instance
from briarfork.platform.records import decode_member
from briarfork.platform.records import encode_member
from briarfork.platform.units import parse_duration
from briarfork.routing import RequestKind

if TYPE_CHECKING:
    from collections.abc import Callable

NESTING_DEPTH = 100_000
MEMBER = Member(
    "vm", "10.0.0.1", "a", 1, 1, MemberState.LIVE, {"entry": 80, "permits": 81}, serving=True
)
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


def encode_entry(**changes: Any) -> bytes:
    entry = {
        "address": "10.0.0.1:80",
        "info": {"service": "s", "zone": "a", "slots": 3},
        "status": {"state": "ready", "sequence": 4, "cold_remaining": "500ms"},
        "born": 1700000000000,
    }
    return json.dumps(entry | changes).encode()


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

    @pytest.mark.parametrize(
        "changes",
        [
            {"service": "unknown"},
            {"kind": "odd"},
            {"host": None},
            {"prefix": "/a"},
            {"timeout": "soon"},
            {"service": None},
            {"max_attempts": 0},
        ],
    )
    def test_invalid_configuration_is_rejected_as_a_whole(self, changes: dict[str, Any]) -> None:
        """Guards against applying a part of a configuration."""
        with pytest.raises(InvalidRecord):
            decode_configuration(json.dumps(build_configuration(**changes)).encode())

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


class TestInstance:
    def test_entry_is_decoded(self) -> None:
        """Guards against a server with a wrong address or without its start time."""
        instance = decode_instance("i-1", encode_entry(), now=10.0)
        assert (instance.address, instance.port, instance.slots) == ("10.0.0.1", 80, 3)
        assert (instance.cold_until, instance.started_at_ms, instance.draining) == (
            10.5,
            1700000000000,
            False,
        )

    @pytest.mark.parametrize(
        "changes",
        [
            {"address": 5},
            {"address": "host:80"},
            {"info": {"service": "s"}},
            {"status": {"state": "odd", "sequence": 1}},
            {"status": None},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:99999"},
            {"address": "10.0.0.256:80"},
            {"address": "10.0.1:80"},
            {"info": {"service": "s", "zone": "a", "slots": 10**18}},
            {"status": {"state": "ready", "sequence": 10**30}},
            {"status": {"state": "ready", "sequence": 1, "cold_remaining": "9" * 400 + "s"}},
            {"status": {"state": "ready", "sequence": 1, "cold_remaining": "99999s"}},
            {"born": 10**400},
        ],
    )
    def test_entry_of_another_writer_is_rejected(self, changes: dict[str, Any]) -> None:
        """Guards against requests to an address that nobody registered as a server."""
        with pytest.raises(InvalidRecord):
            decode_instance("i-1", encode_entry(**changes), now=0.0)


class TestMember:
    def test_written_record_is_read_again(self) -> None:
        """Guards against VMs that cannot read each other's entries."""
        assert decode_member(encode_member(MEMBER)) == MEMBER

    @pytest.mark.parametrize(
        "changes",
        [
            {"address": "10.0.0"},
            {"ports": {"entry": 80}},
            {"ports": {"entry": 80, "permits": 0}},
            {"ports": {"entry": 99999, "permits": 81}},
            {"incarnation": 10**30},
            {"state": "odd"},
        ],
    )
    def test_entry_of_another_writer_is_rejected(self, changes: dict[str, Any]) -> None:
        """Guards against callers that are sent to an address at which no VM serves."""
        with pytest.raises(InvalidRecord):
            decode_member(json.dumps(json.loads(encode_member(MEMBER)) | changes).encode())


class TestNesting:
    @pytest.mark.parametrize(
        "decode",
        [decode_configuration, decode_member, lambda value: decode_instance("i-1", value, 0.0)],
        ids=["configuration", "member", "instance"],
    )
    def test_deeply_nested_record_is_rejected(self, decode: Callable[[bytes], object]) -> None:
        """Guards against an entry of another writer that ends each program that reads it."""
        nested = b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH
        with pytest.raises(InvalidRecord):
            decode(b'{"other":' + nested + b"}")


class TestDuration:
    @pytest.mark.parametrize("text", ["", "5", "-1s", "1m", "1 s", "xs"])
    def test_malformed_duration_is_rejected(self, text: str) -> None:
        """Guards against reading a duration in another unit."""
        with pytest.raises(ValueError, match="expected a duration"):
            parse_duration(text)

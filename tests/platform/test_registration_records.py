"""Tests of decoding the entries of backend servers and entry VMs."""

from __future__ import annotations

import json
from typing import Any

import pytest

from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.platform.records import InvalidRecord
from briarfork.platform.registration_records import decode_instance
from briarfork.platform.registration_records import decode_member
from briarfork.platform.registration_records import encode_member

MEMBER = Member(
    "vm", "10.0.0.1", "a", 1, 1, MemberState.LIVE, {"entry": 80, "permits": 81}, serving=True
)


def encode_entry(**changes: Any) -> bytes:
    entry = {
        "address": "10.0.0.1:80",
        "info": {"service": "s", "zone": "a", "slots": 3},
        "status": {"state": "ready", "sequence": 4, "cold_remaining": "500ms"},
        "born": 1700000000000,
    }
    return json.dumps(entry | changes).encode()


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

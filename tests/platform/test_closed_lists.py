"""Words of the platform outside their closed lists: what makes a record unusable and what does not.

The table in docs/platform.md lists the same words.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from briarfork.platform.configuration_record import decode_configuration
from briarfork.platform.records import InvalidRecord
from briarfork.platform.registration_records import decode_instance
from briarfork.platform.registration_records import decode_member
from tests.platform.test_configuration_record import build_configuration

ENTRY: dict[str, Any] = {
    "address": "10.1.1.1:80",
    "info": {"service": "s", "version": "v1", "zone": "a", "slots": 3},
    "status": {"state": "ready", "sequence": 4, "cold_remaining": "0ms"},
    "born": 5,
}
MEMBER: dict[str, Any] = {
    "vm": "vm-1",
    "address": "10.1.1.1",
    "zone": "a",
    "incarnation": 1,
    "version": 1,
    "state": "live",
    "ports": {"entry": 1, "permits": 2},
}


def encode(body: object) -> bytes:
    return json.dumps(body).encode()


class TestConfigurationWords:
    @pytest.mark.parametrize(
        "changes",
        [
            {"kind": "odd"},
            {"kind": "Upload"},
            {"timeout": "1m"},
            {"slo": "400"},
            {"traffic_split": [{"service": "s", "weight": "much"}]},
        ],
        ids=str,
    )
    def test_unknown_word_makes_the_configuration_unusable(self, changes: dict[str, Any]) -> None:
        """Guards against serving a route by rules that its operator did not write."""
        with pytest.raises(InvalidRecord):
            decode_configuration(encode(build_configuration(**changes)))

    @pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "download", "upload"])
    def test_every_kind_of_the_pages_is_known(self, kind: str) -> None:
        """Guards against a deployment that is not served because of one kind."""
        decode_configuration(encode(build_configuration(kind=kind)))

    def test_unknown_names_are_ignored(self) -> None:
        """Guards against a new field that makes a configuration unusable."""
        body = build_configuration()
        body["routes"]["columns"] = [*body["routes"]["columns"], "colour"]
        body["routes"]["rows"][0].append("blue")
        body["services"] = {
            "columns": ["name", "health_path", "protocol", "tls", "colour"],
            "rows": [["s", "/healthz", "h9", True, None]],
        }
        body["limits"]["max_colours"] = 3
        body["new"] = {}
        assert decode_configuration(encode(body)).version == 7

    def test_split_without_any_weight_is_rejected(self) -> None:
        """Guards against a route that sends its requests nowhere."""
        changes = {"service": None, "traffic_split": [{"service": "s", "weight": 0}]}
        with pytest.raises(InvalidRecord):
            decode_configuration(encode(build_configuration(**changes)))


class TestRegistrationWords:
    @pytest.mark.parametrize(
        ("part", "changes"),
        [
            ("status", {"state": "resting"}),
            ("status", {"cold_remaining": "soon"}),
            ("info", {"slots": "three"}),
            ("info", {"service": ""}),
        ],
        ids=str,
    )
    def test_unknown_word_makes_only_its_entry_unusable(
        self, part: str, changes: dict[str, Any]
    ) -> None:
        """Guards against requests to a server whose entry says something that is not defined."""
        with pytest.raises(InvalidRecord):
            decode_instance("i-1", encode(ENTRY | {part: ENTRY[part] | changes}), now=0.0)

    def test_unknown_names_are_ignored(self) -> None:
        """Guards against servers that get no requests because they tell more than before."""
        entry = ENTRY | {
            "info": ENTRY["info"] | {"rack": 7},
            "status": ENTRY["status"] | {"mood": "good"},
            "new": [],
        }
        assert decode_instance("i-1", encode(entry), now=0.0).slots == 3

    def test_entry_vm_of_a_later_version_is_used(self) -> None:
        """Guards against VMs that do not see each other while a new version is rolled out."""
        assert decode_member(encode(MEMBER | {"rack": 7})).vm == "vm-1"

    @pytest.mark.parametrize("changes", [{"state": "resting"}, {"cores": -1}], ids=str)
    def test_entry_vm_in_an_unknown_state_is_not_used(self, changes: dict[str, Any]) -> None:
        """Guards against callers that are directed to a VM that may not serve them."""
        with pytest.raises(InvalidRecord):
            decode_member(encode(MEMBER | changes))

"""Tests of loading settings in the platform's format."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING
from typing import Any

import pytest

from briarfork.errors import BadSettings
from briarfork.platform.settings import load_platform_settings
from briarfork.workspaces import QuotaBounds

if TYPE_CHECKING:
    from pathlib import Path

BOOT: dict[str, Any] = {
    "node": "front-a-1",
    "ip": "10.1.0.15",
    "zone": "a",
    "region": "north",
    "zones": {"a": "north", "b": "south"},
    "listen": {"front": "10.1.0.15:1", "ready": "10.1.0.15:2", "directory": "10.1.0.15:3"},
    "internal_ports": [7620, 7635],
    "platform": {"address": "10.200.1.7:8642", "min_ttl": "1000ms"},
    "bounds": ["grace=8s", "ttl_max=1s"],
    "limits": {"memory_mb": 200, "cpu_share": 0.5, "cores": 3, "link_mbps": 10.0},
    "unknown_field": 1,
}


def write_settings(folder: Path, body: object) -> Path:
    path = folder / "boot.json"
    path.write_text(json.dumps(body))
    return path


class TestPlatformSettings:
    def test_settings_are_converted(self, tmp_path: Path) -> None:
        """Guards against a program that listens on or connects to a wrong address."""
        settings = load_platform_settings(write_settings(tmp_path, BOOT))
        common = settings.common
        assert (common.vm, common.zone, common.address) == ("front-a-1", "a", "10.1.0.15")
        assert (common.ports.entry, common.ports.permits) == (1, 7620)
        assert (settings.ready, settings.lookup) == (("10.1.0.15", 2), ("10.1.0.15", 3))
        assert common.store_url == "http://10.200.1.7:8642"
        assert (settings.grace_s, settings.lookup_ttl_s) == (8.0, 1.0)
        assert (settings.cores, settings.link_mbps) == (1.5, 10.0)
        assert common.limits.body_memory_bytes == 50 * 1024 * 1024
        assert common.limits.response_memory_bytes == 44 * 1024 * 1024

    def test_quota_bounds_are_converted(self, tmp_path: Path) -> None:
        """Guards against quotas that hold less closely than the settings say."""
        bounds = ["quota_window=2500ms", "quota_overshoot=0.2", "quota_slack=7"]
        settings = load_platform_settings(write_settings(tmp_path, BOOT | {"bounds": bounds}))
        assert settings.quota_bounds == QuotaBounds(2.5, 0.2, 7.0)
        settings = load_platform_settings(write_settings(tmp_path, BOOT))
        assert settings.quota_bounds == QuotaBounds(5.0, 0.1, 20.0)

    @pytest.mark.parametrize("bound", ["quota_window=x", "quota_overshoot=nan", "quota_slack=-1"])
    def test_malformed_quota_bounds_are_rejected(self, tmp_path: Path, bound: str) -> None:
        """Guards against a gateway that starts without a bound on quotas."""
        with pytest.raises(BadSettings):
            load_platform_settings(write_settings(tmp_path, BOOT | {"bounds": [bound]}))

    def test_every_invalid_key_is_reported(self, tmp_path: Path) -> None:
        """Guards against operators who learn of only one error at a time."""
        body = BOOT | {"zone": 5, "listen": {"front": "x"}, "internal_ports": [1]}
        with pytest.raises(BadSettings) as caught:
            load_platform_settings(write_settings(tmp_path, body))
        reported = [fault.split(": ")[1] for fault in caught.value.faults]
        assert reported == [
            "zone",
            "listen.front",
            "listen.ready",
            "listen.directory",
            "internal_ports",
        ]

    @pytest.mark.parametrize("text", ["", "{", "[]", "\x00"])
    def test_unreadable_file_is_rejected(self, tmp_path: Path, text: str) -> None:
        """Guards against starting without settings."""
        path = tmp_path / "boot.json"
        path.write_text(text)
        with pytest.raises(BadSettings):
            load_platform_settings(path)

    @pytest.mark.parametrize(
        ("bounds", "expected_s"),
        [
            ([], math.inf),
            (["strict_revoke=false", "revoke=5000ms"], math.inf),
            (["strict_revoke=true", "revoke=5000ms"], 4.0),
        ],
    )
    def test_keys_expire_only_with_strict_revocation(
        self, tmp_path: Path, bounds: list[str], expected_s: float
    ) -> None:
        """Guards against refusals by VMs that are to go on with the configuration they have."""
        settings = load_platform_settings(write_settings(tmp_path, BOOT | {"bounds": bounds}))
        assert settings.max_configuration_age_s == pytest.approx(expected_s)

    def test_malformed_strict_revoke_is_rejected(self, tmp_path: Path) -> None:
        """Guards against a typing error that turns strict revocation off."""
        with pytest.raises(BadSettings):
            load_platform_settings(write_settings(tmp_path, BOOT | {"bounds": ["strict_revoke=1"]}))

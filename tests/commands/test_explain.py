"""Tests of the request timeline that is merged from the logs of several VMs."""

from __future__ import annotations

import io
import json
import sys
from typing import TYPE_CHECKING

import pytest

from briarfork.commands.main import main

if TYPE_CHECKING:
    from pathlib import Path


def format_log_line(second: int, vm: str, name: str, **fields: object) -> str:
    time = f"2026-01-01T00:00:{second:02}.000000"
    return json.dumps({"time": time, "level": "info", "name": name, "vm": vm} | fields) + "\n"


FIRST_LOG = "".join(
    [
        format_log_line(1, "vm-1", "started"),
        format_log_line(2, "vm-1", "store_lost", reason="timeout"),
        format_log_line(3, "vm-1", "attempt_failed", request="r1", server="i-1", reason="reset"),
        format_log_line(3, "vm-1", "request_failed", request="other", outcome="overloaded"),
        format_log_line(9, "vm-1", "store_back"),
        '{"time":"2026-01-01T00:00:10.0',
    ]
)
SECOND_LOG = "   0.2 vm-2 " + format_log_line(
    5, "vm-2", "request_served", request="r1", elapsed_ms=300
)


@pytest.fixture
def logs(tmp_path: Path) -> list[str]:
    for name, text in (("1.log", FIRST_LOG), ("2.log", SECOND_LOG)):
        (tmp_path / name).write_text(text)
    return [str(tmp_path / "2.log"), str(tmp_path / "1.log")]


class TestExplain:
    def test_merges_lines_of_all_vms(
        self, logs: list[str], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against a timeline out of order and against events of other requests."""
        monkeypatch.setattr(sys, "argv", ["briarfork", "explain", "r1", *logs])
        main()
        names = [line.split("  ")[2] for line in capsys.readouterr().out.splitlines()]
        assert names == ["started", "store_lost", "attempt_failed", "request_served"]

    def test_reads_standard_input(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against having to save logs to a file before they can be read."""
        monkeypatch.setattr(sys, "argv", ["briarfork", "explain", "r1", "--json", "--context", "0"])
        monkeypatch.setattr(sys, "stdin", io.StringIO(FIRST_LOG))
        main()
        (line,) = json.loads(capsys.readouterr().out)["lines"]
        assert line["reason"] == "reset"

    def test_unknown_request_is_an_error(
        self, logs: list[str], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against empty output that looks like a request without events."""
        monkeypatch.setattr(sys, "argv", ["briarfork", "explain", "r9", *logs])
        with pytest.raises(SystemExit):
            main()
        assert "no line names request 'r9'" in capsys.readouterr().err

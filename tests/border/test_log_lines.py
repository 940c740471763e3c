"""Tests of log lines with text and numbers that other writers chose."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from briarfork.border.log_lines import MAX_LINE_BYTES

ROOT = Path(__file__).parent.parent.parent
MB = 1024 * 1024
# Logs the fields that the argument builds, and then a stop.
LOG_FIELDS = """
import sys
from briarfork.border.events import Event, EventLog, install_json_handler
install_json_handler()
events = EventLog("test")
events.record(Event.RECORD_IGNORED, **eval(sys.argv[1]))
events.record(Event.STOPPED)
"""
# Logs to a standard output that is closed.
LOG_CLOSED = """
import sys
from briarfork.border.events import Event, EventLog, install_json_handler
install_json_handler()
for _ in range(3):
    EventLog("test").record(Event.STOPPED)
print("end", file=sys.stderr)
"""
FAULT = "server h1: Invalid enum value 'xx"
PLACE = "- at `$.status.state`"


def run_program(program: str, argument: str, **options: Any) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-c", program, argument],
        env={"PYTHONPATH": str(ROOT / "src")},
        stderr=subprocess.PIPE,
        timeout=30.0,
        **options,
    )


def read_lines(fields: str) -> list[dict[str, Any]]:
    """Returns the lines that a process writes to a pipe that nobody reads before its end."""
    reader, writer = os.pipe()
    try:
        ended = run_program(LOG_FIELDS, fields, stdout=writer)
    finally:
        os.close(writer)
    with os.fdopen(reader, "rb") as pipe:
        lines = pipe.read().splitlines()
    assert ended.stderr == b""
    assert ended.returncode == 0
    assert all(len(line) < MAX_LINE_BYTES for line in lines)
    return [json.loads(line) for line in lines]


class TestLogLines:
    def test_long_text_keeps_its_start_and_end(self) -> None:
        """Guards against a line that is written in part, so that the next one is glued to it."""
        ignored, stopped = read_lines(f"""{{"fault": "{FAULT}" + "x" * {MB} + "{PLACE}"}}""")
        assert ignored["name"] == "record_ignored"
        assert ignored["fault"].startswith(FAULT)
        assert ignored["fault"].endswith(PLACE)
        assert "characters" in ignored["fault"]
        assert stopped["name"] == "stopped"

    @pytest.mark.parametrize(
        "fields",
        [
            f"""dict(names=["n" * {MB}] * 1000)""",
            f"""dict(names=dict.fromkeys([letter * {MB} for letter in "abc"], [1, 2]))""",
            """dict(names={str(number): [number] * 1000 for number in range(1000)})""",
            """{f"field{number}": "x" * 900 for number in range(200)}""",
            """{f"field{number}": chr(1) * 900 for number in range(10)}""",
            """dict(name_of_server="\\U0001f600" * 5000)""",
        ],
    )
    def test_long_values_are_bounded(self, fields: str) -> None:
        """Guards against long lines of many names, fields or characters that need escapes."""
        line, stopped = read_lines(fields)
        assert line["event"] == 3006
        assert any(word in str(line) for word in ("characters", " more", "fields_left_out"))
        assert stopped["name"] == "stopped"

    @pytest.mark.parametrize(
        ("value", "expected"),
        [
            ("'/a/\\udcff'", "/a/\\udcff"),
            ("{'\\udcff': 1}", {"\\udcff": 1}),
            ("10**30", str(10**30)),
            ("10**6000", "integer of 19932 bits"),
            ("ValueError(10**6000)", "ValueError (ValueError in its text)"),
            ("float('inf')", "inf"),
            ("[float('nan'), 0.5, None, True]", ["nan", 0.5, None, True]),
            ("[[[[[]]]]]", [[["..."]]]),
            ("Event.STOPPED.name", "STOPPED"),
        ],
    )
    def test_odd_value_is_logged(self, value: str, expected: object) -> None:
        """Guards against a value that cannot be encoded, whose line is lost or raises an error."""
        line, _ = read_lines(f"dict(value={value})")
        assert line["value"] == expected


class TestClosedOutput:
    def test_lost_reader_does_not_end_the_process(self) -> None:
        """Guards against a process that ends or prints errors once nobody reads its log."""
        reader, writer = os.pipe()
        os.close(reader)
        ended = run_program(LOG_CLOSED, "pipe", stdout=writer)
        os.close(writer)
        assert (ended.stderr, ended.returncode) == (b"end\n", 0)

    def test_process_starts_without_standard_output(self) -> None:
        """Guards against a process that cannot start because its standard output is closed."""
        command = [sys.executable, "-c", LOG_CLOSED, "none"]
        ended = subprocess.run(
            ["sh", "-c", 'exec "$@" >&-', "sh", *command],
            env={"PYTHONPATH": str(ROOT / "src"), "PATH": os.defpath},
            stderr=subprocess.PIPE,
            timeout=30.0,
        )
        assert (ended.stderr, ended.returncode) == (b"end\n", 0)

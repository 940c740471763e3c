"""Mutation tests: injects faults into a copy of the source and checks that a test detects each.

`make break` runs all faults in faults.yaml; names on the command line select some of them.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import yaml

ROOT = Path(__file__).parent.parent.parent
FAULTS_FILE = Path(__file__).parent / "faults.yaml"
COPIED_PATHS = ("src", "tests", "docs", "examples", "pyproject.toml", "README.md")
TEST_TIMEOUT_S = 180
WORKERS = 3


@dataclass(frozen=True, slots=True)
class Fault:
    """An injected fault and the test that must fail because of it.

    Attributes:
        name: Name of the fault.
        file: Path of the file to change, relative to the repository.
        old: Text to replace, which must occur exactly once.
        new: Replacement.
        test: Path of the test, optionally followed by " -k " and an expression.
    """

    name: str
    file: str
    old: str
    new: str
    test: str


@dataclass(frozen=True, slots=True)
class FaultResult:
    """Result of a test run with an injected fault."""

    fault: Fault
    detected: bool
    reason: str
    elapsed_s: float


def load_faults() -> list[Fault]:
    return [Fault(**body) for body in yaml.safe_load(FAULTS_FILE.read_text())]


def run_with_fault(fault: Fault) -> FaultResult:
    """Applies a fault to a temporary copy and runs its test there."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as scratch:
        checkout = Path(scratch)
        for name in COPIED_PATHS:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(
                    source, checkout / name, ignore=shutil.ignore_patterns("__pycache__")
                )
            else:
                shutil.copy(source, checkout / name)
        target = checkout / fault.file
        text = target.read_text()
        if text.count(fault.old) != 1:
            return FaultResult(
                fault, False, f"expected one match, found {text.count(fault.old)}", 0.0
            )
        target.write_text(text.replace(fault.old, fault.new))
        reason = _run_test(checkout, fault.test)
    return FaultResult(fault, reason == "test failed", reason, time.monotonic() - started)


def _run_test(checkout: Path, test: str) -> str:
    path, _, expression = test.partition(" -k ")
    command = [sys.executable, "-m", "pytest", "-x", path, "-k", _quote_words(expression)]
    environment = {**os.environ, "PYTHONPATH": f"{checkout / 'src'}:{checkout}"}
    try:
        result = subprocess.run(
            command, cwd=checkout, env=environment, capture_output=True, timeout=TEST_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return "test failed"
    # pytest exits with 1 if tests ran and failed; other statuses do not show a detected fault.
    return {0: "test passed", 1: "test failed"}.get(
        result.returncode, f"pytest ended with status {result.returncode}"
    )


def _quote_words(expression: str) -> str:
    """Joins the words of an expression with "and", since -k does not accept spaces."""
    return " and ".join(expression.strip('"').split())


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="faults to try; default: all")
    arguments = parser.parse_args()
    faults = [f for f in load_faults() if not arguments.names or f.name in arguments.names]
    print("| fault | caught by | verdict | s |\n| --- | --- | --- | --- |")
    missed = 0
    with ThreadPoolExecutor(WORKERS) as executor:
        for result in executor.map(run_with_fault, faults):
            missed += not result.detected
            word = "caught" if result.detected else f"MISSED: {result.reason}"
            fault, elapsed_s = result.fault, result.elapsed_s
            print(f"| {fault.name} | {fault.test} | {word} | {elapsed_s:.0f} |", flush=True)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()

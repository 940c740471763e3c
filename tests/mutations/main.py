"""Applies small deliberate faults to a scratch copy and shows that a named test catches each.

`make break` runs all of them; names on the command line select some.
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
FAULTS = Path(__file__).parent / "faults.yaml"
COPIED = ("src", "tests", "docs", "examples", "pyproject.toml", "README.md")
TEST_TIMEOUT_S = 180
WORKERS = 3


@dataclass(frozen=True, slots=True)
class Fault:
    """One deliberate fault and the test that must fail with it."""

    name: str
    file: str
    old: str
    new: str
    test: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a run with a fault showed."""

    fault: Fault
    caught: bool
    reason: str
    elapsed_s: float


def load_faults() -> list[Fault]:
    return [Fault(**body) for body in yaml.safe_load(FAULTS.read_text())]


def try_fault(fault: Fault) -> Verdict:
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as scratch:
        copy = Path(scratch)
        for name in COPIED:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name, ignore=shutil.ignore_patterns("__pycache__"))
            else:
                shutil.copy(source, copy / name)
        target = copy / fault.file
        text = target.read_text()
        if text.count(fault.old) != 1:
            return Verdict(fault, False, f"expected one match, found {text.count(fault.old)}", 0.0)
        target.write_text(text.replace(fault.old, fault.new))
        reason = _run_test(copy, fault.test)
    return Verdict(fault, reason == "test failed", reason, time.monotonic() - started)


def _run_test(copy: Path, test: str) -> str:
    path, _, expression = test.partition(" -k ")
    command = [sys.executable, "-m", "pytest", "-x", path, "-k", _quote_words(expression)]
    environment = {**os.environ, "PYTHONPATH": f"{copy / 'src'}:{copy}"}
    try:
        result = subprocess.run(
            command, cwd=copy, env=environment, capture_output=True, timeout=TEST_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return "test failed"
    # Status 1 means that tests ran and failed; others mean that nothing was proved.
    return {0: "test passed", 1: "test failed"}.get(
        result.returncode, f"pytest ended with status {result.returncode}"
    )


def _quote_words(expression: str) -> str:
    """Joins the words of a test's name, since -k takes no spaces."""
    return " and ".join(expression.strip('"').split())


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="faults to try; default: all")
    arguments = parser.parse_args()
    faults = [f for f in load_faults() if not arguments.names or f.name in arguments.names]
    print("| fault | caught by | verdict | s |\n| --- | --- | --- | --- |")
    missed = 0
    with ThreadPoolExecutor(WORKERS) as executor:
        for verdict in executor.map(try_fault, faults):
            missed += not verdict.caught
            word = "caught" if verdict.caught else f"MISSED: {verdict.reason}"
            fault, elapsed_s = verdict.fault, verdict.elapsed_s
            print(f"| {fault.name} | {fault.test} | {word} | {elapsed_s:.0f} |", flush=True)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()

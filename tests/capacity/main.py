"""Measures how state, messages and processor time grow; prints the results as Markdown."""

from __future__ import annotations

import argparse
import asyncio
import importlib
import pkgutil
import tempfile
import time
from pathlib import Path

import logbook

import tests.capacity
from tests.capacity.measurement import MEASUREMENTS
from tests.capacity.measurement import Series
from tests.capacity.measurement import render_table


async def run(names: list[str]) -> list[Series]:
    series = []
    for name in names:
        started = time.monotonic()
        with tempfile.TemporaryDirectory() as work:
            series += await MEASUREMENTS.get(name)(Path(work))
        print(f"{name}: {time.monotonic() - started:.0f} s", flush=True)
    return series


def main() -> None:
    for module in pkgutil.iter_modules(tests.capacity.__path__):
        if module.name != "main" and not module.name.startswith("test_"):
            importlib.import_module(f"tests.capacity.{module.name}")
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help=", ".join(MEASUREMENTS.names()))
    names = parser.parse_args().names or MEASUREMENTS.names()
    logbook.NullHandler().push_application()
    print("\n" + render_table(asyncio.run(run(names))))


if __name__ == "__main__":
    main()

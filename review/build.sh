#!/bin/sh
# Compiles the stand-ins of the cases. They need Python 3.11 and what the deploy file puts into
# target/deps, nothing else.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q tests/standins/key_value.py review

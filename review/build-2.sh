#!/bin/sh
# Builds what the cases from 6 on start beside the gateway: stand-ins in Python without dependencies.
cd "$(dirname "$0")" || exit 2
exec python3 -m py_compile standins-2/deployment.py [6-9]/case.py

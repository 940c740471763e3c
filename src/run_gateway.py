"""Starts the gateway from a checkout, where the package is not installed."""

from briarfork.platform.main import main

main()

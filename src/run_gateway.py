"""Starts the gateway from a checkout, where the package is not installed."""

from briarfork.platform.main import main

if __name__ == "__main__":
    main()

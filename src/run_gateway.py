"""Starts the gateway from a checkout without an installed package."""

from briarfork.platform.main import main

if __name__ == "__main__":
    main()

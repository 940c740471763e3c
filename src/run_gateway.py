"""Starts the gateway from a checkout without an installed package."""

import signal

# SIGHUP may arrive while the imports still run, and its default action would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from briarfork.platform.main import main  # noqa: E402

if __name__ == "__main__":
    main()

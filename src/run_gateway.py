"""Starts the gateway from a checkout, where the package is not installed."""

import signal

# A change of settings may be signalled while the imports still run; the default would end the
# process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from briarfork.platform.main import main  # noqa: E402

if __name__ == "__main__":
    main()

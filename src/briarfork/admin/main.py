"""Entry point of `briarfork-admin`."""

from __future__ import annotations

from briarfork.border.signals import ProcessSignals

PROGRAM = "briarfork-admin"
DESCRIPTION = "Serves the administration API, through which operators submit changes."


def main() -> None:
    """Runs `briarfork-admin` until a planned stop."""
    with ProcessSignals() as signals:
        # These imports take long enough for signals to arrive.
        from briarfork.admin.service import run
        from briarfork.border.program import run_service

        run_service(PROGRAM, DESCRIPTION, run, signals)


if __name__ == "__main__":
    main()

"""Entry point of `briarfork-control`."""

from __future__ import annotations

from briarfork.border.signals import ProcessSignals

PROGRAM = "briarfork-control"
DESCRIPTION = "Maintains the configuration, the member list and the load view of one VM."


def main() -> None:
    """Runs `briarfork-control` until a planned stop."""
    with ProcessSignals() as signals:
        # These imports take long enough for signals to arrive.
        from briarfork.border.program import run_service
        from briarfork.control.service import run

        run_service(PROGRAM, DESCRIPTION, run, signals)


if __name__ == "__main__":
    main()

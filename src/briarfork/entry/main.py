"""Entry point of `briarfork-entry`."""

from __future__ import annotations

from briarfork.border.signals import ProcessSignals

PROGRAM = "briarfork-entry"
DESCRIPTION = "Answers lookups and forwards requests to backend servers."


def main() -> None:
    """Runs `briarfork-entry` until a planned stop."""
    with ProcessSignals() as signals:
        # These imports take long enough for signals to arrive.
        from briarfork.border.program import run_service
        from briarfork.entry.service import run

        run_service(PROGRAM, DESCRIPTION, run, signals)


if __name__ == "__main__":
    main()

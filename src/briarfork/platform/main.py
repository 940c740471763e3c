"""Entry point of `briarfork-gateway`."""

from __future__ import annotations

from briarfork.border.signals import ProcessSignals


def main() -> None:
    """Runs the gateway until a planned stop."""
    with ProcessSignals() as signals:
        # These imports take long enough for signals to arrive.
        from briarfork.platform.program import run_program

        run_program(signals)


if __name__ == "__main__":
    main()

"""The gateway: one program on each entry VM that needs no control process beside it."""

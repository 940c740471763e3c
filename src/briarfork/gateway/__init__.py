"""The gateway: one program per entry VM that needs no separate control process."""

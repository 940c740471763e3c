"""Global traffic steering with scheduled, audited configuration changes."""

__version__ = "0.1.0"

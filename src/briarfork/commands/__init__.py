"""Command-line interface for operators, with one module per command."""

"""The administration API, through which operators submit changes."""

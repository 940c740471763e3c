"""The adapter to the prepared platform; nothing outside this package knows its names."""

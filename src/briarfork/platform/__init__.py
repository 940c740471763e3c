"""Adapter to the platform; no other package knows the names in its protocols."""

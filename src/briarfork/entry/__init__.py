"""The entry process: lookups, the request path and permits for slots."""

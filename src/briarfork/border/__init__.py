"""External interfaces of the processes: files, HTTP, message streams, logs and metrics."""

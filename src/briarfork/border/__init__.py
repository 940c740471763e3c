"""Everything that crosses the border of a process: files, HTTP, streams, logs and metrics."""

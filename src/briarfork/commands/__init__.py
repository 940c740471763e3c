"""The operators' command line, one small module for each command."""

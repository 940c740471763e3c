"""Workspaces: organisations whose callers share keys, a quota and a priority."""

from briarfork.workspaces.directory import WorkspaceDirectory
from briarfork.workspaces.workspace import Workspace

__all__ = [
    "Workspace",
    "WorkspaceDirectory",
]

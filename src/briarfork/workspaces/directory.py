"""Finds the workspace of a caller's key."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarfork.workspaces.workspace import Workspace


class WorkspaceDirectory:
    """The workspaces of one version of the configuration, with digests of their keys.

    Attributes:
        limited: The workspaces that have a quota, by name.

    Example:
        >>> from briarfork.workspaces.workspace import Workspace
        >>> directory = WorkspaceDirectory({"k-1": Workspace("acme")})
        >>> directory.find("k-1").name, directory.find("k-2")
        ('acme', None)
    """

    def __init__(self, workspaces: Mapping[str, Workspace]) -> None:
        """Creates a directory.

        Args:
            workspaces: Workspaces by key.
        """
        self._by_digest = {_digest(key): workspace for key, workspace in workspaces.items()}

        self.limited = {
            workspace.name: workspace for workspace in workspaces.values() if workspace.has_quota
        }

    def find(self, key: str) -> Workspace | None:
        """Returns the workspace that holds a key, or None."""
        # How long the search for a digest takes tells nothing about the keys.
        return self._by_digest.get(_digest(key))


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()

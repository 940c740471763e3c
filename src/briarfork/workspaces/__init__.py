"""Workspaces: organisations whose callers share keys, a quota and a priority."""

from briarfork.workspaces.attachments import Attachment
from briarfork.workspaces.attachments import Attachments
from briarfork.workspaces.credit_pool import CreditPool
from briarfork.workspaces.credit_pool import CreditReport
from briarfork.workspaces.credit_pool import CreditSupply
from briarfork.workspaces.directory import WorkspaceDirectory
from briarfork.workspaces.fleet_size import FleetSize
from briarfork.workspaces.quota_bounds import QuotaBounds
from briarfork.workspaces.workspace import Workspace
from briarfork.workspaces.zone_credit import ZoneCredit

__all__ = [
    "Attachment",
    "Attachments",
    "CreditPool",
    "CreditReport",
    "CreditSupply",
    "FleetSize",
    "QuotaBounds",
    "Workspace",
    "WorkspaceDirectory",
    "ZoneCredit",
]

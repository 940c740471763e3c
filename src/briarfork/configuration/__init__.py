"""Operator configuration: documents, site overlays and the plan rendered from them."""

from briarfork.configuration.documents import BASE
from briarfork.configuration.documents import SERVICE_PREFIX
from briarfork.configuration.documents import SITE_PREFIX
from briarfork.configuration.documents import Document
from briarfork.configuration.documents import Documents
from briarfork.configuration.documents import merge_overlay
from briarfork.configuration.model import ClientBlocks
from briarfork.configuration.model import Link
from briarfork.configuration.model import Plan
from briarfork.configuration.model import RequestClass
from briarfork.configuration.model import Route
from briarfork.configuration.model import Service
from briarfork.configuration.model import ShiftLimits
from briarfork.configuration.model import Site
from briarfork.configuration.model import SiteCapacity

__all__ = [
    "BASE",
    "SERVICE_PREFIX",
    "SITE_PREFIX",
    "ClientBlocks",
    "Document",
    "Documents",
    "Link",
    "Plan",
    "RequestClass",
    "Route",
    "Service",
    "ShiftLimits",
    "Site",
    "SiteCapacity",
    "merge_overlay",
]

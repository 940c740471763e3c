"""Decides who may send a request, before a slot is looked for."""

from __future__ import annotations

import re
import time
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Protocol

from briarfork.errors import ErrorKind
from briarfork.errors import NotRun

if TYPE_CHECKING:
    from briarfork.gateway.request import Request
    from briarfork.gateway.view import GatewayView
    from briarfork.routing import Route
    from briarfork.workspaces import Workspace

# "." and ".." as parts of a path, also encoded. A server that resolves them may find the path of
# another route, so such a path is not public.
DOT_SEGMENT_PATTERN = re.compile(
    r"(?:/|\\|%2f|%5c)(?:\.|%2e){1,2}(?:/|\\|%2f|%5c|$)", re.IGNORECASE
)


class Credit(Protocol):
    """The right to send one request within a quota."""

    def give_back(self) -> None:
        """Returns the credit of a request that no server has run; further calls do nothing."""


class QuotaGate(Protocol):
    """Grants credit within the quotas of workspaces."""

    async def acquire(self, workspace: Workspace) -> Credit:
        """Returns credit for one request.

        Raises:
            NotRun: If the quota is used up, or nothing is known of it in time.
        """


@dataclass(slots=True)
class Admitted:
    """A request that may be sent.

    Attributes:
        route: The route, with the priority and the regions of the workspace.
        workspace: Workspace of the caller, None if it has none.
        credit: Credit of the workspace's quota, None if it has no quota.
    """

    route: Route
    workspace: Workspace | None = None
    credit: Credit | None = field(default=None, repr=False)

    def refund(self) -> None:
        """Gives the credit back; to be called if no server may have run the request."""
        if self.credit is not None:
            self.credit.give_back()
            self.credit = None


class Admission:
    """Checks the key of a request and the quota of its workspace."""

    def __init__(self, view: GatewayView, quotas: QuotaGate | None = None) -> None:
        self._view = view
        self._quotas = quotas

    async def admit(self, request: Request, route: Route) -> Admitted:
        """Returns what a request is admitted as.

        Raises:
            NotRun: If the key is unknown or missing, or the quota does not admit the request.
        """
        workspace = self.find_workspace(request, route)
        if workspace is None:
            return Admitted(route)
        admitted = Admitted(restrict_route(route, workspace), workspace)
        if workspace.has_quota and self._quotas is not None:
            admitted.credit = await self._quotas.acquire(workspace)
        return admitted

    def find_workspace(self, request: Request, route: Route) -> Workspace | None:
        """Returns the workspace that holds the key of a request in the current configuration.

        Raises:
            NotRun: If the route needs a key and the request has none or an unknown one, or if this
                VM cannot tell.
        """
        workspaces = self._view.require_route_table().workspaces
        if workspaces is None:
            return None
        is_public = route.public and not DOT_SEGMENT_PATTERN.search(request.path)
        if not (is_public or self._view.is_configuration_current(time.monotonic())):
            raise NotRun(ErrorKind.STALE_CONFIGURATION, "the keys may not be the current ones")
        workspace = workspaces.find(request.credential) if request.credential else None
        if workspace is None and not is_public:
            raise NotRun(ErrorKind.UNAUTHORIZED, "the key is missing or unknown")
        return workspace

    def confirm(self, request: Request, admitted: Admitted) -> None:
        """Checks that the key of a request that waited still belongs to its workspace.

        On a public route, a request whose key was taken away must not run in the name of its former
        workspace; the next try runs without one.

        Raises:
            NotRun: If the key was taken away or belongs to another workspace now.
        """
        workspace = self.find_workspace(request, admitted.route)
        if (workspace.name if workspace else "") != request.workspace:
            raise NotRun(ErrorKind.OVERLOADED, "the key belongs to another workspace now")


def restrict_route(route: Route, workspace: Workspace) -> Route:
    """Returns the route with the priority of the workspace, in the regions that both allow.

    Raises:
        NotRun: If there is no region that both allow.
    """
    regions = route.regions or workspace.regions
    if route.regions and workspace.regions:
        regions = route.regions & workspace.regions
        if not regions:
            raise NotRun(ErrorKind.NO_SERVER, "no region is allowed for route and workspace")
    priority = route.priority if workspace.priority is None else workspace.priority
    return replace(route, priority=priority, regions=regions)

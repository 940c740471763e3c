"""Pydantic models of the configuration documents and of the admin API's request bodies."""

from __future__ import annotations

from fnmatch import fnmatchcase
from ipaddress import IPv4Network
from ipaddress import IPv6Network
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar

from pydantic import AfterValidator
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError
from pydantic import model_validator

from briarfork.configuration import BASE
from briarfork.configuration import SERVICE_PREFIX
from briarfork.configuration import SITE_PREFIX
from briarfork.errors import InvalidConfiguration
from briarfork.pools import SELECTION_POLICIES

if TYPE_CHECKING:
    from briarfork.configuration import Document

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
NonNegative = Annotated[float, Field(ge=0, le=1e9, allow_inf_nan=False)]
PositiveNumber = Annotated[float, Field(gt=0, le=1e9, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Milliseconds = Annotated[int, Field(ge=1, le=86_400_000)]
RequestClassName = Literal["short", "long"]


def _validate_selection(name: str) -> str:
    if name not in SELECTION_POLICIES.names():
        raise ValueError(f"expected one of {', '.join(SELECTION_POLICIES.names())}")
    return name


SelectionName = Annotated[str, AfterValidator(_validate_selection)]
ModelT = TypeVar("ModelT", bound=BaseModel)


class Model(BaseModel):
    """Base class of the models; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", strict=False, frozen=True)


class RegionModel(Model):
    """Region with its availability zones."""

    zones: Annotated[list[Name], Field(min_length=1)]


class LinkModel(Model):
    """Network link between two regions."""

    between: Annotated[list[Name], Field(min_length=2, max_length=2)]
    gbit_s: PositiveNumber
    latency_ms: NonNegative


class ClientBlockModel(Model):
    """Block of client addresses (CIDR) and its nearest region."""

    prefix: IPv4Network | IPv6Network
    region: Name


class TeamModel(Model):
    """Team with its tokens, document permissions and rate limit."""

    token_sha256: list[Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]]
    documents: list[str]
    changes_per_minute: Count = 60


class RouteModel(Model):
    """Settings for requests to a service whose path starts with a prefix."""

    prefix: Annotated[str, Field(pattern=r"^/")]
    request_class: RequestClassName | None = None
    deadline_ms: Milliseconds | None = None


class ShiftModel(Model):
    """Limits on the rate of a traffic shift."""

    cap_rps: PositiveNumber
    slope_percent_per_minute: PositiveNumber
    settled_generation: Annotated[int, Field(ge=0)] = 0


class ServiceModel(Model):
    """Service in the base file."""

    idempotent: bool = False
    request_class: RequestClassName = "short"
    deadline_ms: Milliseconds
    slots: Count
    connections: Count
    spread: Annotated[dict[Name, NonNegative], Field(min_length=1)]
    regional_spread: dict[Name, Annotated[dict[Name, NonNegative], Field(min_length=1)]] = {}
    shift: ShiftModel
    claims: Literal["store", "none"] = "store"
    selection: SelectionName = "permits"
    routes: list[RouteModel] = []
    answer_bytes: Annotated[int, Field(ge=1)] | None = None


class BaseDocumentModel(Model):
    """Base file without its services."""

    format: Literal[1]
    approval: Literal["required", "none"] = "none"
    entry_vms: Count
    lookup_ttl_s: Annotated[float, Field(gt=0, le=3600)]
    regions: Annotated[dict[Name, RegionModel], Field(min_length=1)]
    links: list[LinkModel] = []
    client_blocks: list[ClientBlockModel] = []
    teams: dict[Name, TeamModel] = {}

    @model_validator(mode="after")
    def check_teams(self) -> BaseDocumentModel:
        """Checks that at least one team may edit the base document and that no token is shared."""
        patterns = [pattern for team in self.teams.values() for pattern in team.documents]
        if self.teams and not any(fnmatchcase(BASE, pattern) for pattern in patterns):
            raise ValueError(f"teams: expected one team with documents that match {BASE!r}")
        tokens = [token for team in self.teams.values() for token in set(team.token_sha256)]
        if len(set(tokens)) < len(tokens):
            raise ValueError("teams: expected a token to belong to one team only")
        return self


class SiteServiceModel(Model):
    """Overrides of a service's settings at a site."""

    slots: Count | None = None
    connections: Count | None = None


class OverlayModel(Model):
    """Overlay of a site."""

    site: Name
    zone: Name
    drain: bool = False
    services: dict[Name, SiteServiceModel] = {}


class ChangeRequestModel(Model):
    """Change submitted by an operator."""

    change_id: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    author: Annotated[str, Field(min_length=1, max_length=64)]
    reason: Annotated[str, Field(min_length=1, max_length=1000)]
    start_at: float | None = None
    edits: dict[str, dict[str, Any] | None]
    based_on: Annotated[int, Field(ge=0)]


class ApprovalModel(Model):
    """Approval of a draft."""

    approver: Annotated[str, Field(min_length=1, max_length=64)]


class WithdrawalModel(Model):
    """Withdrawal of a scheduled change."""

    change_id: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    author: Annotated[str, Field(min_length=1, max_length=64)]
    reason: Annotated[str, Field(min_length=1, max_length=1000)]


def check_document(name: str, body: Any, location: str | None = None) -> Document:
    """Validates a document and returns it with defaults filled in.

    Args:
        name: Name of the document, which determines its model.
        body: Parsed document.
        location: File to report in errors instead of the document name.

    Raises:
        InvalidConfiguration: Lists every error with file, key and expected value.
    """
    model = _find_model(name)
    if model is None:
        raise InvalidConfiguration([f"{name}: expected base, services/NAME or sites/NAME"])
    validated = check_model(model, body, location or name)
    return validated.model_dump(mode="json", exclude_none=True)


def check_model(model: type[ModelT], body: Any, location: str) -> ModelT:
    """Validates a body against a model.

    Args:
        model: The model.
        body: Parsed body.
        location: File, document or request part to report in errors.

    Raises:
        InvalidConfiguration: Lists every error with location, key and expected value.
    """
    try:
        return model.model_validate(body)
    except ValidationError as error:
        raise InvalidConfiguration(
            [
                f"{location}: {'.'.join(str(part) for part in item['loc']) or 'top level'}: "
                f"{item['msg']}, found {str(item['input'])[:60]!r}"
                for item in error.errors()
            ]
        ) from error


def _find_model(name: str) -> type[Model] | None:
    if name == BASE:
        return BaseDocumentModel
    if name.startswith(SERVICE_PREFIX):
        return ServiceModel
    if name.startswith(SITE_PREFIX):
        return OverlayModel
    return None

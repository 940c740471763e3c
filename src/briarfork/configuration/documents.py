"""Configuration documents: the base, its services, and one overlay per site."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

from briarfork.configuration.model import ClientBlocks
from briarfork.configuration.model import Link
from briarfork.configuration.model import Plan
from briarfork.configuration.model import RequestClass
from briarfork.configuration.model import Route
from briarfork.configuration.model import Service
from briarfork.configuration.model import ShiftLimits
from briarfork.configuration.model import Site
from briarfork.configuration.model import SiteCapacity
from briarfork.errors import InvalidConfiguration

if TYPE_CHECKING:
    from collections.abc import Collection

BASE = "base"
SERVICE_PREFIX = "services/"
SITE_PREFIX = "sites/"

# Estimated answer size by request class, for services that do not state one.
DEFAULT_ANSWER_BYTES: Final = {"short": 16 * 1024, "long": 4 * 1024 * 1024}

# The block table keeps only the first 64 bits of an IPv6 address.
MAX_IPV6_PREFIX_BITS: Final = 64

Document = dict[str, Any]


@dataclass(frozen=True, slots=True)
class _NameIndex:
    """Names that the checks look up.

    It is updated with each edit rather than rebuilt, because checking a change validates the
    documents at every scheduled start.

    Attributes:
        weighted_sites: Sites with a weight above 0 in the spread of each service.
        sites: Names of all sites.
        drained: Names of the drained sites.
    """

    weighted_sites: dict[str, frozenset[str]] = field(default_factory=dict)
    sites: set[str] = field(default_factory=set)
    drained: set[str] = field(default_factory=set)

    def copy(self) -> _NameIndex:
        """Returns an independent copy."""
        return _NameIndex(self.weighted_sites.copy(), self.sites.copy(), self.drained.copy())

    @property
    def services(self) -> set[str]:
        """Names of the services."""
        return set(self.weighted_sites)

    def update(self, name: str, body: Document | None) -> None:
        """Applies an edit of a document; a body of None removes it."""
        kind, _, short_name = name.partition("/")
        if f"{kind}/" == SERVICE_PREFIX:
            self.weighted_sites.pop(short_name, None)
            if body is not None:
                weights = body["spread"].items()
                self.weighted_sites[short_name] = frozenset(s for s, w in weights if w > 0)
        elif f"{kind}/" == SITE_PREFIX:
            _set_presence(self.sites, short_name, body is not None)
            _set_presence(self.drained, short_name, body is not None and body.get("drain", False))


def _set_presence(names: set[str], name: str, present: bool) -> None:
    if present:
        names.add(name)
    else:
        names.discard(name)


@dataclass(frozen=True, slots=True)
class Documents:
    """The aggregate of the base document, its services and all overlays.

    Operators write the services inside the base file. Here each service is a separate document,
    so that changes to different services do not conflict and a team can own a single service. A
    document is a plain mapping whose types a border model has validated. This class checks the
    rules that span several documents: references resolve, and weights and overlays fit the base.

    Attributes:
        by_name: Documents by name: "base", "services/<service>" and "sites/<site>".
    """

    by_name: dict[str, Document] = field(default_factory=dict)
    _index: _NameIndex = field(default_factory=_NameIndex, init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        for name, body in self.by_name.items():
            self._index.update(name, body)

    def apply(self, edits: dict[str, Document | None]) -> Documents:
        """Returns the documents after the edits; a body of None removes a document."""
        by_name, index = self.by_name.copy(), self._index.copy()
        for name, body in edits.items():
            index.update(name, body)
            if body is None:
                by_name.pop(name, None)
            else:
                by_name[name] = body
        edited = Documents()
        object.__setattr__(edited, "by_name", by_name)
        object.__setattr__(edited, "_index", index)
        return edited

    def render(self, previous: Plan | None = None) -> Plan:
        """Returns the plan that results from merging the overlays into the base.

        Args:
            previous: A previous plan; its client blocks are not validated again if they are the
                same object.

        Raises:
            InvalidConfiguration: If a rule is broken; lists each with its document and key.
        """
        faults = self.find_faults(valid_blocks=previous.client_blocks if previous else None)
        if faults:
            raise InvalidConfiguration(faults)
        base = self.by_name[BASE]
        overlays = self._select_by_prefix(SITE_PREFIX)
        return Plan(
            entry_vms=base["entry_vms"],
            lookup_ttl_s=base["lookup_ttl_s"],
            approval_required=base.get("approval", "none") == "required",
            regions={name: tuple(body["zones"]) for name, body in base["regions"].items()},
            links=tuple(_build_link(link) for link in base.get("links", [])),
            client_blocks=ClientBlocks(base.get("client_blocks", ())),
            sites={
                name: Site(name, overlay["zone"], overlay.get("drain", False))
                for name, overlay in overlays.items()
            },
            services={
                name: _build_service(name, body, overlays)
                for name, body in self._select_by_prefix(SERVICE_PREFIX).items()
            },
        )

    def find_faults(
        self, edited: Collection[str] | None = None, valid_blocks: ClientBlocks | None = None
    ) -> list[str]:
        """Returns one message for each broken rule.

        Args:
            edited: Names of the documents that have changed since the last valid state. Rules
                that they cannot break are skipped. By default every rule is checked.
            valid_blocks: Client blocks that are known to be valid.
        """
        base = self.by_name.get(BASE)
        if base is None:
            return ["base: expected a base document"]
        index = self._index
        zones = {zone for region in base["regions"].values() for zone in region["zones"]}
        services, sites = self._select_affected(edited, index)
        faults = []
        if edited is None or BASE in edited:
            faults += _find_base_faults(base)
            blocks = ClientBlocks(base.get("client_blocks", ()))
            if valid_blocks is None or blocks.records is not valid_blocks.records:
                faults += _find_block_faults(blocks, set(base["regions"]))
        for name in sorted(services):
            body = self.by_name[f"{SERVICE_PREFIX}{name}"]
            faults += _find_service_faults(name, body, base, index.sites)
        for name in sorted(sites):
            body = self.by_name[f"{SITE_PREFIX}{name}"]
            faults += _find_overlay_faults(name, body, zones, index.services)
        # A drained site can leave any service without a usable site.
        drain_edited = any(name.removeprefix(SITE_PREFIX) in index.drained for name in edited or ())
        for name in sorted(index.services if drain_edited else services):
            if index.weighted_sites[name] <= index.drained:
                faults.append(
                    f"services/{name}: spread: expected a site with a weight above 0 that is not "
                    "drained"
                )
        return faults

    def _select_affected(
        self, edited: Collection[str] | None, index: _NameIndex
    ) -> tuple[set[str], set[str]]:
        """Returns the services and the sites whose rules the edits can break."""
        if edited is None or BASE in edited:
            return index.services, index.sites
        services = {name.removeprefix(SERVICE_PREFIX) for name in edited} & index.services
        sites = {name.removeprefix(SITE_PREFIX) for name in edited} & index.sites
        # Removing a document can break the documents that refer to it.
        removed = [name for name in edited if name not in self.by_name]
        if any(name.startswith(SITE_PREFIX) for name in removed):
            services = index.services
        if any(name.startswith(SERVICE_PREFIX) for name in removed):
            sites = index.sites
        return services, sites

    def _select_by_prefix(self, prefix: str) -> dict[str, Document]:
        return {
            name.removeprefix(prefix): body
            for name, body in sorted(self.by_name.items())
            if name.startswith(prefix)
        }


def merge_overlay(service: Document, overlay: Document) -> Document:
    """Returns the settings of a service at a site; the overlay's values take precedence.

    Example:
        >>> merge_overlay({"slots": 3, "connections": 400}, {"slots": 2})
        {'slots': 2, 'connections': 400}
    """
    return {**service, **{key: value for key, value in overlay.items() if value is not None}}


def _find_base_faults(base: Document) -> list[str]:
    faults = []
    regions = set(base["regions"])
    zones = [zone for region in base["regions"].values() for zone in region["zones"]]
    for zone in sorted({zone for zone in zones if zones.count(zone) > 1}):
        faults.append(f"base: regions: zone {zone!r} is listed twice")
    for index, link in enumerate(base.get("links", [])):
        if not set(link["between"]) <= regions or len(set(link["between"])) != 2:
            faults.append(f"base: links[{index}].between: expected two of {sorted(regions)}")
    return faults


def _find_block_faults(blocks: ClientBlocks, regions: set[str]) -> list[str]:
    faults = []
    seen: set[str] = set()
    for index, (prefix, region) in enumerate(blocks):
        location = f"base: client_blocks[{index}]"
        if region not in regions:
            faults.append(f"{location}.region: expected one of {sorted(regions)}")
        if prefix in seen:
            faults.append(f"{location}.prefix: {prefix} is listed twice")
        if ":" in prefix and int(prefix.partition("/")[2] or 128) > MAX_IPV6_PREFIX_BITS:
            faults.append(
                f"{location}.prefix: expected an IPv6 prefix of at most {MAX_IPV6_PREFIX_BITS} bits"
            )
        seen.add(prefix)
    return faults


def _find_service_faults(
    name: str, service: Document, base: Document, sites: set[str]
) -> list[str]:
    faults = _find_spread_faults(f"services/{name}: spread", service["spread"], sites)
    for region, spread in service.get("regional_spread", {}).items():
        location = f"services/{name}: regional_spread.{region}"
        if region not in base["regions"]:
            faults.append(f"{location}: expected one of {sorted(base['regions'])}")
        faults += _find_spread_faults(location, spread, sites)
    if service["shift"]["cap_rps"] < base["entry_vms"]:
        faults.append(
            f"services/{name}: shift.cap_rps: expected at least entry_vms ({base['entry_vms']}), "
            "because each VM moves a whole number of requests"
        )
    return faults


def _find_spread_faults(location: str, spread: dict[str, float], sites: set[str]) -> list[str]:
    faults = [
        f"{location}.{site}: expected a site with an overlay"
        for site in sorted(set(spread) - sites)
    ]
    if not any(weight > 0 for weight in spread.values()):
        faults.append(f"{location}: expected a weight above 0")
    return faults


def _find_overlay_faults(
    name: str, overlay: Document, zones: set[str], services: set[str]
) -> list[str]:
    faults = []
    if overlay["site"] != name:
        faults.append(
            f"sites/{name}: site: expected {name!r}, an overlay can only change its own site"
        )
    if overlay["zone"] not in zones:
        faults.append(f"sites/{name}: zone: expected one of {sorted(zones)}")
    for service in sorted(set(overlay.get("services", {})) - services):
        faults.append(f"sites/{name}: services.{service}: expected a service of the base")
    return faults


def _build_link(body: Document) -> Link:
    first, second = sorted(body["between"])
    return Link((first, second), body["gbit_s"], body["latency_ms"])


def _build_service(name: str, body: Document, overlays: dict[str, Document]) -> Service:
    capacity = {}
    # A site that traffic is shifted away from keeps its slots, because the cap leaves the excess
    # traffic there.
    for site, overlay in overlays.items():
        merged = merge_overlay(body, overlay.get("services", {}).get(name, {}))
        capacity[site] = SiteCapacity(merged["slots"], merged["connections"])
    routes = tuple(
        Route(
            route["prefix"],
            RequestClass(route.get("request_class", body["request_class"])),
            route.get("deadline_ms", body["deadline_ms"]),
        )
        for route in body.get("routes", [])
    )
    return Service(
        name=name,
        idempotent=body["idempotent"],
        request_class=RequestClass(body["request_class"]),
        deadline_ms=body["deadline_ms"],
        spread=dict(body["spread"]),
        capacity=capacity,
        shift=ShiftLimits(**body["shift"]),
        regional_spread=body.get("regional_spread", {}),
        claims=body.get("claims", "store") == "store",
        routes=routes,
        selection=body.get("selection", "permits"),
        answer_bytes=body.get("answer_bytes") or DEFAULT_ANSWER_BYTES[body["request_class"]],
    )

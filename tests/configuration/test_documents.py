"""Tests of the configuration documents and the plan rendered from them."""

from __future__ import annotations

from copy import deepcopy
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarfork.configuration import Documents
from briarfork.errors import InvalidConfiguration
from tests.steering.plans import SERVICE
from tests.steering.plans import build_base
from tests.steering.plans import build_service
from tests.steering.plans import build_sites

SITES = ["a", "b", "c"]
NAME = f"services/{SERVICE}"
OVERLAYS = st.fixed_dictionaries(
    {},
    optional={
        "drain": st.booleans(),
        "services": st.just({})
        | st.fixed_dictionaries(
            {},
            optional={
                SERVICE: st.fixed_dictionaries(
                    {}, optional={"slots": st.integers(1, 9), "connections": st.integers(1, 9)}
                )
            },
        ),
    },
)


def build_documents() -> dict[str, Any]:
    service = build_service(dict.fromkeys(SITES, 1.0), 100, 10)
    return {"base": build_base(SITES, 12), NAME: service, **build_sites(*SITES)}


class TestOverlay:
    @given(OVERLAYS, st.sampled_from(SITES))
    def test_changes_only_its_own_site(self, fields: dict[str, Any], site: str) -> None:
        """Guards against an overlay that affects the settings of other sites."""
        documents = Documents(build_documents())
        edited = documents.apply({f"sites/{site}": {"site": site, "zone": site, **fields}})
        before, after = documents.render(), edited.render()
        for other in set(SITES) - {site}:
            assert after.sites[other] == before.sites[other]
            capacity = after.services[SERVICE].capacity
            assert capacity[other] == before.services[SERVICE].capacity[other]
        assert after.services[SERVICE].spread == before.services[SERVICE].spread
        assert (after.regions, after.entry_vms) == (before.regions, before.entry_vms)

    def test_of_another_site_is_refused(self) -> None:
        """Guards against an overlay that names a site other than its own."""
        documents = build_documents()
        documents["sites/a"]["site"] = "b"
        with pytest.raises(InvalidConfiguration, match="sites/a: site"):
            Documents(documents).render()


class TestFaults:
    def test_lists_more_than_one(self) -> None:
        """Guards against validation that reports only the first fault of a submission."""
        documents = deepcopy(build_documents())
        documents["base"]["client_blocks"] = [
            {"prefix": "10.0.0.0/8", "region": "nowhere"},
            {"prefix": "10.0.0.0/8", "region": "r0"},
            {"prefix": "2001:db8::/65", "region": "r0"},
        ]
        documents[NAME]["spread"] = {"a": 1, "z": 1}
        documents[NAME]["shift"]["cap_rps"] = 1
        documents["sites/b"]["zone"] = "elsewhere"
        with pytest.raises(InvalidConfiguration) as caught:
            Documents(documents).render()
        for place in (
            "client_blocks[0].region",
            "client_blocks[1].prefix",
            "client_blocks[2].prefix",
            f"{NAME}: spread.z",
            f"{NAME}: shift.cap_rps",
            "sites/b: zone",
        ):
            assert any(place in fault for fault in caught.value.faults), place

    def test_names_a_spread_whose_sites_are_all_drained(self) -> None:
        """Guards against a drain that leaves a service without a site."""
        documents = build_documents() | build_sites(*SITES, drain=True)
        with pytest.raises(InvalidConfiguration, match="not drained"):
            Documents(documents).render()

    def test_are_found_in_blocks_that_have_changed(self) -> None:
        """Guards against changed client blocks that skip validation."""
        documents = Documents(build_documents())
        plan = documents.render()
        assert documents.render(plan).client_blocks.is_same(plan.client_blocks)
        base = build_base(SITES, 12, client_blocks=[{"prefix": "10.0.0.0/8", "region": "r9"}])
        with pytest.raises(InvalidConfiguration, match="client_blocks"):
            documents.apply({"base": base}).render(plan)

    def test_drained_sites_concern_every_service(self) -> None:
        """Guards against a drain that is validated against a single service only."""
        documents = Documents({**build_documents(), "services/other": build_documents()[NAME]})
        drained = documents.apply(build_sites(*SITES, drain=True))
        faults = drained.find_faults()
        assert [fault.partition(":")[0] for fault in faults] == sorted([NAME, "services/other"])
        assert drained.find_faults(edited=["sites/a"]) == faults

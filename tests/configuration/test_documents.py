"""Rules of the operators' documents that need more than one of them."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from briarfork.border.files import load_documents

if TYPE_CHECKING:
    from briarfork.configuration import Document
    from briarfork.configuration import Documents

ESTONIA = Path(__file__).parent.parent.parent / "examples" / "estonia"


def drain(documents: Documents, *sites: str) -> Documents:
    edits: dict[str, Document | None] = {}
    for site in sites:
        edits[f"sites/{site}"] = {**documents.by_name[f"sites/{site}"], "drain": True}
    return documents.apply(edits)


class TestFindFaults:
    def test_refuses_to_drain_every_site_of_any_service(self) -> None:
        """Guards against an accepted change that leaves a service without a site."""
        documents = load_documents(ESTONIA)
        sites = [name.removeprefix("sites/") for name in documents.by_name if "sites/" in name]
        drained = drain(documents, *sites)
        services = [name for name in documents.by_name if name.startswith("services/")]
        faults = drained.find_faults()
        assert [fault.partition(":")[0] for fault in faults] == sorted(services)
        assert drained.find_faults(edited=["sites/north-a"]) == faults
        assert drain(documents, *sites[1:]).find_faults() == []

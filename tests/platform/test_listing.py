"""Tests of listings that are applied page by page while changes go on."""

from __future__ import annotations

import json
import tempfile
from base64 import b64encode
from pathlib import Path
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from briarfork.border.events import EventLog
from briarfork.platform import names
from briarfork.platform.listing import LAST_KEY
from briarfork.platform.listing import Page
from briarfork.platform.store_contents import StoreContents
from briarfork.platform.store_entries import read_entries
from briarfork.platform.store_era import StorePosition
from briarfork.platform.store_health import StoreHealth
from briarfork.platform.store_messages import Item
from tests.platform.test_store_era import build_gateway
from tests.platform.test_store_era import load_settings
from tests.platform.test_watcher import build_entry

if TYPE_CHECKING:
    from collections.abc import Iterable

ERA = 1
ZONES = ("a", "b")
SERVERS = ("i-1", "i-2", "i-3")
KEYS = [names.EVACUATION_PREFIX + zone for zone in ZONES] + [
    names.SERVER_PREFIX + server for server in SERVERS
]
WRITES = st.tuples(st.sampled_from(["write", "delete"]), st.sampled_from(KEYS))
# A step writes or deletes a key, requests or applies the next page, or applies changes.
STEPS = st.lists(
    st.one_of(WRITES, st.tuples(st.sampled_from(["page", "change", "all_changes"]), st.just(""))),
    min_size=10,
    max_size=40,
)


class StoreModel:
    """A store, one VM that lists its keys one by one, and the changes that a watch returns."""

    def __init__(self, contents: StoreContents) -> None:
        self._contents = contents
        self._items: dict[str, Item] = {}
        self._changes: list[Item] = []
        self._revision = 10
        self._position: StorePosition | None = None
        self._listed_key = ""
        self._requested: Page | None = None
        self._is_followed = False
        self.is_listed = False

    @property
    def keys(self) -> set[str]:
        return set(self._items)

    def write(self, key: str) -> None:
        self._revision += 1
        # Each write of a server is that of a new process, which no older entry may overrule.
        entry = build_entry(1, born=self._revision)
        value = b64encode(json.dumps(entry).encode()).decode()
        self._items[key] = Item(key, self._revision, value)
        self._changes.append(self._items[key])

    def delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._changes.append(Item(key, self._revision, deleted=True))

    def list_at_once(self) -> None:
        """Applies a listing of one page."""
        position = StorePosition(ERA, self._revision)
        entries = read_entries(self._items.values())
        self._contents.apply_page(Page(entries, LAST_KEY, position, True, True))

    def page(self) -> None:
        """Requests the next page, or applies the one that was requested."""
        if self._requested is not None:
            self._contents.apply_page(self._requested)
            self.is_listed, self._requested = self._requested.is_last, None
            self._is_followed = True
        elif not self.is_listed:
            self._requested = self._read_page()

    def change(self) -> None:
        """Applies the next change after the first page."""
        if self._is_followed and self._changes:
            self._contents.apply(read_entries([self._changes.pop(0)]))

    def all_changes(self) -> None:
        """Applies all changes after the first page so far."""
        while self._is_followed and self._changes:
            self.change()

    def finish(self) -> None:
        """Applies all pages and then all changes."""
        while not self.is_listed:
            self.page()
        self.all_changes()

    def _read_page(self) -> Page:
        is_first = self._position is None
        if self._position is None:
            self._position = StorePosition(ERA, self._revision)
            self._changes.clear()
        left = sorted(key for key in self._items if key > self._listed_key)
        entries = read_entries(self._items[key] for key in left[:1])
        self._listed_key = left[0] if len(left) > 1 else LAST_KEY
        return Page(entries, self._listed_key, self._position, is_first, len(left) <= 1)


def run_steps(model: StoreModel, steps: Iterable[tuple[str, str]]) -> None:
    for name, key in steps:
        getattr(model, name)(*([key] if key else []))


class TestListing:
    @given(before=st.sets(st.sampled_from(KEYS)), missed=st.lists(WRITES), during=STEPS)
    def test_vm_knows_what_the_store_holds(
        self,
        before: set[str],
        missed: list[tuple[str, str]],
        during: list[tuple[str, str]],
    ) -> None:
        """Guards against a change during a listing that a page overrules, or that ends a server."""
        events = EventLog("test")
        with tempfile.TemporaryDirectory() as folder:
            settings = load_settings(Path(folder))
        gateway = build_gateway(settings)
        contents = StoreContents(settings, gateway, StoreHealth(events), events)
        model = StoreModel(contents)
        run_steps(model, [("write", key) for key in sorted(before)])
        model.list_at_once()
        run_steps(model, missed)
        run_steps(model, during)
        model.finish()
        servers = {names.SERVER_PREFIX + name for name in gateway.view.inventory.list_names()}
        zones = {names.EVACUATION_PREFIX + zone for zone in contents.evacuations.zones}
        assert servers | zones == model.keys

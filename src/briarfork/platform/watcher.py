"""Watches the store for the configuration, evacuations, backend servers and entry VMs."""

from __future__ import annotations

import asyncio
import math
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.store import StoreUnavailable
from briarfork.hashing import hash_to_fraction
from briarfork.platform.currency import CurrencyCheck
from briarfork.platform.names import EVACUATION_PREFIX
from briarfork.platform.names import OPERATOR_PREFIX
from briarfork.platform.store import Changes
from briarfork.platform.store import ChangesTooLong
from briarfork.platform.store import HistoryUnavailable
from briarfork.platform.store_contents import StoreContents
from briarfork.platform.store_era import EraEnded
from briarfork.platform.store_era import StaleResponse
from briarfork.platform.store_era import StorePosition

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from briarfork.border.events import EventLog
    from briarfork.gateway.process import Gateway
    from briarfork.platform.listing import Page
    from briarfork.platform.settings import PlatformSettings
    from briarfork.platform.store import StoreClient

# The empty prefix matches all keys, so that one call fetches any number of changes.
ALL_KEYS = ""
RETRY_S = 0.3
# Interval at which a waiting watch is checked. Two checks and a listing fit into the time after an
# outage of the store within which a VM must be up to date.
CHECK_INTERVAL_S = 1.0
# Interval at which a watch is checked by the pages of a listing, which takes no calls.
PAGE_CHECK_INTERVAL_S = 0.25
# On a slow link, the first changes may arrive after so many pages that were requested later.
PAGES_BEFORE_CHANGES = 2
# After a restore of the store, the VMs read all keys again over this time.
ERA_SPREAD_S = 0.3
# Changes of the past are returned at once; without any, the call ends after this time.
DELETIONS_WAIT_S = 0.05


class StoreWatcher:
    """Applies the contents of the store and its changes to the gateway."""

    def __init__(
        self, settings: PlatformSettings, gateway: Gateway, store: StoreClient, events: EventLog
    ) -> None:
        self.contents = StoreContents(settings, gateway, store.health, events)
        self._events = events
        self._settings = settings
        self._store = store
        self._is_view_current = False
        # Why changes were skipped during the listing in progress, None if none were.
        self._skipped: Exception | None = None
        self._currency = CurrencyCheck()
        self._era_pause_s = ERA_SPREAD_S * hash_to_fraction(settings.common.vm)
        # Only then is it worth a call to know that the configuration is the current one.
        self._is_strict = settings.max_configuration_age_s != math.inf

    async def run(self) -> None:
        """Reads all keys, then watches for changes; starts over if a watch cannot go on."""
        while True:
            try:
                await self._list_and_follow()
            except* HistoryUnavailable:
                self._events.record(Event.HISTORY_LOST)
            except* ChangesTooLong:
                self._events.record(Event.CHANGES_TOO_LONG)
                await asyncio.sleep(RETRY_S)
            except* EraEnded:
                self._is_view_current = False
                await asyncio.sleep(self._era_pause_s)
            except* StoreUnavailable:
                self._is_view_current = False
                await asyncio.sleep(RETRY_S)

    async def _list_and_follow(self) -> None:
        """Reads all keys, and applies all changes from the first page on.

        Raises:
            EraEnded: If the era changed during the listing.
            ExceptionGroup: With ChangesTooLong, EraEnded, HistoryUnavailable or StoreUnavailable.
            StoreUnavailable: If the listing fails.
        """
        started = time.monotonic()
        self._skipped = None
        pages = self._store.list_pages(ALL_KEYS)
        first = await anext(pages)
        is_new_era = self.contents.is_new_era(first.position.era)
        self.contents.apply_page(first)
        async with asyncio.TaskGroup() as group:
            listing = group.create_task(self._finish_listing(pages, first, started))
            if first.is_last or is_new_era:
                await listing
            # A long listing may take longer than the store keeps its history.
            group.create_task(self._follow(first.position, listing))
            if self._is_strict:
                group.create_task(self._check_currency(first.position.era))

    async def _finish_listing(
        self, pages: AsyncIterator[Page], first: Page, started: float
    ) -> None:
        """Applies the pages after the first one, and what a complete listing shows.

        Raises:
            ChangesTooLong: If changes were skipped during the listing for that reason.
            EraEnded: If the era of the first page has ended.
            HistoryUnavailable: If changes were skipped during the listing for that reason.
            StoreUnavailable: If the listing fails.
        """
        async for page in pages:
            self.contents.apply_page(page)
        self._currency.record_listing(first.position.revision, started)
        self._publish_currency()
        self._is_view_current = True
        await self._read_missed_deletions(first.position)
        if self._skipped is not None:
            raise self._skipped

    async def _read_missed_deletions(self, position: StorePosition) -> None:
        """Reads whether evacuations that a listing lacks were ended since the store's restore.

        The copy may have had a key that was deleted before this VM listed it. If the store cannot
        tell, the evacuations go on.

        Raises:
            EraEnded: If the era of the position has ended.
        """
        revision = self.contents.evacuations.find_unseen_revision()
        if revision is None or revision >= position.revision:
            return
        after = StorePosition(position.era, revision)
        with suppress(ChangesTooLong, HistoryUnavailable, StoreUnavailable):
            changes = await self._store.watch(EVACUATION_PREFIX, after, wait_s=DELETIONS_WAIT_S)
            self.contents.end_unseen_evacuations(changes.entries)

    async def _follow(self, position: StorePosition, listing: asyncio.Task[None]) -> None:
        """Applies all changes after a position.

        Args:
            position: The position.
            listing: Task of the listing, which may go on meanwhile.

        Raises:
            EraEnded: If the era of the position has ended.
            ExceptionGroup: With ChangesTooLong, EraEnded, HistoryUnavailable or StoreUnavailable.
        """
        while True:
            changes = await self._wait_beside(listing, position)
            position = changes.position
            if changes.entries:
                self.contents.apply(changes.entries)
            self._currency.record_applied(position.revision)
            self._publish_currency()
            if changes.has_events:
                await self._store.era.wait_for_end(position.era, self._settings.fetch_pause_s)

    async def _wait_beside(self, listing: asyncio.Task[None], position: StorePosition) -> Changes:
        """Waits for changes; a watch that fails does not end the listing that goes on beside it.

        Otherwise a listing that takes longer than the time between two failures would never end.
        Changes that cannot be read are skipped during a listing, but for those of the operator. All
        keys are then read again after the listing.

        Raises:
            EraEnded: If the era of the position has ended.
            ExceptionGroup: With ChangesTooLong, EraEnded, HistoryUnavailable or StoreUnavailable.
        """
        while True:
            skipped: Exception | None = None
            try:
                return await self._wait_for_changes(position)
            except* (ChangesTooLong, HistoryUnavailable) as errors:
                if listing.done():
                    raise
                self._skipped = skipped = errors.exceptions[0]
            except* StoreUnavailable:
                if listing.done():
                    raise
            if skipped is not None:
                with suppress(StoreUnavailable):
                    return await self._read_operator_keys(position)
            await self._store.era.wait_for_end(position.era, RETRY_S)

    async def _wait_for_changes(self, position: StorePosition) -> Changes:
        async with asyncio.TaskGroup() as group:
            watch = group.create_task(self._store.watch(ALL_KEYS, position))
            check = group.create_task(self._check_watch(position))
            changes = await watch
            check.cancel()
        return changes

    async def _read_operator_keys(self, position: StorePosition) -> Changes:
        """Returns what the operator has written, in place of the changes after a position.

        Raises:
            EraEnded: If the era of the position has ended.
            StoreUnavailable: If the calls fail.
        """
        pages = [page async for page in self._store.list_pages(OPERATOR_PREFIX)]
        self._store.era.require(position.era)
        entries = [entry for page in pages for entry in page.entries]
        return Changes(entries, pages[0].position, has_events=True)

    async def _check_watch(self, position: StorePosition) -> None:
        """Checks that a watch after a position has no changes to return.

        An outage of the store can swallow a watch and leave its connection open. The first changes
        that a check finds may still be on their way.

        Raises:
            EraEnded: If the era of the position has ended.
            StoreUnavailable: If the watch is lost or the store does not answer.
        """
        missed_changes = False
        while True:
            checked_at = time.monotonic()
            await self._store.era.wait_for_end(position.era, CHECK_INTERVAL_S)
            if self.contents.is_listing:
                await self._check_watch_by_pages(position)
                missed_changes = False
                continue
            try:
                latest = await self._store.read_revision(position.era)
            except StaleResponse:
                # A stale read may still show the era before.
                continue
            has_changes = latest > position.revision
            if self._store.changes_received_at > checked_at:
                # The response is long and still arriving.
                has_changes = False
            if has_changes and missed_changes:
                raise self._report_lost_watch(position)
            missed_changes = has_changes

    async def _check_watch_by_pages(self, position: StorePosition) -> None:
        """Checks that a watch after a position has no changes to return, until a listing ends.

        The pages show the store's revision, and may hold up the responses to other calls.

        Raises:
            EraEnded: If the era of the position has ended.
            StoreUnavailable: If the watch is lost.
        """
        missed_at, pages_read = math.inf, 0
        while self.contents.is_listing:
            await self._store.era.wait_for_end(position.era, PAGE_CHECK_INTERVAL_S)
            now = time.monotonic()
            has_changes = self._store.page_revision > position.revision
            if not has_changes or self._store.changes_received_at > missed_at:
                missed_at = math.inf
            elif missed_at == math.inf:
                missed_at, pages_read = now, self._store.pages_read
            elif (
                now >= missed_at + CHECK_INTERVAL_S
                and self._store.pages_read >= pages_read + PAGES_BEFORE_CHANGES
            ):
                raise self._report_lost_watch(position)

    def _report_lost_watch(self, position: StorePosition) -> StoreUnavailable:
        reason = f"the watch after revision {position.revision} returned no changes"
        self._store.record_failure("/v1/kv-watch", reason)
        return StoreUnavailable(reason)

    async def _check_currency(self, era: int) -> None:
        """Reads the store's revision, so that this VM can show that its configuration is current.

        It does not depend on pauses between changes, of which a large fleet leaves none.

        Raises:
            EraEnded: If the era has ended.
        """
        while True:
            await self._store.era.wait_for_end(era, CHECK_INTERVAL_S)
            if self._currency.is_waiting:
                continue
            self._currency.begin_read(time.monotonic())
            with suppress(StoreUnavailable):
                self._currency.record_read(await self._store.read_revision(era, stale=False))
                self._publish_currency()

    def _publish_currency(self) -> None:
        self.contents.record_configuration_shown(self._currency.shown_at)

    async def expire(self) -> None:
        """Removes what was kept after an outage or a restore of the store, and uses what lasts."""
        while True:
            await asyncio.sleep(RETRY_S)
            # The grace period for registering again starts when the store is reachable again.
            if self._is_view_current:
                self.contents.expire(time.monotonic())

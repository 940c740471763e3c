"""Registration of this VM among the members under a lease."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from briarfork.border.store import StoreUnavailable
from briarfork.hashing import hash_to_fraction
from briarfork.platform.names import MEMBER_PREFIX
from briarfork.platform.registration_records import encode_member
from briarfork.platform.store import LeaseExpired
from briarfork.platform.store_era import EraEnded

if TYPE_CHECKING:
    from briarfork.membership import Member
    from briarfork.platform.settings import PlatformSettings
    from briarfork.platform.store import StoreClient
    from briarfork.platform.store_contents import StoreContents
    from briarfork.platform.store_era import Lease

# Renewals within the time-to-live of a lease, so that one may be lost.
RENEWALS_PER_LEASE = 3
RETRY_S = 0.5
# After a restore of the store, the VMs register again over this time, so that they do not all write
# at once. It leaves two calls time within the 2 s after which others may miss this VM.
ERA_SPREAD_S = 0.8
# Timeout for deleting the entry at a planned stop; otherwise it expires with the lease.
DEREGISTER_TIMEOUT_S = 0.5


class Registration:
    """Registers this VM and renews its lease."""

    def __init__(
        self, settings: PlatformSettings, store: StoreClient, contents: StoreContents, own: Member
    ) -> None:
        self._settings = settings
        self._store = store
        self._contents = contents
        self._own = own
        self._key = MEMBER_PREFIX + own.vm
        self._era_pause_s = ERA_SPREAD_S * hash_to_fraction(own.vm)
        store.era.subscribe(contents.own_entry_removed.set)

    async def run(self) -> None:
        """Keeps this VM registered until cancelled; registers again after the entry was lost."""
        while True:
            try:
                lease = await self._store.create_lease(self._settings.lease_s)
                self._contents.own_entry_removed.clear()
                await self._store.put(self._key, encode_member(self._own), lease)
                await self._renew(lease)
            except EraEnded:
                await asyncio.sleep(self._era_pause_s)
            except (StoreUnavailable, LeaseExpired):
                await asyncio.sleep(RETRY_S)

    async def deregister(self) -> None:
        """Deletes the entry at a planned stop."""
        with suppress(StoreUnavailable, LeaseExpired, TimeoutError):
            async with asyncio.timeout(DEREGISTER_TIMEOUT_S):
                await self._store.delete(self._key)

    async def _renew(self, lease: Lease) -> None:
        """Renews the lease until the entry is removed or the era of the store ends.

        Raises:
            EraEnded: If the era of the lease has ended.
            LeaseExpired: If the lease has expired.
        """
        pause_s = self._settings.lease_s / RENEWALS_PER_LEASE
        while True:
            try:
                async with asyncio.timeout(pause_s):
                    await self._contents.own_entry_removed.wait()
                self._store.era.require(lease.era)
                return
            except TimeoutError:
                await self._renew_once(lease)

    async def _renew_once(self, lease: Lease) -> None:
        with suppress(StoreUnavailable):
            # The lease may outlive an outage of the store, so a failed renewal is tried again.
            await self._store.renew_lease(lease)

"""This VM's entry among the members, kept alive by a lease."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from briarfork.border.store import StoreUnavailable
from briarfork.platform.names import MEMBER_PREFIX
from briarfork.platform.records import encode_member
from briarfork.platform.store import LeaseGone

if TYPE_CHECKING:
    from briarfork.membership import Member
    from briarfork.platform.follower import Follower
    from briarfork.platform.settings import PlatformSettings
    from briarfork.platform.store import StoreClient

# Renewals within the lifetime of a lease; one may be lost.
RENEWALS = 3
RETRY_S = 0.5
# Time for the removal of the entry at a planned stop; the lease ends it otherwise.
REMOVAL_S = 0.5


class Presence:
    """Registers this VM and renews the lease; one task keeps it."""

    def __init__(
        self, settings: PlatformSettings, store: StoreClient, follower: Follower, own: Member
    ) -> None:
        self._settings = settings
        self._store = store
        self._follower = follower
        self._own = own
        self._key = MEMBER_PREFIX + own.vm

    async def run(self) -> None:
        """Keeps the entry until cancelled; registers again after it was lost."""
        while True:
            try:
                lease = await self._store.create_lease(self._settings.lease_s)
                self._follower.own_entry_removed.clear()
                await self._store.put(self._key, encode_member(self._own), lease)
                await self._renew(lease)
            except (StoreUnavailable, LeaseGone):
                await asyncio.sleep(RETRY_S)

    async def withdraw(self) -> None:
        """Removes the entry at a planned stop."""
        with suppress(StoreUnavailable, LeaseGone, TimeoutError):
            async with asyncio.timeout(REMOVAL_S):
                await self._store.delete(self._key)

    async def _renew(self, lease: int) -> None:
        """Renews the lease until the entry is found removed.

        Raises:
            LeaseGone: If the lease has ended.
        """
        pause_s = self._settings.lease_s / RENEWALS
        while True:
            try:
                async with asyncio.timeout(pause_s):
                    await self._follower.own_entry_removed.wait()
                return
            except TimeoutError:
                await self._renew_once(lease)

    async def _renew_once(self, lease: int) -> None:
        with suppress(StoreUnavailable):
            # A lease that outlives an outage of the store goes on.
            await self._store.renew_lease(lease)

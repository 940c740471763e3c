"""The platform's list of VMs, replicated from several followers whose lists lag differently."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from briarfork.membership.digest import Digest
from briarfork.membership.digest import find_bucket
from briarfork.membership.interning import intern_values

if TYPE_CHECKING:
    from collections.abc import Iterable

LIVE = "live"
LEAVING = "leaving"
GONE = "gone"
STATE_RANKS = {LIVE: 0, LEAVING: 1, GONE: 2}

# The list of one follower may lag behind that of another by up to this time. An entry returns to
# an earlier state only after it has been listed in that state for this long.
HOLD_DOWN_S = 15.0
# A VM that is partitioned for longer may bring back a removed entry, which is removed again after
# the next hold-down time.
TOMBSTONE_TTL_S = 300.0


@dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM on the platform's list.

    Attributes:
        vm: Name of the VM.
        address: IP address.
        zone: Availability zone.
        role: Role of the VM.
        state: "live", "leaving" or "gone".
        ports: Port numbers by name.
        site: Site of a backend server, otherwise empty.
        service: Service of a backend server, otherwise empty.
    """

    vm: str
    address: str
    zone: str
    role: str
    state: str
    ports: dict[str, int]
    site: str = ""
    service: str = ""

    def __post_init__(self) -> None:
        intern_values(self)


@dataclass(frozen=True, slots=True)
class ListRecord:
    """A versioned entry of the list.

    Attributes:
        version: Incremented with every change that a follower observes.
        listed: The entry; its state is "gone" once the platform no longer lists it.
    """

    version: int
    listed: ListedVm

    def supersedes(self, other: ListRecord) -> bool:
        """Returns whether this record replaces another record of the same VM."""
        return self._precedence_key() > other._precedence_key()

    def build_digest_content(self) -> str:
        """Returns the content that enters the digest, which is the same on every VM."""
        return "|".join(str(part) for part in self._precedence_key())

    def _precedence_key(self) -> tuple[object, ...]:
        listed = self.listed
        return (
            self.version,
            STATE_RANKS.get(listed.state, 0),
            listed.address,
            sorted(listed.ports.items()),
            listed.zone,
            listed.role,
            listed.site,
            listed.service,
        )


class Directory:
    """Records of all listed VMs.

    An entry advances from live to leaving to gone as soon as a follower observes the change. It
    returns to an earlier state only after the hold-down time, because the list of another follower
    may be older.

    Attributes:
        digest: Digest of all records that are not gone.
    """

    def __init__(self) -> None:
        self.digest = Digest()
        self._records: dict[str, ListRecord] = {}
        # Ordered by time; entries are removed after the hold-down time.
        self._changed_at: dict[str, float] = {}
        self._gone_at: dict[str, float] = {}
        # Names whose entry on the list that this VM reads differs from the record.
        self._pending: set[str] = set()
        self._own_list: dict[str, ListedVm] | None = None

    @property
    def has_records(self) -> bool:
        """Whether any entry has been received."""
        return bool(self._records)

    def merge(self, records: Iterable[ListRecord], now: float) -> list[ListRecord]:
        """Merges records from another VM and returns those that changed the directory."""
        changed = []
        for record in records:
            known = self._records.get(record.listed.vm)
            if known is None or record.supersedes(known):
                self._put(record, now)
                self._update_pending(record.listed.vm)
                changed.append(record)
        return changed

    def apply_list(
        self, vms: Iterable[ListedVm], removed: Iterable[str] | None, now: float
    ) -> list[ListRecord]:
        """Applies a list that this VM has read from the platform as a follower.

        Args:
            vms: The complete list, or only the entries that changed.
            removed: Names that are no longer listed, or None if `vms` is the complete list.
            now: Time, in seconds on the monotonic clock.

        Returns:
            The records that changed.
        """
        before = self._own_list
        listed = {} if removed is None else dict(before or {})
        for vm in vms:
            known = self.find(vm.vm)
            listed[vm.vm] = known if known is not None and known == vm else vm
        for name in removed or ():
            listed.pop(name, None)
        if not listed:
            # The list contains at least this VM, so an empty list is a fault of the platform.
            return []
        self._own_list = listed
        changed_names = [
            name
            for name in listed.keys() | (before or {}).keys()
            if name not in self._records
            or (before is not None and listed.get(name) != before.get(name))
        ]
        changed = [self._advance(name, now) for name in changed_names]
        if before is None:
            changed_names = list(self._records)
        for name in changed_names:
            self._update_pending(name)
        return [record for record in changed if record is not None]

    def apply_pending(self, now: float) -> list[ListRecord]:
        """Applies entries of this VM's list that differ from their records after the hold-down.

        Expired tombstones are removed as well.

        Returns:
            The records that changed.
        """
        self._remove_expired(self._changed_at, HOLD_DOWN_S, now)
        for name in self._remove_expired(self._gone_at, TOMBSTONE_TTL_S, now):
            del self._records[name]
            self._pending.discard(name)
        changed = [
            self._store_next_version(name, self._get_observed(name), now)
            for name in sorted(self._pending)
            if name not in self._changed_at
        ]
        for record in changed:
            self._update_pending(record.listed.vm)
        return changed

    def clear_own_list(self) -> None:
        """Discards the list that this VM has read, because it is no longer a follower."""
        self._own_list = None
        self._pending.clear()

    def list_active(self) -> list[ListedVm]:
        """Returns the live and leaving VMs."""
        return [r.listed for r in self._records.values() if r.listed.state != GONE]

    def list_records(self, buckets: set[int] | None = None) -> list[ListRecord]:
        """Returns all records, or those in the given buckets of the digest."""
        return [
            record
            for name, record in self._records.items()
            if buckets is None or find_bucket(name) in buckets
        ]

    def find(self, vm: str) -> ListedVm | None:
        """Returns the entry of a VM, or None if it is not listed."""
        record = self._records.get(vm)
        return record.listed if record is not None and record.listed.state != GONE else None

    @staticmethod
    def _remove_expired(times: dict[str, float], limit_s: float, now: float) -> list[str]:
        expired = []
        for name, at in times.items():
            if now - at < limit_s:
                break
            expired.append(name)
        for name in expired:
            del times[name]
        return expired

    def _update_pending(self, name: str) -> None:
        if self._own_list is not None and self._get_observed(name) != self._records[name].listed:
            self._pending.add(name)
        else:
            self._pending.discard(name)

    def _get_observed(self, name: str) -> ListedVm:
        """Returns the entry of a VM according to the list that this VM has read."""
        listed = self._own_list or {}
        return listed[name] if name in listed else replace(self._records[name].listed, state=GONE)

    def _advance(self, name: str, now: float) -> ListRecord | None:
        known = self._records.get(name)
        observed = self._get_observed(name)
        if known is None:
            return self._store_next_version(name, observed, now)
        if STATE_RANKS.get(observed.state, 0) <= STATE_RANKS.get(known.listed.state, 0):
            return None
        return self._store_next_version(name, observed, now)

    def _store_next_version(self, name: str, listed: ListedVm, now: float) -> ListRecord:
        known = self._records.get(name)
        record = ListRecord(known.version + 1 if known else 1, listed)
        self._put(record, now)
        return record

    def _put(self, record: ListRecord, now: float) -> None:
        name = record.listed.vm
        known = self._records.get(name)
        for item in (known, record):
            if item is not None and item.listed.state != GONE:
                self.digest.toggle(name, item.build_digest_content())
        self._records[name] = record
        for times in (self._changed_at, self._gone_at):
            times.pop(name, None)
        self._changed_at[name] = now
        if record.listed.state == GONE:
            self._gone_at[name] = now

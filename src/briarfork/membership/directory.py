"""The platform's list of VMs, merged from followers whose lists lag differently."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from briarfork.membership.digest import Digest
from briarfork.membership.digest import find_bucket
from briarfork.membership.sharing import share_values

if TYPE_CHECKING:
    from collections.abc import Iterable

LIVE = "live"
LEAVING = "leaving"
GONE = "gone"
STATE_RANKS = {LIVE: 0, LEAVING: 1, GONE: 2}

# A follower's list may lag behind that of another by up to this time. An entry returns to an
# earlier state only after it has been listed so for this long.
HOLD_S = 15.0
# A VM that is cut off for longer may bring back an entry, which the next hold time removes again.
TOMBSTONE_S = 300.0


@dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM on the platform's list."""

    vm: str
    address: str
    zone: str
    role: str
    state: str
    ports: dict[str, int]
    site: str = ""
    service: str = ""

    def __post_init__(self) -> None:
        share_values(self)


@dataclass(frozen=True, slots=True)
class ListRecord:
    """An entry of the list with the number of its changes.

    Attributes:
        version: Raised with every change that a follower finds.
        listed: The entry; its state is "gone" once the platform no longer lists it.
    """

    version: int
    listed: ListedVm

    def supersedes(self, other: ListRecord) -> bool:
        """Returns whether this record takes the place of another one of the same VM."""
        return self._key() > other._key()

    def describe(self) -> str:
        """Returns the content for the digest, the same on every VM."""
        return "|".join(str(part) for part in self._key())

    def _key(self) -> tuple[object, ...]:
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

    An entry moves forward, from live to leaving to gone, as soon as a follower sees it move. It
    moves back only after the hold time, because another follower's list may be older.
    """

    def __init__(self) -> None:
        self.digest = Digest()
        self._records: dict[str, ListRecord] = {}
        # Names in order of time; only those within the hold time.
        self._changed_at: dict[str, float] = {}
        self._gone_at: dict[str, float] = {}
        # Names that the own follower lists otherwise than their records.
        self._unsettled: set[str] = set()
        self._read: dict[str, ListedVm] | None = None

    @property
    def known(self) -> bool:
        """Whether any list has been received."""
        return bool(self._records)

    def merge(self, records: Iterable[ListRecord], now: float) -> list[ListRecord]:
        """Takes records from another VM; returns those that are new."""
        changed = []
        for record in records:
            known = self._records.get(record.listed.vm)
            if known is None or record.supersedes(known):
                self._put(record, now)
                self._compare(record.listed.vm)
                changed.append(record)
        return changed

    def read(
        self, vms: Iterable[ListedVm], removed: Iterable[str] | None, now: float
    ) -> list[ListRecord]:
        """Takes what the own follower read; returns the records that changed.

        Args:
            vms: The whole list, or the entries that changed.
            removed: Names that are no longer listed; None if the list is whole.
            now: Time.
        """
        before = self._read
        listed = {} if removed is None else dict(before or {})
        for vm in vms:
            known = self.find(vm.vm)
            listed[vm.vm] = known if known is not None and known == vm else vm
        for name in removed or ():
            listed.pop(name, None)
        if not listed:
            # An empty list is a fault of the platform: this VM is alive.
            return []
        self._read = listed
        moved = [
            name
            for name in listed.keys() | (before or {}).keys()
            if name not in self._records
            or (before is not None and listed.get(name) != before.get(name))
        ]
        changed = [self._move_forward(name, now) for name in moved]
        if before is None:
            moved = list(self._records)
        for name in moved:
            self._compare(name)
        return [record for record in changed if record is not None]

    def settle(self, now: float) -> list[ListRecord]:
        """Takes over what the own follower has listed otherwise for the hold time."""
        self._drop_old(self._changed_at, HOLD_S, now)
        for name in self._drop_old(self._gone_at, TOMBSTONE_S, now):
            del self._records[name]
            self._unsettled.discard(name)
        changed = [
            self._change(name, self._describe(name), now)
            for name in sorted(self._unsettled)
            if name not in self._changed_at
        ]
        for record in changed:
            self._compare(record.listed.vm)
        return changed

    def stop_reading(self) -> None:
        """Forgets the list of the own follower, which no longer reads."""
        self._read = None
        self._unsettled.clear()

    def list_present(self) -> list[ListedVm]:
        """Returns the live and leaving VMs."""
        return [r.listed for r in self._records.values() if r.listed.state != GONE]

    def list_records(self, buckets: set[int] | None = None) -> list[ListRecord]:
        """Returns all records, or those in some buckets of the digest."""
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
    def _drop_old(times: dict[str, float], limit_s: float, now: float) -> list[str]:
        old = []
        for name, at in times.items():
            if now - at < limit_s:
                break
            old.append(name)
        for name in old:
            del times[name]
        return old

    def _compare(self, name: str) -> None:
        if self._read is not None and self._describe(name) != self._records[name].listed:
            self._unsettled.add(name)
        else:
            self._unsettled.discard(name)

    def _describe(self, name: str) -> ListedVm:
        """Returns an entry as the own follower sees it."""
        read = self._read or {}
        return read[name] if name in read else replace(self._records[name].listed, state=GONE)

    def _move_forward(self, name: str, now: float) -> ListRecord | None:
        known = self._records.get(name)
        wanted = self._describe(name)
        if known is None:
            return self._change(name, wanted, now)
        if STATE_RANKS.get(wanted.state, 0) <= STATE_RANKS.get(known.listed.state, 0):
            return None
        return self._change(name, wanted, now)

    def _change(self, name: str, listed: ListedVm, now: float) -> ListRecord:
        known = self._records.get(name)
        record = ListRecord(known.version + 1 if known else 1, listed)
        self._put(record, now)
        return record

    def _put(self, record: ListRecord, now: float) -> None:
        name = record.listed.vm
        known = self._records.get(name)
        for each in (known, record):
            if each is not None and each.listed.state != GONE:
                self.digest.toggle(name, each.describe())
        self._records[name] = record
        for times in (self._changed_at, self._gone_at):
            times.pop(name, None)
        self._changed_at[name] = now
        if record.listed.state == GONE:
            self._gone_at[name] = now

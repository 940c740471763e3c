"""Entries of servers that take effect after newer ones."""

from __future__ import annotations

import tracemalloc

import pytest

from briarfork.pools import Instance
from briarfork.pools import Inventory
from briarfork.pools import ServerReport

ENTRY_TTL_S = 4.5
CHECK_INTERVAL_S = 0.3
# The platform has up to 1,500 servers at the design size of a site.
SERVERS = 1500
MAX_BYTES_PER_REMOVED_SERVER = 1000


def build_server(sequence: int, *, born: int = 5, draining: bool = False) -> Instance:
    return Instance(
        "i-1", "s", "z", "127.0.0.1", 1, 2, draining, started_at_ms=born, sequence=sequence
    )


def build_inventory(*servers: Instance) -> Inventory:
    inventory = Inventory()
    for server in servers:
        inventory.put(server, 0.0)
    return inventory


def is_usable(inventory: Inventory) -> bool:
    return bool(inventory.list_usable("s", "z"))


def check_until(inventory: Inventory, start: float, end: float) -> None:
    """Checks the inventory at its usual interval."""
    now = start
    while now < end:
        inventory.expire(now, ENTRY_TTL_S)
        now += CHECK_INTERVAL_S
    inventory.expire(end, ENTRY_TTL_S)


class TestOlderEntry:
    def test_older_heartbeat_of_a_draining_server_is_held(self) -> None:
        """Guards against a late write that undoes a report that the server drains."""
        inventory = build_inventory(build_server(8, draining=True))
        assert not inventory.put(build_server(4), 1.0)
        assert not is_usable(inventory)
        assert inventory.put(build_server(9, draining=True), 2.0)
        check_until(inventory, 2.0, 20.0)
        assert not is_usable(inventory)

    def test_newer_heartbeat_makes_a_server_ready_again(self) -> None:
        """Guards against a server that stays out although it no longer drains."""
        inventory = build_inventory(build_server(8, draining=True))
        assert inventory.put(build_server(9), 1.0)
        assert is_usable(inventory)

    def test_entry_of_an_earlier_process_is_held(self) -> None:
        """Guards against the address and state of a process that has ended."""
        inventory = build_inventory(build_server(1, born=6, draining=True))
        assert not inventory.put(build_server(9, born=5), 1.0)
        assert not is_usable(inventory)

    def test_same_entry_read_twice_is_used(self) -> None:
        """Guards against a listing that holds back what a watch has already shown."""
        inventory = build_inventory(build_server(4))
        assert inventory.put(build_server(4), 1.0)


class TestRemovedServer:
    @pytest.mark.parametrize("sequence", [4, 1, 99], ids=["same", "lower", "higher"])
    def test_entry_of_a_removed_process_is_held(self, sequence: int) -> None:
        """Guards against a late heartbeat, when no entry is left to compare it with."""
        inventory = build_inventory(build_server(4))
        inventory.remove("i-1", store_healthy=True, now=1.0, recovered_at=0.0)
        assert not inventory.put(build_server(sequence), 2.0)
        assert not is_usable(inventory)
        assert inventory.has_left(build_server(sequence).to_server_address())

    def test_late_entry_that_expires_is_never_used(self) -> None:
        """Guards against using a late heartbeat shortly before it expires."""
        inventory = build_inventory(build_server(4))
        inventory.remove("i-1", store_healthy=True, now=1.0, recovered_at=0.0)
        inventory.put(build_server(5), 2.0)
        check_until(inventory, 2.0, 2.0 + ENTRY_TTL_S + 2.0)
        assert not is_usable(inventory)
        inventory.remove("i-1", store_healthy=True, now=9.0, recovered_at=0.0)
        check_until(inventory, 9.0, 30.0)
        assert not is_usable(inventory)

    def test_server_that_was_started_again_is_used_at_once(self) -> None:
        """Guards against a new process under the name of one that has left."""
        inventory = build_inventory(build_server(4))
        inventory.remove("i-1", store_healthy=True, now=1.0, recovered_at=0.0)
        assert inventory.put(build_server(1, born=6), 2.0)
        assert is_usable(inventory)

    def test_live_server_that_was_silent_is_back_after_a_while(self) -> None:
        """Guards against a server that is left out for good after its entry expired."""
        inventory = build_inventory(build_server(4))
        inventory.remove("i-1", store_healthy=True, now=1.0, recovered_at=0.0)
        inventory.put(build_server(9), 2.0)
        check_until(inventory, 2.0, 2.0 + 2 * ENTRY_TTL_S)
        assert is_usable(inventory)

    def test_entry_that_lapsed_in_an_outage_is_back_at_once(self) -> None:
        """Guards against a fleet that is held back after an outage of the store."""
        inventory = build_inventory(build_server(4))
        inventory.remove("i-1", store_healthy=False, now=10.0, recovered_at=10.0)
        check_until(inventory, 10.0, 11.9)
        assert inventory.put(build_server(7), 12.0)
        check_until(inventory, 12.0, 20.0)
        assert is_usable(inventory)

    def test_report_of_an_unknown_server_does_not_hold_its_first_entry(self) -> None:
        """Guards against an entry that is compared with nothing."""
        inventory = Inventory()
        inventory.record_report("i-1", ServerReport(is_leaving=True), 0.0)
        assert inventory.put(build_server(1), 1.0)

    def test_word_of_a_removed_server_keeps_its_late_entry_out(self) -> None:
        """Guards against forgetting what the last entry was when the server says that it leaves."""
        inventory = build_inventory(build_server(4))
        inventory.remove("i-1", store_healthy=True, now=1.0, recovered_at=0.0)
        inventory.record_report("i-1", ServerReport(is_leaving=True), 1.5)
        assert not inventory.put(build_server(5), 2.0)

    def test_second_late_entry_is_held_too(self) -> None:
        """Guards against remembering a server from its first removal only."""
        inventory = build_inventory(build_server(4))
        inventory.remove("i-1", store_healthy=True, now=1.0, recovered_at=0.0)
        check_until(inventory, 1.0, 55.0)
        inventory.put(build_server(5), 55.0)
        check_until(inventory, 55.0, 59.0)
        inventory.remove("i-1", store_healthy=True, now=59.0, recovered_at=0.0)
        check_until(inventory, 59.0, 65.0)
        assert not inventory.put(build_server(6), 65.0)

    def test_removed_servers_are_forgotten(self) -> None:
        """Guards against memory that grows with all servers that ever were."""
        inventory = build_inventory(build_server(4))
        inventory.remove("i-1", store_healthy=True, now=1.0, recovered_at=0.0)
        check_until(inventory, 1.0, 70.0)
        assert inventory.put(build_server(4), 70.0)

    def test_memory_of_a_fleet_that_is_replaced(self) -> None:
        """Guards against a VM that runs out of memory while all servers come and go."""
        inventory = Inventory()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for number in range(SERVERS):
            name = f"i-{number:08x}"
            server = Instance(name, "s", "z", "127.0.0.1", 1, 2, started_at_ms=10**12 + number)
            inventory.put(server, 0.0)
            inventory.remove(name, store_healthy=True, now=1.0, recovered_at=0.0)
            del server, name
        used = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        assert used <= MAX_BYTES_PER_REMOVED_SERVER * SERVERS


class TestInvalidEntry:
    def test_next_heartbeat_is_used_at_once(self) -> None:
        """Guards against a live server that is out because another writer spoiled its entry."""
        inventory = build_inventory(build_server(4))
        inventory.withdraw("i-1", 1.0)
        assert not is_usable(inventory)
        assert not inventory.put(build_server(3), 2.0)
        assert inventory.put(build_server(5), 2.5)

    def test_server_that_leaves_meanwhile_is_gone(self) -> None:
        """Guards against a late heartbeat after the removal of an entry that was invalid."""
        inventory = build_inventory(build_server(4))
        inventory.withdraw("i-1", 1.0)
        inventory.remove("i-1", store_healthy=True, now=2.0, recovered_at=0.0)
        assert not inventory.put(build_server(5), 3.0)

    def test_server_whose_invalid_entry_lapsed_in_an_outage_is_back_at_once(self) -> None:
        """Guards against taking an entry that lapsed in an outage for one that was removed."""
        inventory = build_inventory(build_server(4))
        inventory.withdraw("i-1", 1.0)
        inventory.remove("i-1", store_healthy=False, now=2.0, recovered_at=2.0)
        assert inventory.put(build_server(5), 3.0)

    def test_held_entry_that_becomes_invalid_is_not_used(self) -> None:
        """Guards against using an entry that the store no longer has."""
        inventory = build_inventory(build_server(4))
        inventory.remove("i-1", store_healthy=True, now=1.0, recovered_at=0.0)
        inventory.put(build_server(5), 2.0)
        inventory.withdraw("i-1", 3.0)
        check_until(inventory, 3.0, 20.0)
        assert not is_usable(inventory)


class TestClockSetBack:
    def test_server_whose_clock_was_set_back_is_used_after_a_while(self) -> None:
        """Guards against ignoring a server for ever because it seems to be an earlier process."""
        inventory = build_inventory(build_server(8, born=9, draining=True))
        assert not inventory.put(build_server(1, born=5), 1.0)
        check_until(inventory, 1.0, 1.0 + 2 * ENTRY_TTL_S)
        assert is_usable(inventory)
        assert inventory.put(build_server(2, born=5), 11.0)

    def test_server_that_leaves_is_not_brought_back_by_waiting(self) -> None:
        """Guards against a held entry that outlasts newer news."""
        inventory = build_inventory(build_server(8, born=9))
        inventory.put(build_server(1, born=5), 1.0)
        inventory.put(build_server(9, born=9, draining=True), 2.0)
        check_until(inventory, 2.0, 20.0)
        assert not is_usable(inventory)


class TestUnwatchedStore:
    def test_time_without_a_current_view_does_not_count(self) -> None:
        """Guards against using an entry whose removal this VM could not see."""
        inventory = build_inventory(build_server(8, draining=True))
        inventory.put(build_server(4), 1.0)
        check_until(inventory, 1.0, 2.0)
        # The store was away; its entries may be gone as soon as it answers again.
        check_until(inventory, 20.0, 22.0)
        assert not is_usable(inventory)

    def test_vm_that_has_just_started_uses_what_the_store_has(self) -> None:
        """Guards against a new VM without servers; it knows nothing that an entry could undo."""
        assert is_usable(build_inventory(build_server(4)))


class TestRestoredStore:
    """A copy brings back the entry of a server that has left, which expires there after 4.5 s."""

    def test_entry_that_two_copies_bring_back_is_not_used(self) -> None:
        """Guards against the time that an entry was listed before the second restore."""
        inventory = build_inventory(build_server(4))
        inventory.remove("i-1", store_healthy=True, now=1.0, recovered_at=0.0)
        for restored_at in (2.0, 5.0):
            inventory.begin_era(restored_at)
            assert not inventory.put(build_server(4), restored_at)
            check_until(inventory, restored_at, restored_at + 3.0)
        check_until(inventory, 8.0, 12.0)
        assert not is_usable(inventory)

    def test_entry_that_is_listed_twice_after_a_long_outage_is_not_used(self) -> None:
        """Guards against a removal that is forgotten while the entry of the copy is held."""
        inventory = build_inventory(build_server(4))
        inventory.remove("i-1", store_healthy=True, now=1.0, recovered_at=0.0)
        inventory.begin_era(100.0)
        assert not inventory.put(build_server(4), 100.0)
        check_until(inventory, 100.0, 101.0)
        assert not inventory.put(build_server(4), 101.0)
        assert not is_usable(inventory)

    def test_removal_is_forgotten_after_its_time_without_a_restore(self) -> None:
        """Guards against a server that is held back longer where the store is never restored."""
        inventory = build_inventory(build_server(4))
        inventory.remove("i-1", store_healthy=True, now=1.0, recovered_at=0.0)
        assert not inventory.put(build_server(4), 56.0)
        check_until(inventory, 56.0, 61.5)
        assert inventory.put(build_server(5), 61.5)
        assert is_usable(inventory)

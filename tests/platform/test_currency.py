"""Whether this VM has everything that the store holds."""

from __future__ import annotations

from briarfork.platform.currency import CurrencyCheck


class TestCurrencyCheck:
    def test_change_that_is_not_applied_shows_nothing(self) -> None:
        """Guards against a VM that takes an earlier configuration for the current one."""
        check = CurrencyCheck()
        check.record_listing(5, 1.0)
        check.begin_read(2.0)
        check.record_read(8)
        check.record_applied(7)
        assert (check.shown_at, check.is_waiting) == (1.0, True)
        check.record_applied(8)
        assert (check.shown_at, check.is_waiting) == (2.0, False)

    def test_older_store_shows_nothing_until_it_is_listed(self) -> None:
        """Guards against a restored store whose revisions are compared with those before."""
        check = CurrencyCheck()
        check.record_listing(9, 1.0)
        check.begin_read(2.0)
        check.record_read(6)
        assert check.shown_at == 1.0
        check.begin_read(3.0)
        check.record_read(11)
        check.record_listing(7, 4.0)
        assert (check.shown_at, check.is_waiting) == (4.0, False)

"""Tests of the linear fit and the table of the capacity program."""

from __future__ import annotations

import pytest

from tests.capacity.measurement import Series
from tests.capacity.measurement import fit_line
from tests.capacity.measurement import render_table


class TestFit:
    def test_finds_slope_intercept_and_residual(self) -> None:
        """Guards against extrapolating from a line that is not the least-squares fit."""
        line = fit_line(((0.0, 1.0), (1.0, 3.0), (2.0, 5.0)))
        assert (line.slope, line.intercept, line.residual) == pytest.approx((2.0, 1.0, 0.0))
        assert fit_line(((0.0, 1.0), (1.0, 3.0), (2.0, 2.0))).residual == pytest.approx(0.5**0.5)


class TestTable:
    def test_names_values_and_extrapolation(self) -> None:
        """Guards against a table that omits the sizes at which values were measured."""
        points = ((12.0, 24.0), (50.0, 100.0), (100.0, 200.0))
        table = render_table([Series("memory", "MB", "members", points, budget=32)])
        assert "12: 24, 50: 100, 100: 200" in table
        assert "1.24e+04 at 6200 | 32 |" in table

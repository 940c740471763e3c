"""Registry of measurements, linear fit of their points and output as a table."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from briarfork.registry import Registry

DESIGN_NODES = 6200


@dataclass(frozen=True, slots=True)
class Series:
    """Values of one quantity at three or more sizes.

    Attributes:
        quantity: Name of the quantity.
        unit: Unit of the values.
        size: What the sizes count.
        points: Pairs of size and value.
        extrapolate_to: Size that corresponds to the design size of 6,200 nodes.
        budget: Upper limit of the value at that size.
    """

    quantity: str
    unit: str
    size: str
    points: tuple[tuple[float, float], ...]
    extrapolate_to: float = DESIGN_NODES
    budget: float | None = None


@dataclass(frozen=True, slots=True)
class LinearFit:
    """Least-squares line; `residual` is the root of the mean squared residual."""

    slope: float
    intercept: float
    residual: float

    def evaluate(self, size: float) -> float:
        return self.intercept + self.slope * size


MeasureFunction = Callable[[Path], Awaitable[list[Series]]]
MEASUREMENTS: Registry[MeasureFunction] = Registry("measurement")


def fit_line(points: tuple[tuple[float, float], ...]) -> LinearFit:
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations
        if squared_deviations
        else 0.0
    )
    intercept = mean_y - slope * mean_x
    squared_residuals = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return LinearFit(slope, intercept, (squared_residuals / count) ** 0.5)


def render_table(series: list[Series]) -> str:
    head = ["quantity", "size", "values", "slope", "intercept", "residual", "at design size"]
    rows = [[*head, "budget"], ["---"] * (len(head) + 1)]
    for item in series:
        fit = fit_line(item.points)
        values = ", ".join(f"{x:g}: {y:.4g}" for x, y in item.points)
        at_design = f"{fit.evaluate(item.extrapolate_to):.4g} at {item.extrapolate_to:g}"
        budget = f"{item.budget:g}" if item.budget is not None else "-"
        numbers = [f"{number:.4g}" for number in (fit.slope, fit.intercept, fit.residual)]
        rows.append(
            [f"{item.quantity}, {item.unit}", item.size, values, *numbers, at_design, budget]
        )
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)

"""Registry of measurements, the fit of a line to their points and the table."""

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

    `extrapolate_to` is the size at the design size of 6,200 nodes, and `budget` the limit there.
    """

    quantity: str
    unit: str
    size: str
    points: tuple[tuple[float, float], ...]
    extrapolate_to: float = DESIGN_NODES
    budget: float | None = None


@dataclass(frozen=True, slots=True)
class Line:
    """Least-squares line through points, with the root of the mean squared residual."""

    slope: float
    intercept: float
    residual: float

    def value_at(self, size: float) -> float:
        return self.intercept + self.slope * size


Measure = Callable[[Path], Awaitable[list[Series]]]
MEASUREMENTS: Registry[Measure] = Registry("measurement")


def fit_line(points: tuple[tuple[float, float], ...]) -> Line:
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    intercept = mean_y - slope * mean_x
    squares = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return Line(slope, intercept, (squares / count) ** 0.5)


def render_table(series: list[Series]) -> str:
    head = ["quantity", "size", "values", "slope", "intercept", "residual", "at design size"]
    rows = [[*head, "budget"], ["---"] * (len(head) + 1)]
    for each in series:
        line = fit_line(each.points)
        values = ", ".join(f"{x:g}: {y:.4g}" for x, y in each.points)
        at_design = f"{line.value_at(each.extrapolate_to):.4g} at {each.extrapolate_to:g}"
        budget = f"{each.budget:g}" if each.budget is not None else "-"
        numbers = [f"{number:.4g}" for number in (line.slope, line.intercept, line.residual)]
        rows.append(
            [f"{each.quantity}, {each.unit}", each.size, values, *numbers, at_design, budget]
        )
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)

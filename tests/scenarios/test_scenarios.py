"""Runs the scenarios in *.scenario files against processes and stand-ins."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from tests.scenarios import expectations
from tests.scenarios.context import ScenarioContext
from tests.scenarios.language import parse_scenarios
from tests.scenarios.steps import VERBS
from tests.scenarios.steps import build_cluster

if TYPE_CHECKING:
    from tests.scenarios.language import Scenario

FOLDER = Path(__file__).parent
SETUP_VERBS = ("use", "pool")
FIRST_NETWORK = 100
# Importing the module registers the verb "expect"; the constant keeps the import in use.
EXPECTATIONS = expectations.EXPECTATIONS


def list_scenarios() -> list[object]:
    return [
        pytest.param(scenario, FIRST_NETWORK + number, id=f"{path.stem}: {scenario.name}")
        for number, path in enumerate(sorted(FOLDER.glob("*.scenario")))
        for scenario in parse_scenarios(path)
    ]


class ScenarioFailed(Exception):
    """Raised when a step fails; contains the merged timeline of the events of all processes."""


class TestScenarios:
    @pytest.mark.parametrize(("scenario", "network"), list_scenarios())
    async def test_holds(self, scenario: Scenario, network: int, tmp_path: Path) -> None:
        """Guards against the failure stated in the scenario."""
        context = ScenarioContext(tmp_path)
        setup = [step for step in scenario.steps if step.verb in SETUP_VERBS]
        for step in setup:
            await VERBS.get(step.verb)(context, step)
        async with build_cluster(context, network) as context.cluster:
            try:
                async with asyncio.TaskGroup() as context.group:
                    for step in scenario.steps[len(setup) :]:
                        await VERBS.get(step.verb)(context, step)
            except* Exception as failed:
                reason = repr(failed.exceptions[0])
                details = f"{scenario.guards}\n{reason}\n{context.merge_timeline()}"
                raise ScenarioFailed(details) from None

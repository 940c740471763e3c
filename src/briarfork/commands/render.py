"""The `briarfork render` command."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING

import yaml

from briarfork.border.files import load_documents
from briarfork.commands.command import COMMANDS
from briarfork.commands.command import Command
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    import argparse


@COMMANDS.register("render")
class Render(Command):
    """Shows the effective configuration of one site."""

    summary = "Show the configuration of one site, with its overlay merged into the base."

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the arguments of this command to its parser."""
        parser.add_argument("folder", type=Path)
        parser.add_argument("--site", required=True)

    def run(self) -> None:
        """Prints the configuration of the site as YAML.

        Raises:
            BriarforkError: With kind `bad_request` if the site does not exist.
        """
        plan = load_documents(self.arguments.folder).render()
        site = plan.sites.get(self.arguments.site)
        if site is None:
            known = ", ".join(plan.sites)
            raise BriarforkError(ErrorKind.BAD_REQUEST, f"--site: expected one of: {known}")
        services = {
            name: {
                **asdict(service.capacity[site.name]),
                "weight": service.spread.get(site.name, 0),
                "deadline_ms": service.deadline_ms,
                "request_class": service.request_class.value,
            }
            for name, service in plan.services.items()
            if site.name in service.capacity
        }
        body = {**asdict(site), "region": plan.find_region(site.zone), "services": services}
        self.print_result(body, [yaml.safe_dump(body, sort_keys=False).rstrip()])

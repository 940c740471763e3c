"""Operators' files: base.yaml and sites/<site>.yaml in one folder."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import yaml

from briarfork.border.documents import check_document
from briarfork.configuration import BASE
from briarfork.configuration import SERVICE_PREFIX
from briarfork.configuration import SITE_PREFIX
from briarfork.configuration import Documents
from briarfork.errors import InvalidConfiguration

if TYPE_CHECKING:
    from pathlib import Path

    from briarfork.configuration import Document

BASE_FILE = "base.yaml"
SITES_FOLDER = "sites"


def load_documents(folder: Path) -> Documents:
    """Reads and checks all files of a folder.

    Raises:
        InvalidConfiguration: Lists every fault with file, key and what was expected.
    """
    faults: list[str] = []
    by_name: dict[str, Document] = {}
    for name, place, body in _list_parts(folder, faults):
        try:
            by_name[name] = check_document(name, body, place)
        except InvalidConfiguration as error:
            faults += error.faults
    if faults:
        raise InvalidConfiguration(faults)
    documents = Documents(by_name)
    broken_rules = documents.find_faults()
    if broken_rules:
        raise InvalidConfiguration(broken_rules)
    return documents


def _list_parts(folder: Path, faults: list[str]) -> list[tuple[str, str, Any]]:
    """Splits the files into documents; the services of the base file are documents of their own."""
    parts: list[tuple[str, str, Any]] = []
    base = _read(folder / BASE_FILE, faults)
    if isinstance(base, dict):
        services = base.pop("services", None)
        parts.append((BASE, BASE_FILE, base))
        if isinstance(services, dict) and services:
            for name, body in services.items():
                parts.append((f"{SERVICE_PREFIX}{name}", f"{BASE_FILE}: services.{name}", body))
        else:
            faults.append(f"{BASE_FILE}: services: expected a map with at least one service")
    for path in sorted((folder / SITES_FOLDER).glob("*.yaml")):
        place = f"{SITES_FOLDER}/{path.name}"
        parts.append((f"{SITE_PREFIX}{path.stem}", place, _read(path, faults)))
    return [part for part in parts if part[2] is not None]


def _read(path: Path, faults: list[str]) -> Any:
    try:
        body = yaml.safe_load(path.read_text())
    except OSError as error:
        faults.append(f"{path.name}: expected a readable file: {error.strerror}")
        return None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        faults.append(f"{path.name}: expected YAML: {' '.join(str(error).split())}")
        return None
    if not isinstance(body, dict):
        faults.append(f"{path.name}: expected a map")
        return None
    return body

"""Loads configuration files: base.yaml and sites/<site>.yaml in one folder."""

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
    """Reads and validates all configuration files in a folder.

    Raises:
        InvalidConfiguration: Lists every error with file, key and expected value.
    """
    errors: list[str] = []
    by_name: dict[str, Document] = {}
    for name, location, body in _read_documents(folder, errors):
        try:
            by_name[name] = check_document(name, body, location)
        except InvalidConfiguration as error:
            errors += error.faults
    if errors:
        raise InvalidConfiguration(errors)
    documents = Documents(by_name)
    violations = documents.find_faults()
    if violations:
        raise InvalidConfiguration(violations)
    return documents


def _read_documents(folder: Path, errors: list[str]) -> list[tuple[str, str, Any]]:
    """Reads the documents in a folder; each service of the base file becomes its own document.

    Args:
        folder: The folder.
        errors: Receives the errors found in the files.

    Returns:
        Name, location for error messages and body of each readable document.
    """
    entries: list[tuple[str, str, Any]] = []
    base = _read_yaml(folder / BASE_FILE, errors)
    if isinstance(base, dict):
        services = base.pop("services", None)
        entries.append((BASE, BASE_FILE, base))
        if isinstance(services, dict) and services:
            for name, body in services.items():
                entries.append((f"{SERVICE_PREFIX}{name}", f"{BASE_FILE}: services.{name}", body))
        else:
            errors.append(f"{BASE_FILE}: services: expected a map with at least one service")
    for path in sorted((folder / SITES_FOLDER).glob("*.yaml")):
        location = f"{SITES_FOLDER}/{path.name}"
        entries.append((f"{SITE_PREFIX}{path.stem}", location, _read_yaml(path, errors)))
    return [entry for entry in entries if entry[2] is not None]


def _read_yaml(path: Path, errors: list[str]) -> Any:
    try:
        body = yaml.safe_load(path.read_text())
    except OSError as error:
        errors.append(f"{path.name}: expected a readable file: {error.strerror}")
        return None
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        errors.append(f"{path.name}: expected YAML: {' '.join(str(error).split())}")
        return None
    if not isinstance(body, dict):
        errors.append(f"{path.name}: expected a map")
        return None
    return body

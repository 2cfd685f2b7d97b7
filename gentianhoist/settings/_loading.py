"""Reading settings files, and saying everything that is wrong with them at once."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, ValidationError

from gentianhoist.exceptions import SettingsError
from gentianhoist.settings.core import (
    DeploymentSettings,
    EntrySettings,
    SidecarSettings,
)

_Model = TypeVar("_Model", bound=BaseModel)


def load_yaml(path: Path) -> Any:
    """Read one YAML file.

    Args:
        path: The file.

    Returns:
        Its content, as plain Python objects.

    Raises:
        ExceptionGroup: Of one `SettingsError`, if it can't be read or isn't YAML.
    """
    try:
        return yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        fault = SettingsError(path.name, "-", f"a readable file ({error.strerror})")
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        fault = SettingsError(path.name, "-", f"YAML ({error})")
    raise ExceptionGroup("settings", [fault])


def validate_content(model: type[_Model], content: Any, file_name: str) -> _Model:
    """Check content against a model.

    Args:
        model: The model.
        content: Plain Python objects.
        file_name: Name of the file, for the errors.

    Returns:
        The settings.

    Raises:
        ExceptionGroup: Of a `SettingsError` for each fault.
    """
    try:
        return model.model_validate(content)
    except ValidationError as error:
        faults = [
            SettingsError(
                file_name, ".".join(map(str, item["loc"])) or "-", item["msg"]
            )
            for item in error.errors()
        ]
    raise ExceptionGroup("settings", faults)


def load_deployment(path: Path) -> DeploymentSettings:
    """Read and check the deployment's file. Raises: see `validate_content`."""
    return validate_content(DeploymentSettings, load_yaml(path), path.name)


def load_entry(path: Path) -> tuple[EntrySettings, DeploymentSettings]:
    """Read an entry's file and the deployment's. See `validate_content` for errors."""
    settings = validate_content(EntrySettings, load_yaml(path), path.name)
    return settings, _deployment_beside(path, settings)


def load_sidecar(path: Path) -> tuple[SidecarSettings, DeploymentSettings]:
    """Read a sidecar's file and the deployment's. See `validate_content` for errors."""
    settings = validate_content(SidecarSettings, load_yaml(path), path.name)
    deployment = _deployment_beside(path, settings)
    if settings.group not in {group.name for group in deployment.groups}:
        raise ExceptionGroup(
            "settings",
            [SettingsError(path.name, "group", f"a group of {settings.deployment}")],
        )
    return settings, deployment


def _deployment_beside(
    path: Path, settings: EntrySettings | SidecarSettings
) -> DeploymentSettings:
    deployment = load_deployment(path.parent / settings.deployment)
    if settings.availability_zone not in deployment.availability_zones:
        raise ExceptionGroup(
            "settings",
            [
                SettingsError(
                    path.name,
                    "availability_zone",
                    f"one of {', '.join(deployment.availability_zones)}",
                )
            ],
        )
    return deployment

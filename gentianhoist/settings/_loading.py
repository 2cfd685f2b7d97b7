"""Loading of settings files, with all errors of a file reported together."""

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
    """Read a YAML file.

    Args:
        path: Path of the file.

    Returns:
        Content of the file as plain Python objects.

    Raises:
        ExceptionGroup: If the file can't be read or isn't valid YAML; contains one
            `SettingsError`.
    """
    try:
        return yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        settings_error = SettingsError(
            path.name, "-", f"expected a readable file ({error.strerror})"
        )
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        settings_error = SettingsError(path.name, "-", f"expected valid YAML ({error})")
    raise ExceptionGroup("settings", [settings_error])


def validate_content(model: type[_Model], content: Any, file_name: str) -> _Model:
    """Validate the content of a settings file against a settings model.

    Args:
        model: Class of the settings.
        content: Content of the file as plain Python objects.
        file_name: Name of the file, used in error messages.

    Returns:
        The validated settings.

    Raises:
        ExceptionGroup: If the content is invalid; contains a `SettingsError` for each
            error.
    """
    try:
        return model.model_validate(content)
    except ValidationError as error:
        settings_errors = [
            SettingsError(
                file_name, ".".join(map(str, item["loc"])) or "-", item["msg"]
            )
            for item in error.errors()
        ]
    raise ExceptionGroup("settings", settings_errors)


def load_deployment(path: Path) -> DeploymentSettings:
    """Load a deployment settings file.

    Args:
        path: Path of the file.

    Returns:
        The deployment settings.

    Raises:
        ExceptionGroup: If the file can't be read or is invalid; contains a
            `SettingsError` for each error.
    """
    return validate_content(DeploymentSettings, load_yaml(path), path.name)


def load_entry(path: Path) -> tuple[EntrySettings, DeploymentSettings]:
    """Load an entry settings file and the deployment settings file it names.

    Args:
        path: Path of the file. Its item `deployment` is relative to its directory.

    Returns:
        The entry settings and the deployment settings.

    Raises:
        ExceptionGroup: If a file can't be read or is invalid, or if the deployment
            lacks the availability zone; contains a `SettingsError` for each error.
    """
    settings = validate_content(EntrySettings, load_yaml(path), path.name)
    return settings, _load_deployment_of(path, settings)


def load_sidecar(path: Path) -> tuple[SidecarSettings, DeploymentSettings]:
    """Load a sidecar settings file and the deployment settings file it names.

    Args:
        path: Path of the file. Its item `deployment` is relative to its directory.

    Returns:
        The sidecar settings and the deployment settings.

    Raises:
        ExceptionGroup: If a file can't be read or is invalid, or if the deployment
            lacks the availability zone or the group; contains a `SettingsError` for
            each error.
    """
    settings = validate_content(SidecarSettings, load_yaml(path), path.name)
    deployment = _load_deployment_of(path, settings)
    if settings.group not in {group.name for group in deployment.groups}:
        raise ExceptionGroup(
            "settings",
            [
                SettingsError(
                    path.name, "group", f"expected a group of {settings.deployment}"
                )
            ],
        )
    return settings, deployment


def _load_deployment_of(
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
                    f"expected one of {', '.join(deployment.availability_zones)}",
                )
            ],
        )
    return deployment

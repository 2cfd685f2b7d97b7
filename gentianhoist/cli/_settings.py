"""Commands that check and describe settings."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from gentianhoist.cli._exit_codes import ExitCode
from gentianhoist.settings import (
    describe_settings,
    load_deployment,
    load_entry,
    load_sidecar,
    load_yaml,
)


@cappa.command(name="check")
@dataclass(kw_only=True)
class CheckCommand:
    """Check settings files; prints all errors and exits with 2 if there are any."""

    files: Annotated[
        list[Path], cappa.Arg(help="YAML files of entries, sidecars or deployments.")
    ]

    def __call__(self) -> int:
        """Check the files; returns the exit code."""
        messages = [message for file in self.files for message in _find_errors(file)]
        for message in messages:
            print(message)
        if not messages:
            print(f"{len(self.files)} files are valid")
        return ExitCode.BAD_SETTINGS if messages else ExitCode.OK


def _find_errors(file: Path) -> list[str]:
    try:
        content = load_yaml(file)
        _select_loader(content)(file)
    except ExceptionGroup as errors:
        return [str(error) for error in errors.exceptions]
    return []


def _select_loader(content: Any) -> Any:
    if isinstance(content, dict) and "backend_server_url" in content:
        return load_sidecar
    if isinstance(content, dict) and "http" in content:
        return load_entry
    return load_deployment


@cappa.command(name="settings")
@dataclass(kw_only=True)
class SettingsCommand:
    """Print all settings with type, unit, default and description."""

    describe: Annotated[bool, cappa.Arg(long=True, help="Always on.")] = True

    def __call__(self) -> int:
        """Print the settings; returns the exit code."""
        print(describe_settings())
        return ExitCode.OK

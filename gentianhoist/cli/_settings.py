"""Commands on settings."""

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
    """Check settings files; prints every fault and exits with 2 if there is one."""

    files: Annotated[list[Path], cappa.Arg(help="YAML files, of any kind.")]

    def __call__(self) -> int:
        """Check the files."""
        faults = [fault for file in self.files for fault in _faults(file)]
        for fault in faults:
            print(fault)
        if not faults:
            print(f"{len(self.files)} files are in order")
        return ExitCode.BAD_SETTINGS if faults else ExitCode.OK


def _faults(file: Path) -> list[str]:
    try:
        content = load_yaml(file)
        _loader(content)(file)
    except ExceptionGroup as group:
        return [str(error) for error in group.exceptions]
    return []


def _loader(content: Any) -> Any:
    if isinstance(content, dict) and "backend_server_url" in content:
        return load_sidecar
    if isinstance(content, dict) and "http" in content:
        return load_entry
    return load_deployment


@cappa.command(name="settings")
@dataclass(kw_only=True)
class SettingsCommand:
    """Print every item of the settings with type, unit, default and description."""

    describe: Annotated[bool, cappa.Arg(long=True, help="Describe all items.")] = True

    def __call__(self) -> int:
        """Print the items."""
        print(describe_settings())
        return ExitCode.OK

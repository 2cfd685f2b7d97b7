"""Printing every item of the settings with type, default and description."""

from __future__ import annotations

from collections.abc import Iterator
from typing import get_args

from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from gentianhoist.settings.core import (
    DeploymentSettings,
    EntrySettings,
    SidecarSettings,
)

_UNITS = {
    "_per_minute": "per minute",
    "_tokens_per_s": "tokens/s",
    "_s": "seconds",
    "_tokens": "tokens",
    "_bytes": "bytes",
    "_ratio": "ratio",
}


def describe_settings() -> str:
    """Describe every item of all three kinds of file.

    Returns:
        One line an item: path, type, unit, default, description.
    """
    lines = []
    for model in (DeploymentSettings, EntrySettings, SidecarSettings):
        lines.append(f"# {model.__name__}: {(model.__doc__ or '').strip()}")
        lines.extend(_describe_model(model, ""))
        lines.append("")
    return "\n".join(lines)


def _describe_model(model: type[BaseModel], prefix: str) -> Iterator[str]:
    for name, field in model.model_fields.items():
        path = f"{prefix}{name}"
        nested = _nested_model(field)
        if nested is not None:
            yield f"{path}: {field.description}"
            yield from _describe_model(nested, f"{path}.")
        else:
            yield f"{path} ({_kind(field)}{_unit(name)}{_default(field)}): " + (
                field.description or ""
            )


def _nested_model(field: FieldInfo) -> type[BaseModel] | None:
    for candidate in (field.annotation, *get_args(field.annotation)):
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None


def _kind(field: FieldInfo) -> str:
    return getattr(field.annotation, "__name__", str(field.annotation))


def _unit(name: str) -> str:
    for suffix, unit in _UNITS.items():
        if name.endswith(suffix):
            return f", {unit}"
    return ""


def _default(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return ", required"
    return f", default {field.default!r}"

"""Reference text of all settings items with type, unit, default and description."""

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

_UNIT_BY_NAME_SUFFIX = {
    "_per_minute": "per minute",
    "_tokens_per_s": "tokens/s",
    "_s": "seconds",
    "_tokens": "tokens",
    "_bytes": "bytes",
    "_ratio": "ratio",
}


def describe_settings() -> str:
    """Describe every item of the deployment, entry and sidecar settings files.

    Returns:
        One line per item: dotted path, type, unit, default and description.
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
            yield (
                f"{path} ({_type_name(field)}{_unit_str(name)}{_default_str(field)}): "
                + (field.description or "")
            )


def _nested_model(field: FieldInfo) -> type[BaseModel] | None:
    for candidate in (field.annotation, *get_args(field.annotation)):
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None


def _type_name(field: FieldInfo) -> str:
    return getattr(field.annotation, "__name__", str(field.annotation))


def _unit_str(name: str) -> str:
    for suffix, unit in _UNIT_BY_NAME_SUFFIX.items():
        if name.endswith(suffix):
            return f", {unit}"
    return ""


def _default_str(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return ", required"
    return f", default {field.default!r}"

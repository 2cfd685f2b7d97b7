"""Field types and the base class of all settings models."""

from __future__ import annotations

import ipaddress
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field
from pydantic.functional_validators import AfterValidator

__all__ = ["IpAddress", "Name", "Port", "PositiveSeconds", "Settings", "Sha256Hex"]


def _validate_ip_address(value: str) -> str:
    ipaddress.ip_address(value)
    return value


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
IpAddress = Annotated[str, AfterValidator(_validate_ip_address)]
Port = Annotated[int, Field(ge=1, le=65535)]
PositiveSeconds = Annotated[float, Field(gt=0)]
Sha256Hex = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class Settings(BaseModel):
    """Base class of settings models: immutable, and rejects unknown items."""

    model_config = ConfigDict(extra="forbid", frozen=True)

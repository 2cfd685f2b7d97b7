"""The operators' configuration: versioned log, replicas and freshness check."""

from gentianhoist.configuration._changes import (
    Change,
    ChangeRecord,
    DeletePreset,
    PutPreset,
    SetInstance,
    SetWeight,
    SetZone,
    SwitchPreset,
    apply_record,
    decode_record,
    encode_record,
)
from gentianhoist.configuration._confirmation import Confirmation, PeerVersionReport
from gentianhoist.configuration._identity import Identity
from gentianhoist.configuration._log import ConfigurationLog, Head
from gentianhoist.configuration._replica import ConfigurationReplica
from gentianhoist.configuration.core import (
    MINUTE_S,
    Configuration,
    EffectiveLimits,
    Preset,
    PresetSwitch,
    decode_configuration,
    encode_configuration,
    initial_configuration,
)

__all__ = [
    "MINUTE_S",
    "Change",
    "ChangeRecord",
    "Configuration",
    "ConfigurationLog",
    "ConfigurationReplica",
    "Confirmation",
    "DeletePreset",
    "Identity",
    "PeerVersionReport",
    "Preset",
    "PresetSwitch",
    "PutPreset",
    "SetInstance",
    "SetWeight",
    "SetZone",
    "SwitchPreset",
    "EffectiveLimits",
    "Head",
    "apply_record",
    "decode_configuration",
    "decode_record",
    "encode_configuration",
    "encode_record",
    "initial_configuration",
]

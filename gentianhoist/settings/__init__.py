"""Settings: YAML files checked against typed models on start."""

from gentianhoist.settings._describe import describe_settings
from gentianhoist.settings._loading import (
    load_deployment,
    load_entry,
    load_sidecar,
    load_yaml,
)
from gentianhoist.settings.core import (
    AddressSettings,
    BackendKind,
    DeploymentSettings,
    EntrySettings,
    GroupSettings,
    InstanceSettings,
    LimitSettings,
    MetricsSettings,
    ModelSettings,
    OperationSettings,
    OperatorSettings,
    OrganisationSettings,
    PlatformSettings,
    PresetSettings,
    Role,
    SidecarSettings,
    TimingSettings,
)

__all__ = [
    "AddressSettings",
    "BackendKind",
    "DeploymentSettings",
    "EntrySettings",
    "GroupSettings",
    "InstanceSettings",
    "LimitSettings",
    "MetricsSettings",
    "ModelSettings",
    "OperationSettings",
    "OperatorSettings",
    "OrganisationSettings",
    "PlatformSettings",
    "PresetSettings",
    "Role",
    "SidecarSettings",
    "TimingSettings",
    "describe_settings",
    "load_deployment",
    "load_entry",
    "load_sidecar",
    "load_yaml",
]

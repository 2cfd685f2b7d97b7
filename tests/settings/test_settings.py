"""Tests that the example settings are valid and that errors are reported together."""

from pathlib import Path

import pytest
import yaml

from gentianhoist.settings import (
    describe_settings,
    load_deployment,
    load_entry,
    load_sidecar,
)

_EXAMPLES = Path(__file__).parents[2] / "examples"
_EXAMPLE_FOLDERS = ("nadroga", "ayazkol")


@pytest.mark.parametrize("folder", _EXAMPLE_FOLDERS)
def test_examples_are_valid_and_complete(folder):
    _, deployment = load_entry(_EXAMPLES / folder / "entry.yaml")
    for name in ("sidecar-engine.yaml", "sidecar-service.yaml"):
        load_sidecar(_EXAMPLES / folder / name)
    assert len(deployment.availability_zones) == 3
    assert len(deployment.organisations) == 10
    groups = [instance.group for instance in deployment.instances]
    assert sorted(groups.count(group.name) for group in deployment.groups) == [3, 20]


def _write_deployment(tmp_path: Path, **changes) -> Path:
    content = yaml.safe_load((_EXAMPLES / "nadroga" / "deployment.yaml").read_text())
    content.update(changes)
    path = tmp_path / "deployment.yaml"
    path.write_text(yaml.safe_dump(content))
    return path


def _load_errors(load, path: Path) -> list[str]:
    with pytest.raises(ExceptionGroup) as raised:
        load(path)
    return [str(error) for error in raised.value.exceptions]


def test_all_errors_are_reported_at_once(tmp_path):
    path = _write_deployment(
        tmp_path,
        platform={"url": "http://platform.example"},
        limits={"body_bytes": -1},
        unknown_item=1,
    )
    errors = _load_errors(load_deployment, path)
    assert len(errors) == 3
    for item_path in ("platform.url", "limits.body_bytes", "unknown_item"):
        assert any(f"deployment.yaml: {item_path}: " in message for message in errors)


@pytest.mark.parametrize(
    ("changes", "expected_text"),
    [
        ({"preset_in_force": "absent"}, "unknown preset absent"),
        ({"availability_zones": ["other"]}, "unknown availability zone"),
        ({"models": []}, "unknown model"),
        ({"timing": {"confirmation_s": 9.0}}, "switch_lead_s"),
    ],
)
def test_inconsistent_items_are_reported(tmp_path, changes, expected_text):
    assert expected_text in "".join(
        _load_errors(load_deployment, _write_deployment(tmp_path, **changes))
    )


@pytest.mark.parametrize("content", ["{", "- 1", ""])
def test_invalid_settings_file_is_rejected(tmp_path, content):
    path = tmp_path / "entry.yaml"
    path.write_text(content)
    assert _load_errors(load_entry, path)


def test_missing_file_is_reported(tmp_path):
    assert "absent.yaml" in _load_errors(load_entry, tmp_path / "absent.yaml")[0]


def test_description_includes_type_unit_and_default():
    text = describe_settings()
    assert "timing.switch_lead_s (float, seconds, default 4.0)" in text
    assert "limits.short_tokens (int, tokens, default 8000)" in text

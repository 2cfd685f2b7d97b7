"""Settings files: the examples are in order, and every fault is told at once."""

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
_USERS = ("nadroga", "ayazkol")


@pytest.mark.parametrize("user", _USERS)
def test_examples_are_complete(user):
    _, deployment = load_entry(_EXAMPLES / user / "entry.yaml")
    for name in ("sidecar-engine.yaml", "sidecar-service.yaml"):
        load_sidecar(_EXAMPLES / user / name)
    assert len(deployment.availability_zones) == 3
    assert len(deployment.organisations) == 10
    groups = [instance.group for instance in deployment.instances]
    assert sorted(groups.count(group.name) for group in deployment.groups) == [3, 20]


def _broken(tmp_path: Path, **changes) -> Path:
    content = yaml.safe_load((_EXAMPLES / "nadroga" / "deployment.yaml").read_text())
    content.update(changes)
    path = tmp_path / "deployment.yaml"
    path.write_text(yaml.safe_dump(content))
    return path


def _faults(load, path: Path) -> list[str]:
    with pytest.raises(ExceptionGroup) as caught:
        load(path)
    return [str(error) for error in caught.value.exceptions]


def test_all_faults_are_told_at_once(tmp_path):
    path = _broken(
        tmp_path,
        platform={"url": "http://platform.example"},
        limits={"body_bytes": -1},
        unknown_item=1,
    )
    faults = _faults(load_deployment, path)
    assert len(faults) == 3
    for place in ("platform.url", "limits.body_bytes", "unknown_item"):
        assert any(f"deployment.yaml: {place}: " in fault for fault in faults)


@pytest.mark.parametrize(
    ("changes", "word"),
    [
        ({"preset_in_force": "absent"}, "unknown preset absent"),
        ({"availability_zones": ["other"]}, "unknown availability zone"),
        ({"models": []}, "unknown model"),
        ({"timing": {"confirmation_s": 9.0}}, "switch_lead_s"),
    ],
)
def test_inconsistent_items_are_named(tmp_path, changes, word):
    assert word in "".join(_faults(load_deployment, _broken(tmp_path, **changes)))


@pytest.mark.parametrize("content", ["{", "- 1", ""])
def test_what_is_no_settings_file_is_refused(tmp_path, content):
    path = tmp_path / "entry.yaml"
    path.write_text(content)
    assert _faults(load_entry, path)


def test_missing_file_is_named(tmp_path):
    assert "absent.yaml" in _faults(load_entry, tmp_path / "absent.yaml")[0]


def test_description_names_every_unit():
    text = describe_settings()
    assert "timing.switch_lead_s (float, seconds, default 4.0)" in text
    assert "limits.short_tokens (int, tokens, default 8000)" in text

"""The settings file that the platform writes, and what the deploy file sets beside."""

import pytest

from gentianhoist.placement import ExpectedValue, LeastOutstanding, QueueOrder
from gentianhoist_platform.settings import dispatch_policy, load_settings

_LINES = """\
node_name=edge-1
ip=10.1.0.40
zone=a
listen.frontend=10.1.0.40:8227
listen.ready=10.1.0.40:8220
internal_ports=7340,7355
platform.address=10.200.1.7:8223
"""


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text(_LINES)
    return path


def test_our_rule_unless_another_is_named(path):
    policy = dispatch_policy(load_settings(path, {}))
    assert policy.rule == ExpectedValue()
    assert policy.queue_order is QueueOrder.BY_VALUE


def test_baselines_are_named_in_the_environment(path):
    environment = {
        "GENTIANHOIST_PLACEMENT": "least_outstanding",
        "GENTIANHOIST_QUEUE": "first_come",
    }
    policy = dispatch_policy(load_settings(path, environment))
    assert policy.rule == LeastOutstanding()
    assert policy.queue_order is QueueOrder.FIRST_COME


def test_all_faults_at_once_each_with_its_field(path):
    path.write_text(_LINES.replace("node_name=edge-1\n", "heartbeat_ms=-1\n"))
    with pytest.raises(ExceptionGroup) as caught:
        load_settings(path, {"GENTIANHOIST_PLACEMENT": "best"})
    faults = " / ".join(str(fault) for fault in caught.value.exceptions)
    for field in ("node_name", "heartbeat_ms", "GENTIANHOIST_PLACEMENT"):
        assert field in faults

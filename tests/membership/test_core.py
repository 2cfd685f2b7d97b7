"""Membership: the platform's list may lag; only heartbeats decide who is live."""

from gentianhoist.membership import Member, Membership, MemberState
from gentianhoist.settings import Role
from gentianhoist.store import ListedInstance

_SUSPICION_S = 2.5


def _member(name: str) -> Member:
    return Member(name, Role.SIDECAR, "zone-a", "127.0.0.1", 1, "engines")


def _listed(name: str, *, leaving: bool = False, port: int = 1) -> ListedInstance:
    return ListedInstance(
        name, "sidecar", "zone-a", "127.0.0.1", port, "engines", leaving
    )


def _members(*names: str) -> Membership:
    return Membership("entry-0", [_member(name) for name in names], _SUSPICION_S)


def test_only_members_with_recent_heartbeats_are_available():
    members = _members("s0")
    assert members.state("s0", 0.0) is MemberState.NEW
    assert not members.is_available("s0", 0.0)
    members.record_heartbeat("s0", 1.0, is_leaving=False)
    assert members.is_available("s0", 2.0)
    assert members.state("s0", 4.0) is MemberState.SUSPECTED
    members.record_heartbeat("s0", 5.0, is_leaving=False)
    assert members.is_available("s0", 5.0)


def test_leaving_by_heartbeat_or_by_list_ends_availability():
    members = _members("s0", "s1")
    for name in ("s0", "s1"):
        members.record_heartbeat(name, 0.0, is_leaving=name == "s0")
    members.update_from_platform([_listed("s0"), _listed("s1", leaving=True)], 0.0)
    assert not members.is_available("s0", 0.1)
    assert not members.is_available("s1", 0.1)


def test_unlisted_member_is_removed_only_when_not_live():
    members = _members()
    members.update_from_platform([_listed("s0")], 0.0)
    members.record_heartbeat("s0", 1.0, is_leaving=False)
    assert members.update_from_platform([], 2.0) == []
    assert members.update_from_platform([], 10.0) == ["s0"]
    assert members.members(Role.SIDECAR) == []


def test_seeds_survive_an_empty_list():
    members = _members("s0")
    assert members.update_from_platform([], 100.0) == []
    assert [member.name for member in members.members(Role.SIDECAR)] == ["s0"]


def test_replaced_instance_is_new_again():
    members = _members("s0")
    members.record_heartbeat("s0", 0.0, is_leaving=False)
    members.update_from_platform([_listed("s0", port=2)], 0.1)
    assert members.state("s0", 0.1) is MemberState.NEW
    assert members.members(Role.SIDECAR)[0].port == 2

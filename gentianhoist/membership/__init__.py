"""Membership: other instances known from settings, the platform and heartbeats."""

from gentianhoist.membership.core import (
    Member,
    Membership,
    MemberState,
    member_from_settings,
)

__all__ = ["Member", "MemberState", "Membership", "member_from_settings"]

"""Overspend by other entries after a switch to a lower preset.

The last minute may hold more spending than the new preset allows. An entry that has
spent little must then not spend its whole part of the new preset while other entries'
spending under the old preset is still in the window.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gentianhoist.allowance._ledger import WHOLE_PPM
from gentianhoist.allowance._window import Amount
from gentianhoist.configuration import EffectiveLimits, Preset


class PeerReport(NamedTuple):
    """Another entry's report of its spending.

    Attributes:
        share_ppm: Its share of the limit, in parts per million.
        used: Amount in its sliding window.
        preset_in_force_at_s: Wall time from which the preset that it applies is in
            force. Reports under another preset than this entry's are ignored.
    """

    share_ppm: int
    used: Amount
    preset_in_force_at_s: float


def part_of(preset: Preset, share_ppm: int) -> Amount:
    """Part of a preset's limits that belongs to a share, in parts per million."""
    return Amount(
        preset.requests_per_minute * share_ppm // WHOLE_PPM,
        preset.tokens_per_minute * share_ppm // WHOLE_PPM,
    )


def excess_deduction(
    limits: EffectiveLimits, share_ppm: int, reports: Iterable[PeerReport]
) -> Amount:
    """Compute this entry's part of what others have spent beyond their parts.

    An entry without a report under the limits in force is assumed to have spent its
    whole share of the highest recent preset. Entries that have not exceeded their parts
    divide the excess among them in proportion to their shares.

    Args:
        limits: Limits in force now.
        share_ppm: This entry's share, in parts per million.
        reports: The newest report of each other entry.

    Returns:
        Amount that this entry must leave unspent.
    """
    current = [
        report
        for report in reports
        if report.preset_in_force_at_s == limits.preset_in_force_at_s
    ]
    low = limits.preset
    return Amount(
        _excess_part(
            low.requests_per_minute,
            max(preset.requests_per_minute for preset in limits.recent),
            share_ppm,
            [(report.share_ppm, report.used.requests) for report in current],
        ),
        _excess_part(
            low.tokens_per_minute,
            max(preset.tokens_per_minute for preset in limits.recent),
            share_ppm,
            [(report.share_ppm, report.used.tokens) for report in current],
        ),
    )


def _excess_part(
    low: int, high: int, share_ppm: int, reported: list[tuple[int, int]]
) -> int:
    if high <= low or share_ppm <= 0:
        return 0
    unreported_ppm = max(0, WHOLE_PPM - share_ppm - sum(share for share, _ in reported))
    overspent = -(-(high - low) * unreported_ppm // WHOLE_PPM)
    sharing_ppm = share_ppm
    for other_ppm, used in reported:
        limit = low * other_ppm // WHOLE_PPM
        if used > limit:
            overspent += used - limit
        else:
            sharing_ppm += other_ppm
    return -(-overspent * share_ppm // sharing_ppm)

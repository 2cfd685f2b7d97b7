"""After a switch to a lower preset: what others have spent beyond their part of it.

The last minute may hold more than the new preset allows. An entry that has spent
little must then not spend its whole part of the new preset while others' spending
under the old one still counts.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gentianhoist.allowance._ledger import WHOLE_PPM
from gentianhoist.allowance._window import Amount
from gentianhoist.configuration import EffectiveLimits, Preset


class PeerReport(NamedTuple):
    """What another entry said of its spending.

    Attributes:
        share_ppm: Its share, in parts per million.
        used: What its last minute holds.
        since_s: Since when its terms hold; other terms than ours tell us nothing.
    """

    share_ppm: int
    used: Amount
    since_s: float


def part_of(preset: Preset, share_ppm: int) -> Amount:
    """A share's part of a preset."""
    return Amount(
        preset.requests_per_minute * share_ppm // WHOLE_PPM,
        preset.tokens_per_minute * share_ppm // WHOLE_PPM,
    )


def excess(
    terms: EffectiveLimits, share_ppm: int, reports: Iterable[PeerReport]
) -> Amount:
    """This entry's part of what others have spent beyond theirs.

    An entry that has not reported under these terms counts as one that has spent all
    of its share of the highest recent preset. Entries that are within their part bear
    the excess in proportion to their shares.

    Args:
        terms: What holds now.
        share_ppm: This entry's share.
        reports: The newest report of each other entry.

    Returns:
        What this entry must leave unspent.
    """
    current = [report for report in reports if report.since_s == terms.since_s]
    low = terms.preset
    return Amount(
        _excess_of(
            low.requests_per_minute,
            max(preset.requests_per_minute for preset in terms.recent),
            share_ppm,
            [(report.share_ppm, report.used.requests) for report in current],
        ),
        _excess_of(
            low.tokens_per_minute,
            max(preset.tokens_per_minute for preset in terms.recent),
            share_ppm,
            [(report.share_ppm, report.used.tokens) for report in current],
        ),
    )


def _excess_of(
    low: int, high: int, share_ppm: int, spent: list[tuple[int, int]]
) -> int:
    if high <= low or share_ppm <= 0:
        return 0
    silent_ppm = max(0, WHOLE_PPM - share_ppm - sum(share for share, _ in spent))
    over = -(-(high - low) * silent_ppm // WHOLE_PPM)
    bearing_ppm = share_ppm
    for other_ppm, used in spent:
        part = low * other_ppm // WHOLE_PPM
        if used > part:
            over += used - part
        else:
            bearing_ppm += other_ppm
    return -(-over * share_ppm // bearing_ppm)

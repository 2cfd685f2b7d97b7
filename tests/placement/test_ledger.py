"""What the ledger tells its listener, from which totals over the fleet are kept."""

from collections import Counter

from hypothesis import given, strategies

from gentianhoist.placement import Commitment, CommitmentLedger


def _commitment(id_: str, server_id: str, expires_s: float) -> Commitment:
    return Commitment(
        id_, server_id, False, 0.1, 1.0, 6_000, 0.25, 1.5, 0.3, expires_s, id_[0]
    )


class _Totals:
    def __init__(self) -> None:
        self.in_use: Counter[str] = Counter()

    def commitment_added(self, commitment: Commitment, now_s: float) -> None:
        self.in_use[commitment.server_id] += 1

    def commitment_removed(self, commitment: Commitment) -> None:
        self.in_use[commitment.server_id] -= 1


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["add", "remove", "expire"]),
            strategies.sampled_from(["a1", "a2", "b1", "b2"]),
            strategies.sampled_from(["engine-1", "engine-2"]),
            strategies.integers(0, 20),
        ),
        max_size=40,
    )
)
def test_listener_keeps_the_totals_of_the_ledger(steps):
    """Repeated, lost and expired commitments must not shift the totals for good."""
    ledger, totals = CommitmentLedger(), _Totals()
    ledger.set_listener(totals)
    for step, id_, server_id, time_s in steps:
        match step:
            case "add":
                ledger.add(_commitment(id_, server_id, float(time_s)), 0.0)
            case "remove":
                ledger.remove(id_)
            case "expire":
                ledger.expire(float(time_s))
        for server in ("engine-1", "engine-2"):
            assert totals.in_use[server] == ledger.load(server).requests

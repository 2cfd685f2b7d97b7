"""An entry that the store refuses reads newer tables from its peers."""

import asyncio

from gentianhoist.fleet import (
    FeedPage,
    FeedRow,
    FollowPolicy,
    TableCopy,
    TableFollower,
    TableState,
)
from gentianhoist.store import StoreUnavailable, StoreVersion
from gentianhoist.telemetry import DecisionLog


def _page(number: int, history: int = 1) -> FeedPage:
    version = StoreVersion(history, number)
    return FeedPage([FeedRow("config", b"%d" % number, version)], version)


class RefusingStore:
    """A store that answers once and then refuses this entry until `returns_s`."""

    def __init__(self, returns_s: float) -> None:
        self.returns_s = returns_s

    async def read(self, timeout_s: float) -> FeedPage:
        return self._answer()

    async def changes(
        self, since: StoreVersion, wait_s: float, timeout_s: float
    ) -> FeedPage:
        await asyncio.sleep(wait_s)
        return self._answer()

    def _answer(self) -> FeedPage:
        now_s = asyncio.get_running_loop().time()
        if 0.0 < now_s < self.returns_s:
            raise StoreUnavailable("HTTP 503")
        return _page(5 if now_s == 0.0 else 30)


class FakePeers:
    """Peers that the store still serves; each call returns the next version."""

    def __init__(self, *versions: int) -> None:
        self.versions = list(versions)

    async def fetch_newer(self, table: str, than: StoreVersion) -> TableState | None:
        await asyncio.sleep(0.003)
        version = self.versions.pop(0) if self.versions else 0
        return TableState(_page(version)) if version else None

    async def fetch_known(self, table: str, version: StoreVersion) -> list[TableState]:
        return []


def _follow(loop, peers, returns_s: float) -> tuple[list[bytes], list[float]]:
    applied: list[bytes] = []
    regained: list[float] = []

    async def run() -> None:
        follower = TableFollower(
            "t",
            RefusingStore(returns_s),
            FollowPolicy(long_poll_s=0.5),
            lambda rows: applied.extend(row.value for row in rows),
            lambda rows: applied.extend(row.value for row in rows),
            loop,
            DecisionLog({}),
            lambda: regained.append(loop.time()),
            peers,
        )
        follower.start()
        await asyncio.sleep(returns_s + 1.0)
        await follower.close()

    loop.run(run())
    return applied, regained


class TestStoreRefusesOneEntry:
    def test_applies_newer_versions_of_peers(self, loop):
        applied, _ = _follow(loop, FakePeers(9, 14), returns_s=6.0)
        assert applied[:4] == [b"5", b"9", b"14", b"30"]

    def test_version_never_decreases(self, loop):
        applied, _ = _follow(loop, FakePeers(9, 5, 8, 9), returns_s=6.0)
        assert applied[:3] == [b"5", b"9", b"30"]

    def test_first_peer_version_counts_as_end_of_outage(self, loop):
        """Servers whose leases expired in the outage need time to register again."""
        _, regained = _follow(loop, FakePeers(9, 14), returns_s=6.0)
        assert len(regained) == 2

    def test_without_peers_waits_for_the_store(self, loop):
        applied, _ = _follow(loop, None, returns_s=6.0)
        assert applied[:2] == [b"5", b"30"]


def test_copy_keeps_the_newest():
    copy = TableCopy()
    v3, v4, v5, v6 = (StoreVersion(1, number) for number in range(3, 7))
    copy.replace(FeedPage([FeedRow("a", b"1", v3), FeedRow("b", b"2", v4)], v4), 0.0)
    copy.apply_changes([FeedRow("a", None, v5), FeedRow("c", b"3", v6)], v6)
    assert copy.rows() == [FeedRow("b", b"2", v4), FeedRow("c", b"3", v6)]
    copy.replace(FeedPage([], v5), 0.0)
    assert copy.version == v6
    assert len(copy.rows()) == 2


class TestInvalidRowsFromPeer:
    def test_table_is_still_followed(self, loop):
        applied: list[bytes] = []

        def apply_rows(rows) -> None:
            if any(row.value == b"9" for row in rows):
                raise ValueError("unreadable")
            applied.extend(row.value for row in rows)

        async def run() -> None:
            follower = TableFollower(
                "t",
                RefusingStore(6.0),
                FollowPolicy(long_poll_s=0.5),
                apply_rows,
                apply_rows,
                loop,
                DecisionLog({}),
                peers=FakePeers(9, 14),
            )
            follower.start()
            await asyncio.sleep(7.0)
            await follower.close()

        loop.run(run())
        assert applied[:3] == [b"5", b"14", b"30"]

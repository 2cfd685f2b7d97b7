"""Decoding of the server directory's rows."""

import msgspec

from gentianhoist.fleet import FeedRow, ServerState
from gentianhoist.store import StoreVersion
from gentianhoist_platform.discovery import ServerDecoder, is_older_server_row

ROW = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "state": "ready",
    "cold_left_ms": 3000,
    "sequence": 4,
    "born": 1,
}


def _row(version: StoreVersion, **changes: object) -> FeedRow:
    return FeedRow("a", msgspec.json.encode(ROW | changes), version)


class TestRestoredStore:
    """A version that is given out again names another content of the row."""

    def test_other_content_under_a_known_version_is_decoded(self):
        decoder = ServerDecoder()
        decoder.decode([_row(StoreVersion(1, 7))], 0.0)
        for version in (StoreVersion(1, 7), StoreVersion(2, 7)):
            row = _row(version, state="draining", sequence=5)
            (listing,) = decoder.decode([row], 1.0)
            assert listing.server.state is ServerState.DRAINING

    def test_same_content_does_not_make_a_server_cold_again(self):
        decoder = ServerDecoder()
        (first,) = decoder.decode([_row(StoreVersion(1, 7))], 0.0)
        (again,) = decoder.decode([_row(StoreVersion(2, 5))], 60.0)
        assert again.server == first.server
        assert again.server.cold_until_s == 3.0


class TestOtherWriters:
    # Guards against: one row that is nested too deep ends the update of all servers.
    def test_nested_row_names_no_server_and_the_others_hold(self):
        version = StoreVersion(1, 7)
        nested = b'{"sequence": %b}' % (b"[" * 1_500 + b"]" * 1_500)
        skipped = b'{"other": %b}' % (b"[" * 30_000 + b"]" * 30_000)
        rows = [
            FeedRow("odd-1", nested, version),
            FeedRow("odd-2", skipped, version),
            _row(version),
        ]
        listings = ServerDecoder().decode(rows, 0.0)
        assert [item.server is not None for item in listings] == [False, False, True]
        assert not is_older_server_row(rows[0], rows[2])
        assert not is_older_server_row(rows[2], rows[1])

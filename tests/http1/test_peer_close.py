"""What the end of a server's data says about the response before it."""

import pytest

from gentianhoist.http1._peer_close import (
    ConnectionState,
    PeerClose,
    decide_peer_close,
)

SENT = ConnectionState(False, 0)
SENDING = ConnectionState(False, 5_000)
RESET = ConnectionState(True, 5_000)


@pytest.mark.parametrize(
    ("state", "first", "waited_s", "expected"),
    [
        # Guards against: a response to a request that was read is held back.
        (SENT, SENT, 0.0, PeerClose.COMPLETE),
        (SENT, SENDING, 0.1, PeerClose.COMPLETE),
        # Guards against: a part counts as complete before the reset arrives.
        (SENDING, SENDING, 0.0, PeerClose.UNDECIDED),
        (RESET, SENDING, 0.1, PeerClose.BROKEN),
        (RESET, RESET, 0.0, PeerClose.BROKEN),
        # Guards against: a slow upload holds a complete response back.
        (ConnectionState(False, 4_000), SENDING, 0.6, PeerClose.COMPLETE),
        # Guards against: a part counts as complete as its reset is late.
        (SENDING, SENDING, 0.6, PeerClose.BROKEN),
    ],
)
def test_decision(state, first, waited_s, expected):
    assert decide_peer_close(state, first, waited_s) is expected

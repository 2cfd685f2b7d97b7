"""Tests that the pool opens channels as streams need them, and closes idle ones."""

from contextlib import ExitStack

from gentianhoist.entry._channels import ChannelPool


async def test_streams_per_channel_stay_below_peer_limit():
    """Guards against heartbeats that starve behind queued streams.

    With 500 streams on five connections, the heartbeats on them starved.
    """
    pool = ChannelPool("127.0.0.1", 1)
    with ExitStack() as stack:
        channels = [stack.enter_context(pool.acquire()) for _ in range(200)]
        assert max(channel.stream_count for channel in channels) < 100
        assert len(pool) == 3
    assert len(pool) == 1
    pool.close()
    assert len(pool) == 0


async def test_silent_connection_gets_no_new_stream():
    pool = ChannelPool("127.0.0.1", 1)
    with pool.acquire() as discarded:
        pool.discard(discarded)
        with pool.acquire() as opened:
            assert opened is not discarded
    pool.close()

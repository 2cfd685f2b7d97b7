"""Connections are opened as streams need them, and closed again."""

from contextlib import ExitStack

from gentianhoist.entry._channels import ChannelPool


async def test_no_connection_bears_more_streams_than_http2_allows():
    """Found by 500 streams on five connections, whose heartbeats then starved."""
    pool = ChannelPool("127.0.0.1", 1)
    with ExitStack() as stack:
        lines = [stack.enter_context(pool.acquire()) for _ in range(200)]
        assert max(line.stream_count for line in lines) < 100
        assert len(pool) == 3
    assert len(pool) == 1
    pool.close()
    assert len(pool) == 0


async def test_silent_connection_gets_no_new_stream():
    pool = ChannelPool("127.0.0.1", 1)
    with pool.acquire() as silent:
        pool.discard(silent)
        with pool.acquire() as fresh:
            assert fresh is not silent
    pool.close()

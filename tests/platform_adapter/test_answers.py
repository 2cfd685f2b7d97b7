"""Responses of servers without a length, broken off, or without an end."""

import asyncio
import time
from collections import Counter

import aiohttp
import pytest

from gentianhoist_platform.standins import RawResponse
from tests.turn_monitor import PASS_S, TurnMonitor

STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (i, i) for i in range(1, 6))
SECOND_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: s1\r\nServer-Seal: s\r\n"
PROMPT = {"Token_Count": "5000,100"}
# Less than the caller's timeout, which a response without an end must not use up.
PROMPT_FAILURE_S = 1.5


def set_raw(deployment, raw: RawResponse, *ids: str) -> None:
    for id_ in ids:
        deployment.servers[id_].faults.raw_response = raw


class TestWithoutLength:
    """The response has neither a length nor chunks, and ends with its connection."""

    async def test_response_is_complete_at_the_close(self, deployment):
        set_raw(deployment, RawResponse(b"done"), "d0", "d1")
        status, headers, body = await deployment.send("/press/x", "p1")
        assert (status, body) == (200, b"done")
        assert headers["Content-Length"] == "4"

    async def test_stream_is_complete_at_the_close(self, deployment):
        set_raw(deployment, RawResponse(STREAM), "e0", "e1")
        status, _, body = await deployment.send("/brief/x", "s1", **PROMPT)
        assert (status, body) == (200, STREAM)

    # Guards against: the head of a second response is passed on as events.
    @pytest.mark.parametrize(
        "second",
        [
            SECOND_HEAD + b"Content-Length: 6\r\n\r\nsecond",
            SECOND_HEAD + b"Content-Length: %d\r\n\r\n" % len(STREAM) + STREAM,
            SECOND_HEAD + b"Content-Length: 99\r\n\r\n" + STREAM[:20],
            SECOND_HEAD + b"Transfer-Encoding: chunked\r\n\r\n6\r\nsecond\r\n0\r\n\r\n",
            SECOND_HEAD + b"\r\n" + STREAM,
            b"HTTP/1.1 103 Early\r\n\r\n" + SECOND_HEAD + b"\r\n" + STREAM,
            b"HTTP/1.1 204 No Content"
            + SECOND_HEAD.removeprefix(b"HTTP/1.1 200 OK")
            + b"\r\n",
        ],
        ids=["length", "same", "broken off", "chunked", "close", "after 103", "204"],
    )
    async def test_stream_ends_before_a_second_response(self, deployment, second):
        set_raw(deployment, RawResponse(STREAM + second), "e0", "e1")
        status, _, body = await deployment.send("/brief/x", "s1", **PROMPT)
        assert (status, body) == (200, STREAM)

    # Guards against: the head of a second response is passed on in the body.
    async def test_response_ends_before_a_second_response(self, deployment):
        second = SECOND_HEAD + b"Content-Length: 6\r\n\r\nsecond"
        set_raw(deployment, RawResponse(b"done" + second), "d0", "d1")
        status, headers, body = await deployment.send("/press/x", "s1")
        assert (status, body) == (200, b"done")
        assert headers["Content-Length"] == "4"

    # Guards against: events whose ids repeat are missing in the server's body.
    async def test_stream_with_repeated_ids_is_passed_on(self, deployment):
        set_raw(deployment, RawResponse(STREAM * 2), "e0", "e1")
        status, _, body = await deployment.send("/brief/x", "s1", **PROMPT)
        assert (status, body) == (200, STREAM * 2)

    async def test_response_that_is_reset_is_not_complete(self, deployment):
        set_raw(deployment, RawResponse(b"do", is_reset=True), "d0", "d1")
        status, _, _ = await deployment.send("/press/x", "p1")
        assert status == 502
        runs = [server.runs["p1"] for server in deployment.servers.values()]
        assert sum(runs) == 1

    async def test_response_that_is_reset_is_repeated_elsewhere(self, deployment):
        set_raw(deployment, RawResponse(b"do", is_reset=True), "d0")
        for number in range(4):
            status, _, body = await deployment.send("/look/x", f"l{number}")
            assert (status, body) == (200, b"done")

    @pytest.mark.parametrize("is_reset", [False, True])
    @pytest.mark.parametrize("cut", [len(STREAM) - 1, len(STREAM) - 9, 20, 3])
    async def test_stream_that_ends_inside_an_event_is_resumed(
        self, deployment, cut, is_reset
    ):
        # Guards against: a stream that was broken off is passed on as complete.
        set_raw(deployment, RawResponse(STREAM[:cut], is_reset=is_reset), "e0")
        for number in range(4):
            status, _, body = await deployment.send("/brief/x", f"s{number}", **PROMPT)
            assert (status, body) == (200, STREAM)


class TestWithGap:
    """Another engine goes on later than after the last event passed on."""

    # Guards against: a resumed stream lacks an event and looks complete.
    async def test_resumed_stream_is_broken_off(self, deployment):
        deployment.servers["e0"].faults.cut_after_events = 2
        later = b"".join(STREAM.partition(b"id: 4")[1:])
        set_raw(deployment, RawResponse(later), "e1")
        for number in range(40):
            try:
                response = await deployment.send("/brief/x", f"s{number}", **PROMPT)
            except aiohttp.ClientError:
                return
            # The whole body of the other engine.
            assert response[2] == later
        pytest.fail("no stream began at the engine that cuts it")


class TestWithoutEnd:
    """The server sends bytes that are no response until its caller closes."""

    @pytest.mark.parametrize("repeated", [b"a" * 1000, b"data: x\n" * 100])
    async def test_stream_is_resumed_elsewhere(self, deployment, repeated):
        set_raw(deployment, RawResponse(STREAM[:20], repeated), "e0")
        for number in range(3):
            status, _, body = await deployment.send("/brief/x", f"s{number}", **PROMPT)
            assert (status, body) == (200, STREAM)

    # Guards against: such lines keep the entry from all other requests for seconds.
    @pytest.mark.usefixtures("heap_of_its_own")
    @pytest.mark.parametrize("begin", [b"", STREAM[:20]])
    @pytest.mark.parametrize("repeated", [b"\n" * 65_536, b":\n\n" * 20_000])
    async def test_other_requests_are_served_meanwhile(
        self, deployment, begin, repeated
    ):
        set_raw(deployment, RawResponse(begin, repeated), "e0", "e1")
        streams = [
            asyncio.ensure_future(deployment.send("/brief/x", f"b{number}", **PROMPT))
            for number in range(2)
        ]
        monitor = TurnMonitor()
        for number in range(20):
            status, _, _ = await asyncio.wait_for(
                deployment.send("/look/x", f"m{number}"), PROMPT_FAILURE_S
            )
            assert status == 200
            await asyncio.sleep(0.02)
        await asyncio.gather(*streams, return_exceptions=True)
        monitor.close()
        assert monitor.longest_s < PASS_S

    # Guards against: a number that is too long for an integer fails the request.
    async def test_stream_with_many_digits_is_passed_on(self, deployment):
        event = b"id: %b\ndata: x\n\n" % (b"9" * 10_000)
        sent = event + event[:3] + event[4:]
        set_raw(deployment, RawResponse(sent), "e0", "e1")
        status, _, body = await deployment.send("/brief/x", "n1", **PROMPT)
        assert (status, body) == (200, sent)

    async def test_response_is_repeated_elsewhere(self, deployment):
        set_raw(deployment, RawResponse(b"", b"a" * 100_000), "d0")
        for number in range(3):
            status, _, body = await deployment.send("/look/x", f"l{number}")
            assert (status, body) == (200, b"done")

    async def test_non_idempotent_request_fails_at_once(self, deployment):
        # Guards against: the entry buffers such a response until the caller's deadline.
        set_raw(deployment, RawResponse(b"", b"a" * 100_000), "d0", "d1")
        began_s = time.monotonic()
        status, _, _ = await asyncio.wait_for(deployment.send("/press/x", "p1"), 5.0)
        assert status == 502
        assert time.monotonic() - began_s < PROMPT_FAILURE_S


class TestResumedByTheCaller:
    # Guards against: the end of a body without a head, which is no response.
    async def test_stream_without_a_new_event_has_a_head(self, deployment):
        set_raw(deployment, RawResponse(STREAM), "e0", "e1")
        status, _, body = await deployment.send(
            "/brief/x", "s1", Last_Event_Id="5", **PROMPT
        )
        assert (status, body) == (200, b"")

    # Guards against: a caller that has the whole stream gets an error for its rest.
    async def test_stream_with_nothing_left_is_empty(self, deployment):
        status, _, body = await deployment.send(
            "/brief/x", "s1", Last_Event_Id="5", **PROMPT
        )
        assert (status, body) == (200, b"")


class TestSecondResponses:
    # Guards against: a caller gets the second response to the request before, or none.
    @pytest.mark.parametrize(
        ("path", "expected", "headers"),
        [
            ("/look/x", b"done", {}),
            ("/press/x", b"done", {}),
            ("/brief/x", STREAM, PROMPT),
        ],
    )
    async def test_each_caller_gets_its_own_response(
        self, deployment, path, expected, headers
    ):
        for server in deployment.servers.values():
            server.faults.answers_twice = True
        for number in range(8):
            request_id = f"r{number}"
            status, received, body = await deployment.send(path, request_id, **headers)
            assert (status, body) == (200, expected)
            assert received["Attempt-Id"] == request_id
        runs = Counter[str]()
        for server in deployment.servers.values():
            runs += server.runs
        assert set(runs.values()) == {1}

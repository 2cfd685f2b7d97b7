"""Bodies of event streams, as they are and when resumed at another server."""

import asyncio
from dataclasses import replace
from typing import NamedTuple

import pytest

from gentianhoist.fleet import Idempotency
from gentianhoist.http1 import (
    AcquiredConnection,
    ConnectionFailed,
    ResponseFraming,
    ResponseHead,
)
from tests.dispatch.fakes import (
    DispatcherHarness,
    FakeResponder,
    ServerBehaviour,
    call,
    configuration,
)
from tests.virtual_time_loop import VirtualTimeLoop


def events(*ids: int) -> bytes:
    return b"".join(b"id: %d\ndata: x%d\n\n" % (id_, id_) for id_ in ids)


WITHOUT_ID = b"data: y\n\n"
COMMENT = b": still here\n\n"


class Served(NamedTuple):
    """What a server sends for one request.

    Attributes:
        body: The bytes after its head.
        is_complete: Whether the body ends, or the connection is lost.
        framing: How the end of the body is found.
        status: Status of its head.
    """

    body: bytes
    is_complete: bool = True
    framing: ResponseFraming = ResponseFraming.CHUNKED
    status: int = 200


class Received(NamedTuple):
    """What became of one stream.

    Attributes:
        responder: The response that the caller received.
        last_event_ids: Last-Event-Id of each send, empty for none.
    """

    responder: FakeResponder
    last_event_ids: list[bytes]

    @property
    def is_complete(self) -> bool:
        return self.responder.finished and not self.responder.aborted


class ScriptedConnection:
    """A connection to a server that sends the next response of a script."""

    sent_requests = 1
    reads_first_response = True
    usable = True

    def __init__(self, served: Served, last_event_ids: list[bytes]) -> None:
        self._served = served
        self._parts = [served.body] if served.body else []
        self._last_event_ids = last_event_ids
        self.framing = served.framing

    def send(self, data: bytes, **options) -> None:
        self._last_event_ids.append(data)

    async def read_head(self) -> ResponseHead:
        await asyncio.sleep(0.01)
        status = self._served.status
        return ResponseHead(status, [(b"does", ServerBehaviour.ANSWER.value.encode())])

    async def read_data(self) -> bytes:
        if self._parts:
            return self._parts.pop(0)
        if not self._served.is_complete:
            raise ConnectionFailed("cut", sent=True)
        return b""

    def close(self) -> None:
        return None


class ScriptedPool:
    def __init__(self, script: list[Served], last_event_ids: list[bytes]) -> None:
        self._script = script
        self._last_event_ids = last_event_ids

    async def acquire(
        self, *, max_idle_s: float = 0.0, is_named: bool = False
    ) -> AcquiredConnection:
        connection = ScriptedConnection(self._script.pop(0), self._last_event_ids)
        return AcquiredConnection(connection, True)  # type: ignore[arg-type]

    def release(self, connection: ScriptedConnection) -> None:
        return None


class StrictResponder(FakeResponder):
    """Refuses the bytes of a body that has no head."""

    async def send_chunk(self, data: bytes) -> None:
        assert self.started
        await super().send_chunk(data)

    def end_chunked(self) -> None:
        assert self.started
        super().end_chunked()


def relay(
    *script: Served,
    last_event_id: bytes | None = None,
    idempotency: Idempotency = Idempotency.IDEMPOTENT,
    max_servers: int = 2,
) -> Received:
    """Serve one stream; each send gets the next response of the script."""
    loop = VirtualTimeLoop()
    harness = DispatcherHarness(loop, iter([]))
    harness.state.routing.update_if_newer(
        configuration(idempotency, streaming=True, max_executing_servers=max_servers)
    )
    last_event_ids: list[bytes] = []
    pool = ScriptedPool(list(script), last_event_ids)
    harness.state.pool = lambda server, group: pool  # type: ignore[assignment,method-assign,return-value]
    responder = StrictResponder()
    request = replace(call(loop, prompt_tokens=5_000), last_event_id=last_event_id)
    loop.run(harness.dispatcher.handle(request, responder))  # type: ignore[arg-type]
    loop.cancel_and_close()
    return Received(responder, last_event_ids)


class TestHead:
    # Guards against: the end of a body is sent without a head, as bytes that are no
    # response, when the caller has all events already.
    def test_stream_without_a_new_event_has_a_head(self):
        received = relay(Served(events(1, 2, 3)), last_event_id=b"3")
        assert received.responder.status == 200
        assert received.responder.body == b""
        assert received.is_complete


class TestNotResumed:
    # Guards against: events are dropped from a stream that was never resumed.
    @pytest.mark.parametrize("ids", [(1, 2, 2, 3), (5, 1, 2), (1, 1, 1), (1, 2, 1, 2)])
    @pytest.mark.parametrize("idempotency", list(Idempotency))
    def test_stream_is_passed_on_as_it_is(self, ids, idempotency):
        received = relay(Served(events(*ids)), idempotency=idempotency)
        assert received.responder.body == events(*ids)
        assert received.is_complete

    # Guards against: a stream that can't be resumed is taken for a resumed one.
    def test_last_event_id_does_not_count_where_streams_are_not_resumed(self):
        received = relay(
            Served(events(1, 2, 3)),
            last_event_id=b"2",
            idempotency=Idempotency.NON_IDEMPOTENT,
        )
        assert received.responder.body == events(1, 2, 3)
        assert received.last_event_ids == [b"2"]


class TestResumedByTheCaller:
    def test_repeats_at_the_beginning_are_dropped(self):
        received = relay(Served(events(1, 2, 3, 4)), last_event_id=b"2")
        assert received.responder.body == events(3, 4)
        assert received.is_complete

    # Guards against: a repeat in the middle of a server's body is dropped from it.
    def test_repeats_later_are_passed_on(self):
        received = relay(Served(events(3, 4, 4, 5)), last_event_id=b"2")
        assert received.responder.body == events(3, 4, 4, 5)

    # Guards against: a stream lacks an event that its server left out of the repeats.
    @pytest.mark.parametrize("ids", [(1, 2, 5), (1, 2)])
    def test_stream_without_the_callers_event_is_no_success(self, ids):
        served = Served(events(*ids))
        received = relay(served, served, last_event_id=b"3")
        assert received.responder.status == 502

    def test_stream_without_ids_is_passed_on(self):
        received = relay(Served(WITHOUT_ID * 3), last_event_id=b"2")
        assert received.responder.body == WITHOUT_ID * 3
        assert received.is_complete


class TestResumedElsewhere:
    @pytest.mark.parametrize("ids", [(3, 4), (2, 3, 4), (1, 2, 3, 4)])
    def test_stream_goes_on_after_the_last_event(self, ids):
        received = relay(
            Served(events(1, 2) + b"id: 3\nda", is_complete=False), Served(events(*ids))
        )
        assert received.responder.body == events(1, 2, 3, 4)
        assert received.last_event_ids == [b"", b"2"]
        assert received.is_complete

    # Guards against: a resumed stream lacks an event and looks complete.
    @pytest.mark.parametrize(
        ("first", "second"),
        [
            (events(1, 2), events(4, 5)),
            (events(1, 2, 3), events(1, 2, 4)),
            (events(1, 2, 3), events(1, 4)),
            (events(1), events(0, 2)),
        ],
    )
    def test_stream_with_a_gap_is_broken_off(self, first, second):
        received = relay(Served(first, is_complete=False), Served(second))
        assert received.responder.body == first
        assert received.responder.aborted

    # Guards against: the distance between two parts is taken for the step of the ids.
    def test_steps_are_learned_inside_a_part_only(self):
        received = relay(
            Served(events(1), is_complete=False),
            Served(events(3, 4), is_complete=False),
            Served(events(6)),
            max_servers=3,
        )
        assert received.responder.body == events(1, 3, 4)
        assert received.responder.aborted

    # Guards against: a stream is given up though another server goes on correctly.
    def test_stream_with_a_gap_is_resumed_at_another_server(self):
        received = relay(
            Served(events(1, 2), is_complete=False),
            Served(events(4, 5)),
            Served(events(3, 4, 5)),
            max_servers=3,
        )
        assert received.responder.body == events(1, 2, 3, 4, 5)
        assert received.last_event_ids == [b"", b"2", b"2"]
        assert received.is_complete

    # Guards against: a sound stream is refused since its ids have steps of their own.
    @pytest.mark.parametrize(
        ("first", "second"),
        [
            (events(10, 20), events(30, 40)),
            (events(10, 20), events(25)),
            (events(10, 20), events(50, 60)),
            (events(1, 2, 5), events(9, 10)),
            (events(1), events(4, 5)),
            (events(3, 7), events(3, 7, 8)),
        ],
    )
    def test_ids_need_only_increase_as_before(self, first, second):
        received = relay(Served(first, is_complete=False), Served(second))
        assert received.responder.body == first + second.removeprefix(first)
        assert received.is_complete

    # Guards against: a resumed stream holds a piece twice.
    @pytest.mark.parametrize("second", [events(3, 4, 4), events(3, 4, 2, 5)])
    def test_later_repeats_break_the_stream_off(self, second):
        received = relay(
            Served(events(1, 2), is_complete=False), Served(second, is_complete=True)
        )
        assert received.responder.body == events(1, 2, 3, 4)
        assert received.responder.aborted


class TestStatus:
    """The server at which a stream is resumed responds with another status."""

    # Guards against: the body of a failure is passed on as a part of the stream.
    @pytest.mark.parametrize("status", [204, 206, 400, 500])
    def test_stream_is_broken_off(self, status):
        received = relay(
            Served(events(1, 2), is_complete=False), Served(events(3), status=status)
        )
        assert received.responder.status == 200
        assert received.responder.body == events(1, 2)
        assert received.responder.aborted

    def test_stream_is_resumed_at_a_third_server(self):
        received = relay(
            Served(events(1, 2), is_complete=False),
            Served(b"error", status=500),
            Served(events(3)),
            max_servers=3,
        )
        assert received.responder.status == 200
        assert received.responder.body == events(1, 2, 3)
        assert received.is_complete


class TestWithoutIds:
    # Guards against: events without an id come twice, or are lost, as nothing says
    # where the stream has to go on.
    @pytest.mark.parametrize(
        "first",
        [
            WITHOUT_ID,
            events(1) + WITHOUT_ID,
            b"id: a\ndata: x\n\n",
            events(1) + b"id\ndata: x\n\n",
            events(1, 2, 2),
            events(2, 1),
        ],
    )
    def test_stream_is_not_resumed_at_an_unknown_event(self, first):
        received = relay(Served(first, is_complete=False), Served(first + events(8, 9)))
        assert received.responder.body == first
        assert received.responder.aborted
        assert len(received.last_event_ids) == 1

    def test_events_without_ids_before_the_last_id_are_no_obstacle(self):
        received = relay(
            Served(events(1) + WITHOUT_ID + events(2), is_complete=False),
            Served(events(3)),
        )
        assert received.responder.body == events(1) + WITHOUT_ID + events(2, 3)
        assert received.is_complete

    # Guards against: an event that may come twice is passed on in a resumed stream.
    @pytest.mark.parametrize("second", [WITHOUT_ID, b"id: c\ndata: x\n\n"])
    def test_resumed_stream_begins_with_an_id(self, second):
        received = relay(
            Served(events(1, 2), is_complete=False), Served(second + events(3))
        )
        assert received.responder.body == events(1, 2)
        assert received.responder.aborted

    # Guards against: an event without an id comes twice when it follows a repeat.
    def test_event_without_an_id_belongs_to_the_one_before(self):
        received = relay(
            Served(events(1) + WITHOUT_ID + events(2), is_complete=False),
            Served(events(1) + WITHOUT_ID + events(2) + WITHOUT_ID + events(3)),
        )
        body = events(1) + WITHOUT_ID + events(2) + WITHOUT_ID + events(3)
        assert received.responder.body == body
        assert received.is_complete

    # Guards against: a stream that is kept alive by comments isn't resumed.
    def test_comments_are_no_events(self):
        received = relay(
            Served(events(1, 2) + COMMENT, is_complete=False),
            Served(COMMENT + events(3)),
        )
        assert received.responder.body == events(1, 2) + COMMENT * 2 + events(3)
        assert received.is_complete


class TestEnd:
    # Guards against: a whole stream is broken off since its end was lost.
    def test_resumed_stream_with_nothing_left_is_complete(self):
        received = relay(Served(events(1, 2), is_complete=False), Served(b""))
        assert received.responder.body == events(1, 2)
        assert received.is_complete

    # Guards against: a lost connection is taken for the end of a resumed stream.
    @pytest.mark.parametrize("body", [b"", COMMENT])
    def test_a_close_without_an_event_is_no_end(self, body):
        received = relay(
            Served(events(1, 2), is_complete=False),
            Served(body, framing=ResponseFraming.CLOSE),
        )
        assert received.responder.aborted

    # Guards against: a caller that has the whole stream gets an error for its rest.
    def test_nothing_left_for_the_caller_is_a_response(self):
        received = relay(Served(b""), last_event_id=b"5")
        assert received.responder.status == 200
        assert received.is_complete

    # Guards against: a resumed stream looks complete whose server ended before the
    # event that the caller has.
    @pytest.mark.parametrize("second", [events(1), events(1, 2)])
    def test_end_before_the_resumed_event_is_no_end(self, second):
        received = relay(Served(events(1, 2, 3), is_complete=False), Served(second))
        assert received.responder.body == events(1, 2, 3)
        assert received.responder.aborted

    def test_end_at_the_resumed_event_is_the_end(self):
        received = relay(Served(events(1, 2), is_complete=False), Served(events(1, 2)))
        assert received.responder.body == events(1, 2)
        assert received.is_complete

    def test_stream_that_never_had_an_event_is_no_success(self):
        received = relay(Served(b""), Served(b""))
        assert received.responder.status == 502

"""Responses among second and foreign ones, cut at every offset.

A response names the request that it belongs to in the header `For`.
"""

import random
import time
from functools import partial

import pytest

from gentianhoist.http1 import Attribution, DropPosition
from gentianhoist.http1._response_reader import ResponseReader
from gentianhoist.http1._responses import InvalidResponse
from tests.turn_monitor import PASS_S

LATE = b"late " * 9
OWN = b"own HTTP/1.1 and HTTP/1.1 200 OK"
SECOND = b"another body of the same request"


def _head(request: str, *lines: bytes) -> bytes:
    named = [b"HTTP/1.1 200 OK", b"For: " + request.encode(), *lines]
    return b"\r\n".join(named) + b"\r\n\r\n"


def with_length(request: str, body: bytes) -> bytes:
    return _head(request, b"Content-Length: %d" % len(body)) + body


def that_says_close(request: str, body: bytes) -> bytes:
    length = b"Content-Length: %d" % len(body)
    return _head(request, b"Connection: close", length) + body


def in_chunks(request: str, body: bytes) -> bytes:
    middle = len(body) // 3
    chunks = [chunk for chunk in (body[:middle], body[middle:]) if chunk]
    encoded = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return _head(request, b"Transfer-Encoding: chunked") + encoded + b"0\r\n\r\n"


def in_chunks_with_trailers(request: str, body: bytes) -> bytes:
    return in_chunks(request, body)[:-2] + b"X: y\r\n\r\n"


def without_length(request: str, body: bytes) -> bytes:
    return _head(request) + body


def after_informational(request: str, body: bytes) -> bytes:
    return b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + with_length(request, body)


def cut_short(request: str, body: bytes) -> bytes:
    return with_length(request, body * 8)[: -6 * len(body)]


def cut_within_a_chunk(request: str, body: bytes) -> bytes:
    return in_chunks(request, body)[:-12]


def cut_between_chunks(request: str, body: bytes) -> bytes:
    return in_chunks(request, body)[:-5]


def to_head(request: str, body: bytes) -> bytes:
    return with_length(request, body)[: -len(body)]


def without_body(request: str, body: bytes) -> bytes:
    return _head(request).replace(b"200 OK", b"204 No Content")


WHOLE = [
    with_length,
    that_says_close,
    in_chunks,
    in_chunks_with_trailers,
    after_informational,
]
CUT = [without_length, cut_short, cut_within_a_chunk, cut_between_chunks, to_head]
# Nothing, or what else a server sends before the response to the request.
BEFORE = [None, without_body, *WHOLE, *CUT]
AFTER = [None, without_body, *WHOLE, *CUT]


class Recorder:
    """Sink that records what it receives."""

    def __init__(self) -> None:
        self.heads = 0
        self.body = bytearray()
        self.ends = 0
        self.dropped = []
        self.has_stray_bytes = False

    def on_head(self, head, *, keep_alive) -> None:
        self.heads += 1

    def on_data(self, data: bytes) -> None:
        self.body += data

    def on_end(self) -> None:
        self.ends += 1

    def on_dropped(self, dropped) -> None:
        self.dropped.append((dropped.position, dropped.attribution))

    def on_stray_bytes(self) -> None:
        self.has_stray_bytes = True


def _attribute(request: str, head) -> Attribution:
    named = head.get_header(b"for")
    if named is None:
        return Attribution.UNNAMED
    return Attribution.OWN if named == request.encode() else Attribution.OTHER


def _reader(recorder: Recorder) -> ResponseReader:
    """Return a reader that has read the response to `a` and waits for that to `b`."""
    reader = ResponseReader(recorder)
    reader.expect(partial(_attribute, "a"), head_only=False)
    reader.feed(with_length("a", b"first"))
    recorder.__init__()
    reader.expect(partial(_attribute, "b"), head_only=False)
    return reader


def _read(parts: list[bytes]) -> Recorder:
    recorder = Recorder()
    reader = _reader(recorder)
    for part in parts:
        reader.feed(part)
    reader.feed_end()
    return recorder


def _read_until_invalid(parts: list[bytes]) -> Recorder:
    """Read until the bytes are invalid; the end of the connection isn't taken."""
    recorder = Recorder()
    reader = _reader(recorder)
    with pytest.raises(InvalidResponse):
        for part in parts:
            reader.feed(part)
    reader.confirm_end()
    return recorder


def _split(data: bytes, *cuts: int) -> list[bytes]:
    edges = [0, *sorted(cuts), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


def _encode(make, request: str, body: bytes) -> bytes:
    return b"" if make is None else make(request, body)


def _assert_own_response(recorder: Recorder, case: object) -> None:
    assert (recorder.heads, recorder.ends) == (1, 1), case
    assert recorder.body == OWN, case


class TestSecondResponses:
    # Guards against: a late second response makes the right one disappear, or the
    # second response to the same request is passed on in its place.
    @pytest.mark.parametrize("before", BEFORE)
    @pytest.mark.parametrize("own", [*WHOLE, without_length])
    @pytest.mark.parametrize("after", AFTER)
    def test_own_response_is_read_at_every_cut(self, before, own, after):
        data = _encode(before, "a", LATE) + own("b", OWN) + _encode(after, "b", SECOND)
        for cut in range(len(data) + 1):
            _assert_own_response(_read(_split(data, cut)), cut)

    @pytest.mark.parametrize("seed", range(40))
    def test_own_response_is_read_among_several(self, seed):
        rng = random.Random(seed)
        names = ["a", "elsewhere"]
        before = [
            _encode(rng.choice(BEFORE), rng.choice(names), LATE)
            for _ in range(rng.randrange(4))
        ]
        after = [
            _encode(rng.choice(AFTER), rng.choice(["a", "b"]), SECOND)
            for _ in range(rng.randrange(3))
        ]
        own = rng.choice([*WHOLE, without_length])
        data = b"".join([*before, own("b", OWN), *after])
        for _ in range(50):
            cuts = [rng.randrange(len(data)) for _ in range(rng.randrange(12))]
            _assert_own_response(_read(_split(data, *cuts)), (seed, cuts))
        _assert_own_response(_read([bytes([byte]) for byte in data]), seed)

    # Guards against: a response that was broken off is filled up by the next one.
    @pytest.mark.parametrize("own", [cut_short, cut_within_a_chunk])
    @pytest.mark.parametrize("request_id", ["a", "b"])
    @pytest.mark.parametrize("second", [with_length, in_chunks, without_length])
    def test_broken_off_response_is_not_filled_up(self, own, request_id, second):
        data = own("b", OWN) + second(request_id, SECOND * 9)
        for cut in range(len(data) + 1):
            assert _read_until_invalid(_split(data, cut)).ends == 0

    # Guards against: the length of a response that was broken off ends inside the head
    # of the next one, and the response counts as complete.
    @pytest.mark.parametrize("request_id", ["a", "b", "elsewhere", None])
    @pytest.mark.parametrize("missing_bytes", range(1, 55))
    def test_broken_off_response_does_not_end_in_a_head(
        self, request_id, missing_bytes
    ):
        own = with_length("b", OWN + b"x" * missing_bytes)[:-missing_bytes]
        second = with_length(request_id or "", SECOND)
        if request_id is None:
            second = second.replace(b"For: \r\n", b"Server: of another request\r\n")
        data = own + second
        begin_bytes = len(b"HTTP/1.")
        for cut in range(len(data) + 1):
            if missing_bytes <= cut - len(own) < begin_bytes:
                # What was read could be the end of any text.
                continue
            recorder = Recorder()
            reader = _reader(recorder)
            parts = _split(data, cut)
            with pytest.raises(InvalidResponse):
                for part in parts:
                    reader.feed(part)
                    if reader.undecided_bytes < begin_bytes:
                        reader.confirm_end()
            assert recorder.ends == 0, cut


class TestBodies:
    @pytest.mark.parametrize(
        "body",
        [
            b"H",
            b"speaks HTTP/1.",
            b"HTTP/1.1 200",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\nFor: ",
            with_length("elsewhere", b"quoted"),
            b"HTTP/1.1 200 OK\r\n\r\n",
            b"HTTP/1.1 2000 OK\r\nFor: b\r\n\r\n",
        ],
    )
    @pytest.mark.parametrize("make", [*WHOLE, without_length])
    def test_body_that_looks_like_a_response_is_unchanged(self, make, body):
        data = make("b", body)
        for cut in range(len(data) + 1):
            recorder = _read(_split(data, cut))
            assert (recorder.body, recorder.ends) == (body, 1), cut

    # Guards against: a body that quotes heads is changed where the reads are cut.
    @pytest.mark.parametrize("seed", range(20))
    def test_body_of_head_texts_is_unchanged(self, seed):
        rng = random.Random(seed)
        texts = [
            b"HTTP/1.1 103 E\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
            b"HTTP/1.",
            b"HTTP/",
            b"H",
            b"A: b\r\n",
            b"\r\n",
            b"1 200",
            b"text",
        ]
        for _ in range(100):
            body = b"".join(rng.choices(texts, k=rng.randrange(12)))
            make = rng.choice([*WHOLE, without_length])
            data = make("b", body)
            cuts = [rng.randrange(len(data)) for _ in range(rng.randrange(6))]
            recorder = _read(_split(data, *cuts))
            assert (recorder.body, recorder.ends) == (body, 1), (make, body, cuts)

    @pytest.mark.parametrize("make", [with_length, in_chunks])
    def test_last_bytes_are_not_held_back(self, make):
        recorder = Recorder()
        reader = _reader(recorder)
        reader.feed(make("b", b"ends in HTTP/1.1 200"))
        assert recorder.body == b"ends in HTTP/1.1 200"
        reader.confirm_end()
        assert recorder.ends == 1

    # Guards against: what was held at the end of a body changes the next one.
    def test_next_response_after_an_undecided_end_is_read(self):
        recorder = Recorder()
        reader = _reader(recorder)
        for body in (b"ends in HTTP/1.1 200", b"ends in H", b"HTTP/", OWN, b"text"):
            reader.expect(partial(_attribute, "b"), head_only=False)
            for part in _split(with_length("b", body), 9):
                reader.feed(part)
            reader.confirm_end()
            assert recorder.body.endswith(body)
        assert recorder.ends == 5

    # Guards against: the blank line of a head that begins inside a chunk completes an
    # event.
    def test_head_inside_a_chunk_completes_no_event(self):
        recorder = Recorder()
        reader = _reader(recorder)
        reader.feed(_head("b", b"Transfer-Encoding: chunked") + b"ff\r\ndata: a")
        reader.feed(b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n")
        assert b"\n\r\n" not in recorder.body

    def test_response_to_head_has_no_body(self):
        recorder = Recorder()
        reader = ResponseReader(recorder)
        reader.expect(partial(_attribute, "b"), head_only=True)
        reader.feed(to_head("b", b"absent"))
        assert (recorder.body, recorder.ends) == (b"", 1)


class TestDroppedResponses:
    def test_position_and_name_are_reported(self):
        data = with_length("a", LATE) + with_length("b", OWN) + with_length("b", SECOND)
        recorder = _read([data])
        assert recorder.dropped == [
            (DropPosition.BEFORE, Attribution.OTHER),
            (DropPosition.AFTER, Attribution.OWN),
        ]
        assert recorder.has_stray_bytes

    def test_response_that_names_no_request_is_read(self):
        data = _head("b").replace(b"For: b\r\n", b"") + b"body"
        assert _read([data]).body == b"body"

    def test_responses_to_other_requests_have_a_limit(self):
        reader = _reader(Recorder())
        reader.feed(_head("a"))
        with pytest.raises(InvalidResponse):
            for _ in range(100_000):
                reader.feed(b"x" * 1000)


class TestHeadsWithoutEnd:
    # Guards against: what may be a head is searched again and again as it grows, so
    # that other requests wait.
    @pytest.mark.usefixtures("heap_of_its_own")
    @pytest.mark.parametrize("make", [without_length, cut_short])
    @pytest.mark.parametrize(
        "repeated",
        [
            b"HTTP/1.",
            b"HTTP/1.1 200 OK ",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\nA: ",
            b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
            b"HTTP/1.1 103 Early\r\n\r\n",
        ],
    )
    def test_each_slice_takes_a_bounded_time(self, make, repeated):
        reader = _reader(Recorder())
        reader.feed(make("b", b"x" * 1_000_000))
        block = repeated * (8192 // len(repeated))
        longest_s = 0.0
        for _ in range(32):
            began_s = time.thread_time()
            reader.feed(block)
            longest_s = max(longest_s, time.thread_time() - began_s)
        assert longest_s < PASS_S / 4

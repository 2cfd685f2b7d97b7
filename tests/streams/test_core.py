"""Tests of reassembly from frames that are late, out of order, cut or duplicated."""

from hypothesis import given
from hypothesis import strategies as st

from gentianhoist.exceptions import ErrorKind, NotRun
from gentianhoist.streams import (
    AttemptRefused,
    Complete,
    Corrupt,
    Deliver,
    Drop,
    RetransmissionBuffer,
    StreamAssembler,
    text_digest,
)
from gentianhoist.wire import Chunk, Completed, Failed

_TEXTS = tuple(f" t{number}" for number in range(12))


def _last(attempt: int, begin: int, count: int = 12) -> Completed:
    digest = text_digest(_TEXTS[begin:count])
    return Completed("r", attempt, count, digest, "length")


@given(
    offsets=st.lists(st.integers(0, 11), max_size=30),
    foreign_frames=st.lists(st.sampled_from(["request", "attempt"]), max_size=5),
)
def test_only_the_next_offset_is_delivered(offsets, foreign_frames):
    """For any sequence of frames, the delivered tokens are a prefix of the output."""
    assembler = StreamAssembler("r")
    assembler.begin_attempt()
    delivered: list[str] = []
    for offset in offsets:
        step = assembler.feed(Chunk("r", 1, offset, _TEXTS[offset : offset + 3]))
        if isinstance(step, Deliver):
            delivered.extend(step.texts)
    for mismatch in foreign_frames:
        request, attempt = ("other", 1) if mismatch == "request" else ("r", 7)
        step = assembler.feed(Chunk(request, attempt, len(delivered), ("bad",)))
        assert isinstance(step, Drop)
    assert tuple(delivered) == _TEXTS[: len(delivered)]
    step = assembler.feed(_last(1, 0))
    assert isinstance(step, Complete) == (len(delivered) == 12)


@given(cut=st.integers(0, 12))
def test_next_attempt_resumes_where_the_first_was_cut(cut):
    assembler = StreamAssembler("r")
    assembler.begin_attempt()
    assembler.feed(Chunk("r", 1, 0, _TEXTS[:cut]))
    assert assembler.begin_attempt() == 2
    assert isinstance(assembler.feed(Chunk("r", 1, cut, _TEXTS[cut:])), Drop)
    assembler.feed(Chunk("r", 2, cut, _TEXTS[cut:]))
    assert isinstance(assembler.feed(_last(2, cut)), Complete)
    assert assembler.text == "".join(_TEXTS)


def test_wrong_digest_or_count_is_corrupt():
    for last in (Completed("r", 1, 12, 1, "length"), _last(1, 0, count=11)):
        assembler = StreamAssembler("r")
        assembler.begin_attempt()
        assembler.feed(Chunk("r", 1, 0, _TEXTS))
        assert isinstance(assembler.feed(last), Corrupt)


def test_refusal_of_an_older_attempt_is_dropped():
    assembler = StreamAssembler("r")
    assembler.begin_attempt()
    refusal = Failed("r", 1, ErrorKind.OVERLOADED, "full", NotRun.TRUE, 0.1)
    assert isinstance(assembler.feed(refusal), AttemptRefused)
    assembler.begin_attempt()
    assert isinstance(assembler.feed(refusal), Drop)


@given(acks=st.lists(st.integers(-3, 20), max_size=10))
def test_buffer_keeps_all_unacknowledged_tokens(acks):
    buffer = RetransmissionBuffer(0)
    buffer.append(list(_TEXTS))
    highest = 0
    for ack in acks:
        buffer.acknowledge(ack)
        highest = max(highest, min(max(ack, 0), 12))
    assert buffer.tokens_from(highest) == _TEXTS[highest:]
    assert buffer.size_chars == sum(map(len, _TEXTS[highest:]))
    assert buffer.digest == text_digest(_TEXTS)

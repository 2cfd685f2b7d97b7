"""Parts of a body are joined in order, whatever their sizes."""

from hypothesis import given
from hypothesis import strategies as st

from gentianhoist.http1 import _body_buffer
from gentianhoist.http1._body_buffer import BodyBuffer


@given(st.lists(st.integers(1, 200_000), max_size=12))
def test_parts_are_joined_in_order(sizes):
    parts = [bytes([number]) * size for number, size in enumerate(sizes)]
    buffer = BodyBuffer()
    for part in parts:
        buffer.append(part)
    assert buffer.take() == b"".join(parts)
    assert buffer.take() == b""


def test_tiny_parts_are_collected():
    """An object for each chunk of one byte would need a multiple of the body."""
    buffer = BodyBuffer()
    for _ in range(_body_buffer._PART_BYTES * 2):
        buffer.append(b"x")
    assert len(buffer._parts) == 2

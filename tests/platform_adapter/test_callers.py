"""Decoding of callers' requests."""

import pytest

from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.http1 import CallerRequest
from gentianhoist_platform.callers import decode_call


def _request(*headers: tuple[bytes, bytes]) -> CallerRequest:
    required = [(b"Host", b"a.example"), (b"Attempt-Id", b"x")]
    return CallerRequest(b"POST", b"/p/", [*required, *headers], b"", 0.0)


class TestSegments:
    @pytest.mark.parametrize(
        ("value", "segments"),
        [
            (b"5c1e07a2:800,91BD3F06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
            (b"5c1e07a2:800, 91bd3f06:410", ("5c1e07a2",)),
            (b"e4402b7d:250", ()),
            (b"", ()),
        ],
    )
    def test_last_segment_is_not_shared(self, value, segments):
        call = decode_call(_request((b"Prefix-Hash", value)))
        assert call.shared_segments == segments
        assert (b"Prefix-Hash", value) in call.headers

    def test_long_ids_are_shortened(self):
        value = b"%b:1,%b:1,aa:1" % (b"a" * 500, b"b" * 500)
        first, second = decode_call(_request((b"Prefix-Hash", value))).shared_segments
        assert len(first) == len(second) == 16
        assert first != second

    @pytest.mark.parametrize("value", [b"xyz:1,a:1", b"a", b"a:b,c:1", b",", b"a:1,"])
    def test_invalid_value_is_rejected(self, value):
        with pytest.raises(HoistError) as caught:
            decode_call(_request((b"Prefix-Hash", value)))
        assert caught.value.kind is ErrorKind.INVALID_REQUEST
        assert caught.value.field == "Prefix-Hash"

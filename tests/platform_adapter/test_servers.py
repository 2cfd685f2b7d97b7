"""What the head of a backend server's response proves about a request."""

import pytest

from gentianhoist.dispatch import Call, ResponseValidity
from gentianhoist.http1 import Attribution, ResponseHead
from gentianhoist_platform.servers import PlatformCodec

CALL = Call("r1", b"GET", "a.example", "/", b"/", [], b"", "", 0.0)
ID = (b"Attempt-Id", b"r1")
OTHER_ID = (b"Attempt-Id", b"r2")
SEAL = (b"Server-Seal", b"s")
NOT_EXECUTED = (b"Not-Executed", b"1")


def _decode(status: int, *headers, is_first: bool = False) -> ResponseValidity:
    head = ResponseHead(status, list(headers))
    return PlatformCodec().decode(head, CALL, is_first_response=is_first).validity


@pytest.mark.parametrize("status", [200, 404, 500])
def test_signed_response_that_names_the_request_is_valid(status):
    assert _decode(status, ID, SEAL) is ResponseValidity.VALID


# Guards against: a success is passed on without its server's signature.
@pytest.mark.parametrize(
    "headers",
    [
        (ID,),
        (ID, (b"Server-Seal", b" ")),
        (ID, SEAL, (b"Connection", b"keep-alive, server-seal")),
        (SEAL,),
        (OTHER_ID, SEAL),
        (ID, SEAL, (b"Content-Encoding", b"gzip")),
    ],
)
def test_other_response_is_not_trusted(headers):
    assert _decode(200, *headers, is_first=True) is ResponseValidity.UNTRUSTED


@pytest.mark.parametrize(
    ("headers", "is_first", "validity"),
    [
        ((ID, NOT_EXECUTED), False, ResponseValidity.NOT_EXECUTED),
        ((NOT_EXECUTED,), True, ResponseValidity.NOT_EXECUTED),
        ((NOT_EXECUTED,), False, ResponseValidity.UNTRUSTED),
        ((OTHER_ID, NOT_EXECUTED), False, ResponseValidity.UNTRUSTED),
    ],
)
def test_refusal_counts_if_it_can_be_attributed(headers, is_first, validity):
    assert _decode(503, *headers, is_first=is_first) is validity


@pytest.mark.parametrize(
    ("headers", "attribution"),
    [
        ((ID,), Attribution.OWN),
        ((OTHER_ID,), Attribution.OTHER),
        ((SEAL,), Attribution.UNNAMED),
    ],
)
def test_attribution_is_by_the_id(headers, attribution):
    attribute = PlatformCodec().attribution(CALL)
    assert attribute(ResponseHead(200, list(headers))) is attribution

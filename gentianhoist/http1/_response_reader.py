"""Finds the response to a request among the bytes of a connection.

A server may answer a request twice, the second time when the next request already waits
on the connection. Whose a response is follows from its head as soon as that is parsed,
not from the number of responses or the time at which it is read.
"""

from __future__ import annotations

from collections import deque
from enum import Enum, auto

import httptools

from gentianhoist.http1._head_search import (
    FoundHead,
    HeadSearch,
    NoHead,
    PartialHead,
    search_head,
)
from gentianhoist.http1._responses import (
    Attribute,
    Attribution,
    DroppedResponse,
    DropPosition,
    InvalidResponse,
    ResponseFraming,
    ResponseHead,
    ResponseSink,
    attribute_in_order,
    response_framing,
)
from gentianhoist.http1.core import Headers

__all__ = ["ResponseReader"]

# Bytes of heads, chunk framing and trailers since the last byte of a body.
_MAX_OVERHEAD_BYTES = 64 * 1024
# Of bodies of responses to other requests, on one connection.
_MAX_SKIPPED_BYTES = 8 * 1024 * 1024
# Each part of a message is looked up in all headers.
_MAX_HEADERS = 256
# Requests of the connection whose second responses are recognised inside a body.
_MAX_EARLIER_REQUESTS = 16
_MAX_STRAY_BYTES = 4 * 1024
_FIRST_STATUS = 100
_FIRST_FINAL_STATUS = 200
_HEAD_END = b"\r\n\r\n"


class _Phase(Enum):
    IDLE = auto()
    HEAD = auto()
    # In the body of a response to another request.
    OTHER_BODY = auto()
    OWN_BODY = auto()
    # The body has its length, but its last bytes may begin another response.
    ENDING = auto()
    FAILED = auto()


class ResponseReader:
    """Passes the response to one request at a time to a sink.

    Responses to other requests are dropped. Inside a body, a head that names the
    request that waits, or one sent before it on the connection, ends that body: one
    without a length is complete there, any other one was broken off.

    Args:
        sink: Receives the response.
    """

    def __init__(self, sink: ResponseSink) -> None:
        self._sink = sink
        self._phase = _Phase.IDLE
        self._parser: httptools.HttpResponseParser | None = None
        self._attribute: Attribute = attribute_in_order
        self._earlier: deque[Attribute] = deque(maxlen=_MAX_EARLIER_REQUESTS)
        self._head_only = False
        self._headers: Headers = []
        self._in_headers = False
        self._head_tail = b""
        self._framing = ResponseFraming.NO_BODY
        # The begin of a head inside a body, and how much of it was parsed as body.
        self._candidate = b""
        self._candidate_bytes = 0
        self._parsed_candidate_bytes = 0
        # Whether what is parsed now may be a head, and what of it belongs to the body.
        self._in_candidate = False
        self._own_candidate_bytes = 0
        self._has_bytes_after_end = False
        self._overhead_bytes = 0
        self._body_bytes = 0
        self._skipped_bytes = 0
        self._skipped_responses = 0
        self._stray = bytearray()

    @property
    def is_idle(self) -> bool:
        """Whether no request waits for its response, or the rest of it."""
        return self._phase is _Phase.IDLE

    @property
    def undecided_bytes(self) -> int:
        """Number of bytes in which a body ends and that may begin another response.

        The response isn't passed on as complete before further bytes tell, or
        `confirm_end` is called.
        """
        return len(self._candidate) if self._phase is _Phase.ENDING else 0

    @property
    def skipped_responses(self) -> int:
        """Number of responses to other requests that came before one that waited."""
        return self._skipped_responses

    @property
    def framing(self) -> ResponseFraming:
        """How the end of the body is found, of the response that was read last."""
        return self._framing

    def expect(self, attribute: Attribute, *, head_only: bool) -> None:
        """Begin to look for the response to a request that was sent.

        Args:
            attribute: Tells whether a head is one to the request.
            head_only: Whether the method is HEAD, whose response has no body.
        """
        self._earlier.append(self._attribute)
        self._attribute = attribute
        self._head_only = head_only
        self._overhead_bytes = 0
        self._begin_message()

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the connection.

        Raises:
            InvalidResponse: If the response can't be found or delimited any more.
        """
        try:
            self._feed(data)
        except InvalidResponse:
            self._phase = _Phase.FAILED
            raise

    def _feed(self, data: bytes) -> None:
        self._overhead_bytes += len(data)
        if self._phase is _Phase.OTHER_BODY:
            self._skipped_bytes += len(data)
        candidate, self._candidate = self._candidate, b""
        self._candidate_bytes = len(candidate)
        data = candidate + data
        while data:
            match self._phase:
                case _Phase.FAILED:
                    return
                case _Phase.IDLE:
                    self._take_stray(data)
                    return
                case _Phase.HEAD:
                    data = self._feed_head(data)
                case _Phase.OTHER_BODY | _Phase.OWN_BODY:
                    data = self._feed_body(data)
                case _Phase.ENDING:
                    data = self._feed_after_end(data)
        if self._skipped_bytes > _MAX_SKIPPED_BYTES:
            raise InvalidResponse("a response to another request has no end")
        if self._overhead_bytes > _MAX_OVERHEAD_BYTES:
            raise InvalidResponse(
                "the response has a head or framing beyond the size limit"
            )

    def feed_end(self) -> None:
        """Take the end of the connection's data, which may end a body.

        Raises:
            InvalidResponse: If the last bytes are invalid.
        """
        self.confirm_end()
        if self._phase is not _Phase.OWN_BODY:
            return
        if self._framing is ResponseFraming.CLOSE:
            self._parse(self._candidate[self._take_parsed_count() :])
            self._candidate = b""
            self._end_response()

    def confirm_end(self) -> None:
        """End a response whose last bytes are undecided, as its length says."""
        if self._phase is not _Phase.ENDING:
            return
        self._candidate = b""
        self._parsed_candidate_bytes = 0
        self._end_response()
        if self._has_bytes_after_end:
            self._sink.on_stray_bytes()

    def _begin_message(self) -> None:
        self._phase = _Phase.HEAD
        self._head_tail = b""
        self._parsed_candidate_bytes = 0
        # A parser takes nothing after a message that announces the close.
        self._parser = httptools.HttpResponseParser(self)

    def _feed_head(self, data: bytes) -> bytes:
        """Parse up to the end of the head; returns the bytes after it."""
        seen = self._head_tail + data
        end = seen.find(_HEAD_END)
        if end < 0:
            self._head_tail = seen[-len(_HEAD_END) + 1 :]
            self._parse(data)
            return b""
        size = end + len(_HEAD_END) - len(self._head_tail)
        self._head_tail = b""
        self._parse(data[:size])
        return data[size:]

    def _feed_body(self, data: bytes) -> bytes:
        """Parse up to what may be a head inside the body; returns what is left."""
        parsed_bytes = self._take_parsed_count()
        candidate_bytes, self._candidate_bytes = self._candidate_bytes, 0
        search = search_head(data, candidate_bytes)
        start = len(data) if isinstance(search, NoHead) else search.start
        self._parse(data[parsed_bytes:start])
        if self._phase not in {_Phase.OTHER_BODY, _Phase.OWN_BODY}:
            # The message has ended there, so that the next one begins.
            return data[start:]
        return self._feed_candidate(data, max(start, parsed_bytes), search)

    def _feed_candidate(
        self, data: bytes, parsed_bytes: int, search: HeadSearch
    ) -> bytes:
        """Decide on what may be a head inside the body; returns what is left.

        Args:
            data: Bytes of the body.
            parsed_bytes: How many of them were parsed.
            search: Where the candidate is.
        """
        match search:
            case FoundHead(start=start, end=end, head=head):
                if self._ends_body(head):
                    return self._end_body_at(data[start:], head)
                self._parse_candidate(data[parsed_bytes : end - 1])
                if self._phase in {_Phase.HEAD, _Phase.ENDING}:
                    # The framing ends the body inside the head, which is hence none of
                    # its parts.
                    return self._end_body_at(data[start:], head)
                self._parse(data[max(parsed_bytes, end - 1) : end])
                self._parsed_candidate_bytes = max(0, parsed_bytes - end)
                return data[end:]
            case PartialHead(start=start):
                self._keep_candidate(data[start:], parsed_bytes - start)
        return b""

    def _keep_candidate(self, candidate: bytes, parsed_bytes: int) -> None:
        """Keep the begin of a head until the rest of it shows what it is.

        It is parsed at once if the framing tells where the body ends: the bytes may be
        the last ones. A body without a length, or one that is dropped, can wait.
        """
        end = self._parsable_bytes(candidate)
        body_bytes_before = self._body_bytes
        self._parse_candidate(candidate[parsed_bytes:end])
        if self._phase is _Phase.ENDING:
            added_bytes = self._body_bytes - body_bytes_before
            self._own_candidate_bytes = parsed_bytes + added_bytes
        if self._phase is not _Phase.IDLE:
            self._candidate = candidate
            self._parsed_candidate_bytes = max(parsed_bytes, end)

    def _parsable_bytes(self, candidate: bytes) -> int:
        """Return how much of the begin of a head is parsed as body at once."""
        if self._phase is _Phase.OTHER_BODY:
            return 0
        match self._framing:
            case ResponseFraming.CLOSE:
                return 0
            case ResponseFraming.CHUNKED:
                # More follows, at least the last chunk. A blank line could complete an
                # event.
                blank_line = candidate.find(_HEAD_END)
                return len(candidate) if blank_line < 0 else blank_line
        return len(candidate)

    def _parse_candidate(self, data: bytes) -> None:
        self._in_candidate = True
        self._parse(data)
        self._in_candidate = False

    def _feed_after_end(self, data: bytes) -> bytes:
        """Decide on the end of a body by the bytes after it; returns what is left."""
        self._parsed_candidate_bytes = 0
        end = self._own_candidate_bytes
        match search_head(data):
            case PartialHead(start=start) if start < end:
                self._candidate = data
                self._has_bytes_after_end = len(data) > end
                return b""
            case FoundHead(start=start, head=head) if start < end:
                return self._end_body_at(data, head)
        self._has_bytes_after_end = False
        self.confirm_end()
        return data[end:]

    def _take_parsed_count(self) -> int:
        parsed_bytes, self._parsed_candidate_bytes = self._parsed_candidate_bytes, 0
        return parsed_bytes

    def _ends_body(self, head: ResponseHead) -> bool:
        """Whether a head inside a body can't be a part of that body."""
        return any(
            attribute(head) is Attribution.OWN
            for attribute in (self._attribute, *self._earlier)
        )

    def _end_body_at(self, data: bytes, head: ResponseHead) -> bytes:
        """End a body where the head of another response begins, with these bytes."""
        if self._phase is _Phase.OTHER_BODY:
            self._begin_message()
            return data
        if self._phase is _Phase.HEAD:
            return data
        if self._framing is ResponseFraming.CLOSE:
            self._end_response()
            return data
        self._drop(head, DropPosition.INSIDE)
        raise InvalidResponse("another response begins inside the body")

    def _take_stray(self, data: bytes) -> None:
        """Take bytes that no request waits for; looks for a head, for the log."""
        self._overhead_bytes = 0
        self._sink.on_stray_bytes()
        if len(self._stray) >= _MAX_STRAY_BYTES:
            return
        self._stray += data[:_MAX_STRAY_BYTES]
        match search_head(bytes(self._stray)):
            case FoundHead(end=end, head=head):
                del self._stray[:end]
                self._drop(head, DropPosition.AFTER)

    def _drop(self, head: ResponseHead, position: DropPosition) -> None:
        attribution = self._attribute(head)
        self._sink.on_dropped(DroppedResponse(head, position, attribution))

    def _parse(self, data: bytes) -> None:
        if not data or self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise InvalidResponse("the server switches protocols") from error
        except httptools.HttpParserError as error:
            self._handle_parser_error(error)

    def _handle_parser_error(self, error: httptools.HttpParserError) -> None:
        match self._phase:
            case _Phase.IDLE:
                # The response is complete; what follows it belongs to no request.
                self._sink.on_stray_bytes()
            case _Phase.ENDING:
                self._has_bytes_after_end = True
            case _Phase.OTHER_BODY:
                # Its end is unknown; only a head that names a request ends it now.
                self._parser = None
            case _:
                raise InvalidResponse(f"invalid HTTP response: {error}") from error

    def _end_response(self) -> None:
        self._phase = _Phase.IDLE
        self._overhead_bytes = 0
        self._stray.clear()
        self._sink.on_end()

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        match self._phase:
            case _Phase.IDLE:
                self._sink.on_stray_bytes()
            case _Phase.ENDING:
                self._has_bytes_after_end = True
        self._headers = []
        self._in_headers = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_headers:
            return
        if len(self._headers) >= _MAX_HEADERS:
            raise ValueError("too many headers")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._in_headers = False
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status < _FIRST_STATUS and self._phase is _Phase.HEAD:
            # It is no informational response either, after which another one comes.
            raise ValueError(f"{status:03} is no status code")
        if status < _FIRST_FINAL_STATUS or self._phase is not _Phase.HEAD:
            return
        self._overhead_bytes = 0
        head = ResponseHead(status, self._headers)
        if self._attribute(head) is Attribution.OTHER:
            self._phase = _Phase.OTHER_BODY
            self._skipped_responses += 1
            self._drop(head, DropPosition.BEFORE)
            return
        self._phase = _Phase.OWN_BODY
        self._framing = response_framing(head)
        # The server may send a body to HEAD all the same.
        keep_alive = self._parser.should_keep_alive() and not self._head_only
        self._sink.on_head(head, keep_alive=keep_alive)
        if self._head_only:
            self._framing = ResponseFraming.NO_BODY
            self._end_response()

    def on_body(self, data: bytes) -> None:
        match self._phase:
            case _Phase.OWN_BODY:
                self._overhead_bytes = 0
                self._body_bytes += len(data)
                self._sink.on_data(data)
            case _Phase.OTHER_BODY:
                self._overhead_bytes = 0

    def on_message_complete(self) -> None:
        match self._phase:
            case _Phase.OWN_BODY if self._in_candidate:
                self._phase = _Phase.ENDING
                self._has_bytes_after_end = False
            case _Phase.OWN_BODY:
                self._end_response()
            case _Phase.OTHER_BODY | _Phase.HEAD:
                self._begin_message()

"""A caller's connection: reads its requests, and handles them one at a time."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from typing import NamedTuple, cast

from gentianhoist.http1._connection_limit import ConnectionState
from gentianhoist.http1._connection_memory import ConnectionMemory, LimitedMemory
from gentianhoist.http1._connection_server import ConnectionServer
from gentianhoist.http1._delivery import Delivery
from gentianhoist.http1._expectation import ContinueExpectation
from gentianhoist.http1._input import SlicedInput
from gentianhoist.http1._receive_budget import CutReason, Hold, Pool
from gentianhoist.http1._receive_buffer import set_receive_buffer
from gentianhoist.http1._refusals import Refusals
from gentianhoist.http1._request_reader import RequestReader
from gentianhoist.http1._responder import CallerRequest, Responder
from gentianhoist.http1._timer import Timer

__all__ = ["Connection"]

_log = logging.getLogger(__name__)

# Reading pauses while this many requests of a connection wait for a response.
_MAX_PIPELINED = 16
_MAX_BODY_SLICE_BYTES = 8 * 1024
# The objects of very short headers need a multiple of their bytes.
_MAX_HEAD_SLICE_BYTES = 1024
_LINGER_S = 1.0
# Bytes that a caller may send on after a refusal, while there are many connections.
_MAX_LINGER_BYTES = 128 * 1024
# Time in which a connection that makes room for another one passes its last response to
# the network.
_EVICTION_S = 0.1
_MAX_WRITE_BUFFER_BYTES = 256 * 1024
# With a memory limit: bytes of a response that needn't be read before the next request
# of the connection is handled.
_LIMITED_WRITE_BUFFER_BYTES = 64 * 1024
_REQUEST_TIMEOUT = 408
_UNAVAILABLE = 503


class _PendingRequest(NamedTuple):
    request: CallerRequest
    hold: Hold | None


class Connection(asyncio.BaseProtocol):
    """Reads the requests of one connection and handles them one at a time, in order."""

    def __init__(self, server: ConnectionServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(self, server.limits)
        self._input = SlicedInput(
            self._parse, self._has_room, server.turns, self._max_slice_bytes
        )
        self._memory = ConnectionMemory()
        self._refusals = Refusals(server)
        self._pending_requests: deque[_PendingRequest] = deque()
        self._handler_task: asyncio.Task[None] | None = None
        self._timer = Timer()
        self._writable = asyncio.Event()
        self._writable.set()
        self._delivery = Delivery(self, lambda: server.limits().idle_timeout_s)
        self._discards_input = False
        self._discarded_bytes = 0
        self._expectation = ContinueExpectation(self._is_next_to_respond, self.write)

    @property
    def is_draining(self) -> bool:
        """Whether the server is draining, and no request waits for its response.

        The next response is then the last one of the connection.
        """
        return (
            self._server.is_draining
            and not self._pending_requests
            and self._input.is_empty
        )

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether a part of a response hasn't been passed to the network."""
        return bool(self._delivery.unsent_bytes)

    @property
    def is_idle(self) -> bool:
        """Whether no request is known, and no received bytes may hold one.

        Also true while the body of the only request is being received.
        """
        return not self._has_request and self._input.is_empty

    @property
    def _has_request(self) -> bool:
        """Whether headers are being read, or a request is pending or in progress."""
        return (
            self._handler_task is not None
            or bool(self._pending_requests)
            or self._reader.in_headers
        )

    # Callbacks of the asyncio transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)
        self._input.start(transport)
        self._delivery.start(transport)
        if self._server.memory is None:
            transport.set_write_buffer_limits(high=_MAX_WRITE_BUFFER_BYTES)
        else:
            transport.set_write_buffer_limits(high=_LIMITED_WRITE_BUFFER_BYTES, low=0)
            self._memory = LimitedMemory(self._server.memory.budget, self)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connections.add(self)
        if self._server.connection_limit is not None:
            self._server.connection_limit.add(self, self._loop.time())
        self._timer.start(self._server.limits().idle_timeout_s, self._on_idle_timeout)

    def data_received(self, data: bytes) -> None:
        if self._is_reading:
            self._input.receive(data)
        else:
            self._discard(len(data))

    def _discard(self, count: int) -> None:
        """Take bytes after a refusal, which the caller may read only after them."""
        self._discarded_bytes += count
        limit = self._server.connection_limit
        if limit is None or not limit.is_half_full:
            return
        if self._discards_input and self._discarded_bytes > _MAX_LINGER_BYTES:
            self.close()

    @property
    def _is_reading(self) -> bool:
        """Whether received bytes may still hold a request."""
        return not (self._discards_input or self._reader.error_status)

    def _has_room(self) -> bool:
        if not self._is_reading:
            return True
        return len(self._pending_requests) < _MAX_PIPELINED and self._memory.may_read

    def _max_slice_bytes(self) -> int:
        """Bytes to parse until the memory of a request is looked at again."""
        if self._reader.in_request and not self._reader.in_headers:
            return _MAX_BODY_SLICE_BYTES
        return _MAX_HEAD_SLICE_BYTES

    def _parse(self, data: memoryview) -> None:
        if not self._is_reading:
            return
        self._reader.feed(data)
        if self._reader.has_tiny_chunks and self._server.turns.is_overloaded:
            self._cut_tiny_chunks()
        if self._reader.error_status:
            self._reader.discard()
        self._memory.update(self._reader)
        self._start_next_request()
        self._update_state()

    def _cut_tiny_chunks(self) -> None:
        """Refuse a request that takes more time than others can wait."""
        self._record_cut(CutReason.TINY_CHUNKS, self._memory.pool)
        self._reader.fail(_UNAVAILABLE)

    def eof_received(self) -> bool:
        # A caller that has closed its sending side is assumed not to read the response.
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        if self._server.connection_limit is not None:
            self._server.connection_limit.remove(self)
        self._input.close()
        self._delivery.close()
        self._timer.cancel()
        self._writable.set()
        self._pending_requests.clear()
        self._reader.discard()
        self._transport = None
        self._memory.close()
        if self._handler_task is not None:
            self._handler_task.cancel()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()
        if self._memory.is_limited and self._handler_task is None:
            self._memory.end_response()
            self._start_next_request()
        self._update_state()

    # Methods of RequestSink, for the reader of requests.

    def on_request_begin(self) -> None:
        """Take that the first byte of a request was read."""
        self._memory.begin_request()
        self._timer.start(
            self._server.limits().header_timeout_s, self._on_header_timeout
        )

    def on_head_end(self) -> None:
        """Take that a head has ended."""
        self._timer.cancel()

    def on_head(self, request: CallerRequest) -> None:
        """Take a request whose body isn't received yet."""
        self._memory.take_head(self._reader)
        self._expectation.begin(request)

    def on_body_begin(self) -> None:
        """Take that the caller sends the body, or has sent all of it."""
        self._expectation.end()

    def on_request(self, request: CallerRequest) -> None:
        """Take a complete request."""
        request.received_s = self._loop.time()
        hold = self._memory.complete_request(self._reader)
        self._pending_requests.append(_PendingRequest(request, hold))

    # Methods of MemoryOwner and MonitoredConnection, for the budget.

    def resume(self) -> None:
        """Continue to read, if there is no other reason to pause."""
        self._input.update()
        self._update_state()

    def cut_request(self, reason: CutReason) -> None:
        """Refuse the request that is being received, after the responses before it."""
        is_late = reason is CutReason.NO_PROGRESS
        self._reader.fail(_REQUEST_TIMEOUT if is_late else _UNAVAILABLE)
        self._reader.discard()
        self._input.update()
        self._start_next_request()

    def cut_response(self, reason: CutReason) -> None:
        """Reset the connection, whose caller doesn't read a response."""
        self.abort()

    def check_progress(self) -> None:
        """Look whether the caller may send."""
        if self._input.is_paused:
            self._memory.record_pause()

    def set_receive_buffer(self, size_bytes: int) -> None:
        """Set how much the kernel receives before the connection reads."""
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            set_receive_buffer(sock, size_bytes)

    # Methods of DeliveryOwner, for bytes that the caller doesn't read.

    def on_delivery_progress(self) -> None:
        """Take that the caller has read a part of a response."""
        self._memory.record_read()

    def on_delivery_stall(self) -> None:
        """Take that the caller has stopped to read, or reads on."""
        self._update_state()

    def on_delivery_timeout(self) -> None:
        """Reset the connection, whose caller has read nothing for too long."""
        self._record_cut(CutReason.NO_PROGRESS, Pool.RESPONSE)
        self.abort()

    # Methods of EvictableConnection, for the limit of connections.

    @property
    def _state(self) -> ConnectionState:
        if self._delivery.is_stalled:
            return ConnectionState.UNREAD
        if self._discards_input:
            return ConnectionState.CLOSING
        if self._handler_task is not None or self._pending_requests:
            return ConnectionState.BUSY
        if not self._writable.is_set():
            return ConnectionState.BUSY
        if not self._reader.in_request and self._input.is_empty:
            return ConnectionState.IDLE
        if self._memory.waits_for_large:
            return ConnectionState.WAITING_FOR_ROOM
        return ConnectionState.RECEIVING

    def _update_state(self) -> None:
        limit = self._server.connection_limit
        if limit is not None:
            limit.set_state(self, self._state, self._loop.time())

    def evict(self) -> None:
        """Close the connection; a request that is being received is refused."""
        match self._state:
            case ConnectionState.UNREAD:
                self._record_cut(CutReason.MANY_CONNECTIONS, Pool.RESPONSE)
                self.abort()
            case ConnectionState.IDLE:
                self._record_cut(CutReason.IDLE, Pool.CONNECTION)
                self.close()
            case ConnectionState.CLOSING:
                self.close()
            case _:
                self.refuse()
        self._loop.call_later(_EVICTION_S, self.abort)

    def refuse(self) -> None:
        """Refuse what the caller sends, and close without waiting until it reads."""
        self._record_cut(CutReason.MANY_CONNECTIONS, Pool.CONNECTION)
        self._reader.fail(_UNAVAILABLE)
        self._reader.discard()
        self._refusals.send(self, _UNAVAILABLE)
        self.close()

    def _record_cut(self, reason: CutReason, pool: Pool) -> None:
        self._refusals.record_cut(reason, pool, self._reader.content_bytes)

    # Methods of CallerConnection, for the responder.

    def write(self, data: bytes) -> None:
        """Write bytes to the transport; does nothing if the connection has ended."""
        self._delivery.write(data)

    async def wait_writable(self) -> None:
        """Wait while the write buffer is too full to take more data."""
        await self._writable.wait()

    async def reserve_response(self, count: int) -> None:
        """Wait until there is room for bytes of a response that is kept whole.

        Raises:
            ResponseCut: If there is none.
        """
        await self._memory.reserve_response(count)

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection once all buffered bytes are written."""
        if self._transport is not None:
            self._transport.close()

    def close_after_linger(self) -> None:
        """Close after a delay in which the caller can read the response.

        An immediate close with unread input resets the connection, and the caller may
        lose the response.
        """
        self._discards_input = True
        if self._transport is None:
            return
        self._input.update()
        self._update_state()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._timer.start(_LINGER_S, self.close)

    # Handling of one request at a time.

    def _is_next_to_respond(self) -> bool:
        """Whether the request that is being received has no other before it."""
        return (
            self._is_reading
            and self._handler_task is None
            and not self._pending_requests
        )

    def _start_next_request(self) -> None:
        if (
            self._handler_task is not None
            or self._transport is None
            or self._discards_input
        ):
            return
        if self._memory.is_limited and not self._writable.is_set():
            return  # The response before is kept until its caller has read it.
        if not self._pending_requests:
            if self._reader.error_status > 0:
                self._refusals.send(
                    self, self._reader.error_status, self._reader.error_cause
                )
            return
        request, hold = self._pending_requests.popleft()
        self._memory.start_request(hold)
        if not self._reader.in_headers:
            self._timer.cancel()
        self._input.update()
        is_last = bool(self._reader.error_status) and not self._pending_requests
        responder = Responder(
            self,
            keep_alive=request.keep_alive and not is_last,
            head_only=request.method == b"HEAD",
            takes_chunks=not request.predates_http_1_1,
        )
        self._handler_task = self._loop.create_task(
            self._run_handler(request, responder, hold)
        )

    async def _run_handler(
        self, request: CallerRequest, responder: Responder, hold: Hold | None
    ) -> None:
        try:
            await self._server.handler(request, responder)
            if not responder.finished:
                _log.error("request handler returned without a complete response")
                responder.abort()
        except asyncio.CancelledError:
            responder.abort()
        except Exception:
            _log.exception("request handler failed")
            responder.abort()
        finally:
            self._handler_task = None
            self._memory.end_request(hold)
            self._end_response()
            self._update_state()
        if self._transport is not None and not self._discards_input:
            self._on_response_sent()

    def _end_response(self) -> None:
        """Give back what the response held, once its caller has read it."""
        if self._transport is None or self._writable.is_set():
            self._memory.end_response()
        else:
            self._memory.record_written()

    def _on_response_sent(self) -> None:
        if self.is_idle and self.is_draining:
            self.close()
            return
        if not self._has_request:
            self._timer.start(
                self._server.limits().idle_timeout_s, self._on_idle_timeout
            )
        self._start_next_request()
        self._expectation.send_if_due()

    def _on_header_timeout(self) -> None:
        self._reader.fail(_REQUEST_TIMEOUT)
        self._start_next_request()

    def _on_idle_timeout(self) -> None:
        if self.is_idle:
            self.close()

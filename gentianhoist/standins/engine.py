"""Stand-in for a model engine: the HTTP protocol and faults around `EngineSimulator`.

The protocol:

- ``POST /v1/streams`` starts a stream and responds with JSON lines of new tokens.
- ``GET /v1/streams/{id}?from=N`` resumes a stream at token offset N, ``DELETE``
  cancels it, and ``GET /v1/streams`` lists all.
- ``GET /v1/load`` returns the load report, and ``GET /v1/cache-events?after=N`` the
  changes of the prefix cache after cursor N; both are late.
- ``GET /v1/streams/{id}/kv`` confirms that the engine holds a stream, in place of
  exporting its KV cache.
- ``POST /v1/orders`` executes an order that carries a fencing token.
- ``POST /crash`` and ``POST /cool`` crash the engine and reset its warm-up, for tests.
"""

from __future__ import annotations

import asyncio
import time
import uuid
from collections import deque

import msgspec
from aiohttp import web

from gentianhoist.standins._engine_simulator import (
    EngineCrashed,
    EngineProfile,
    EngineSimulator,
    PromptTooLarge,
    StreamSpec,
    prompt_seed,
)
from gentianhoist.standins._server import StandinServer, json_response

__all__ = ["EngineFaults", "EngineStandin"]

_MAX_FINISHED_OUTPUTS = 256
_SILENT_POLL_S = 0.5
_CRASH_DELAY_S = 0.002


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of an engine.

    Attributes:
        cache_event_delay_s: Delay of the responses with cache events, in seconds.
        cache_event_gap: Every event whose cursor is a multiple of this is lost; 0 loses
            none.
        load_lag_s: Age of the load report in seconds.
        ignore_cancels: Whether cancellations have no effect.
        silent: Whether open streams send nothing more but stay connected.
        crash_text: The engine crashes when it begins to answer a prompt with this
            text; empty for none.
    """

    cache_event_delay_s: float = 0.2
    cache_event_gap: int = 0
    load_lag_s: float = 0.5
    ignore_cancels: bool = False
    silent: bool = False
    crash_text: str = ""


class _SubmitBody(msgspec.Struct):
    stream_id: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    start: int = 0
    priority: int = 0
    labels: tuple[tuple[int, int], ...] = ()
    generated: str = ""
    sampling: str = "{}"
    hold: bool = False
    imported: bool = False


class _OrderBody(msgspec.Struct):
    order: str
    target: str
    fencing: int


class _StreamOutput:
    """Tokens that a stream has generated, for its current and later readers."""

    def __init__(self, start: int) -> None:
        self.start = start
        self.texts: list[str] = []
        self.finish_reason = ""
        self.changed_event = asyncio.Event()

    def notify_readers(self) -> None:
        self.changed_event.set()
        self.changed_event = asyncio.Event()


class EngineStandin(StandinServer[EngineFaults]):
    """One simulated engine behind its HTTP interface.

    Args:
        host: IP address to listen on.
        port: TCP port, or 0 for any free port.
        profile: Speed and capacity of the engine.
        checks_fencing: Whether it refuses orders with a lower fencing token than the
            highest that it has seen.
        warm: Whether it is warm at the first boot; after a crash it is cold.
        faults: The initial faults.

    Attributes:
        simulator: Simulator of the engine since its latest boot.
        boot_id: Id of the latest boot.
        highest_fencing_token: Highest fencing token of any order.
        orders: Orders that were executed, oldest first.
        crashes: Number of crashes.
    """

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        profile: EngineProfile | None = None,
        *,
        checks_fencing: bool = False,
        warm: bool = False,
        faults: EngineFaults | None = None,
    ) -> None:
        super().__init__(host, port, faults or EngineFaults())
        self._profile = profile or EngineProfile()
        self._checks_fencing = checks_fencing
        self._outputs: dict[str, _StreamOutput] = {}
        self._finished_ids: deque[str] = deque()
        self._work_available = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._restart_end_s = 0.0
        self._load_reports: deque[tuple[float, dict[str, object]]] = deque()
        self.simulator = EngineSimulator(self._profile, warm=warm)
        self.boot_id = uuid.uuid4().hex
        self.highest_fencing_token = 0
        self.orders: list[_OrderBody] = []
        self.crashes = 0

    async def start(self) -> None:
        """Start to listen and to run the engine."""
        await super().start()
        self._task = asyncio.create_task(self._run_steps())

    async def close(self) -> None:
        """Stop the engine and stop listening."""
        if self._task is not None:
            self._task.cancel()
        await super().close()

    def crash(self) -> None:
        """Crash and boot anew, cold.

        Every stream ends, the KV cache is lost, and new streams and load requests get
        status 503 until the restart time is over.
        """
        self.crashes += 1
        for output in self._outputs.values():
            output.finish_reason = output.finish_reason or "crashed"
            output.notify_readers()
        self._outputs.clear()
        self._finished_ids.clear()
        self.simulator = EngineSimulator(self._profile)
        self.boot_id = uuid.uuid4().hex
        self._restart_end_s = time.monotonic() + self._profile.restart_s

    def reset_warmup(self) -> None:
        """Make the engine cold again without a crash; its streams continue, slowly."""
        self.simulator.reset_warmup()

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/v1/streams", self._submit)
        router.add_get("/v1/streams", self._list)
        router.add_get("/v1/streams/{id}", self._resume)
        router.add_delete("/v1/streams/{id}", self._cancel)
        router.add_get("/v1/streams/{id}/kv", self._export)
        router.add_get("/v1/load", self._load)
        router.add_get("/v1/cache-events", self._cache_events)
        router.add_post("/v1/orders", self._order)
        router.add_post("/crash", self._crash)
        router.add_post("/cool", self._reset_warmup)

    async def _run_steps(self) -> None:
        while True:
            if not self.simulator.has_work:
                self._work_available.clear()
                await self._work_available.wait()
            simulator = self.simulator
            report = simulator.step()
            await asyncio.sleep(report.duration_s)
            if simulator is not self.simulator:
                continue
            updated_ids = set()
            for token in report.emitted:
                output = self._outputs.get(token.stream_id)
                if output is not None:
                    output.texts.append(token.text)
                    updated_ids.add(token.stream_id)
            for stream_id in report.finished:
                self._finish(stream_id)
                updated_ids.add(stream_id)
            for stream_id in updated_ids:
                if stream_id in self._outputs:
                    self._outputs[stream_id].notify_readers()

    def _finish(self, stream_id: str) -> None:
        output = self._outputs.get(stream_id)
        if output is None:
            return
        output.finish_reason = "length"
        self._finished_ids.append(stream_id)
        while len(self._finished_ids) > _MAX_FINISHED_OUTPUTS:
            self._outputs.pop(self._finished_ids.popleft(), None)

    def _restarting_response(self) -> web.Response | None:
        if time.monotonic() < self._restart_end_s:
            return json_response({"error": "restarting"}, status=503)
        return None

    async def _submit(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read(), type=_SubmitBody)
        if (unavailable := self._restarting_response()) is not None:
            return unavailable
        if body.stream_id in self._outputs:
            return json_response({"error": "stream exists"}, status=409)
        spec = StreamSpec(
            body.stream_id,
            prompt_seed(body.prompt),
            body.prompt_tokens,
            body.start,
            body.max_tokens,
            body.priority,
            body.labels,
            body.hold,
            body.imported,
        )
        try:
            self.simulator.submit(spec)
        except PromptTooLarge:
            return json_response({"error": "larger than the KV cache"}, status=413)
        except EngineCrashed:
            self.crash()
            return json_response({"error": "overloaded while cold"}, status=503)
        self._outputs[body.stream_id] = _StreamOutput(body.start)
        self._work_available.set()
        if self.faults.crash_text and self.faults.crash_text in body.prompt:
            asyncio.get_running_loop().call_later(_CRASH_DELAY_S, self.crash)
        return await self._write_stream(request, body.stream_id, body.start)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        stream_id = request.match_info["id"]
        if stream_id not in self._outputs:
            return json_response({"error": "no such stream"}, status=404)
        return await self._write_stream(
            request, stream_id, int(request.query.get("from", 0))
        )

    async def _write_stream(
        self, request: web.Request, stream_id: str, offset: int
    ) -> web.StreamResponse:
        output = self._outputs[stream_id]
        response = web.StreamResponse(headers={"X-Boot-Id": self.boot_id})
        response.content_type = "application/x-ndjson"
        await response.prepare(request)
        while True:
            changed_event = output.changed_event
            while self.faults.silent:
                await asyncio.sleep(_SILENT_POLL_S)
            texts = output.texts[offset - output.start :]
            if texts:
                await response.write(_line({"offset": offset, "texts": texts}))
                offset += len(texts)
            if output.finish_reason:
                await response.write(
                    _line({"end": output.finish_reason, "count": offset})
                )
                return response
            await changed_event.wait()

    async def _list(self, _request: web.Request) -> web.Response:
        return json_response({
            "boot_id": self.boot_id,
            "streams": self.simulator.stream_ids,
        })

    async def _cancel(self, request: web.Request) -> web.Response:
        stream_id = request.match_info["id"]
        if self.faults.ignore_cancels:
            return json_response({"freed": False})
        freed = self.simulator.cancel(stream_id)
        output = self._outputs.pop(stream_id, None)
        if output is not None and not output.finish_reason:
            output.finish_reason = "cancelled"
            output.notify_readers()
        return json_response({"freed": freed})

    async def _export(self, request: web.Request) -> web.Response:
        stream_id = request.match_info["id"]
        if stream_id not in self.simulator.stream_ids:
            return json_response({"error": "no such stream"}, status=404)
        return json_response({"stream_id": stream_id, "boot_id": self.boot_id})

    async def _load(self, _request: web.Request) -> web.Response:
        if (unavailable := self._restarting_response()) is not None:
            return unavailable
        now_s = time.monotonic()
        self._load_reports.append((
            now_s,
            {
                "boot_id": self.boot_id,
                "streams": len(self.simulator.stream_ids),
                "kv_free_tokens": self.simulator.kv_free_tokens,
            },
        ))
        while len(self._load_reports) > 1 and (
            self._load_reports[1][0] <= now_s - self.faults.load_lag_s
        ):
            self._load_reports.popleft()
        report = self._load_reports[0][1]
        # Only the load is late; the boot id is that of the process that responds.
        return json_response({**report, "boot_id": self.boot_id})

    async def _cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", 0))
        await asyncio.sleep(self.faults.cache_event_delay_s)
        gap = self.faults.cache_event_gap
        events = [
            {"cursor": event.cursor, "label": event.prefix_hash, "added": event.added}
            for event in self.simulator.cache_events
            if event.cursor > after and not (gap and event.cursor % gap == 0)
        ]
        return json_response({"boot_id": self.boot_id, "events": events})

    async def _order(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_OrderBody)
        if self._checks_fencing and body.fencing < self.highest_fencing_token:
            return json_response({"error": "stale fencing token"}, status=409)
        self.highest_fencing_token = max(self.highest_fencing_token, body.fencing)
        self.orders.append(body)
        return json_response({})

    async def _crash(self, _request: web.Request) -> web.Response:
        self.crash()
        return json_response({})

    async def _reset_warmup(self, _request: web.Request) -> web.Response:
        self.reset_warmup()
        return json_response({})


def _line(content: object) -> bytes:
    return msgspec.json.encode(content) + b"\n"

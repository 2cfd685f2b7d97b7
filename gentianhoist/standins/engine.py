"""Stand-in for a model engine: its HTTP protocol and its faults.

The protocol:

- ``POST /v1/streams`` starts a stream and answers with JSON lines, one a step.
- ``GET /v1/streams/{id}?from=N`` resumes one, ``DELETE`` cancels it, ``GET
  /v1/streams`` lists all.
- ``GET /v1/load`` is the lagging load report, ``GET /v1/cache-events?after=N`` the
  late cache events.
- ``GET /v1/streams/{id}/kv`` exports a hold's KV cache.
- ``POST /v1/orders`` takes an order with a fencing number.
"""

from __future__ import annotations

import asyncio
import time
import uuid
from collections import deque

import msgspec
from aiohttp import web

from gentianhoist.standins._engine_model import (
    EngineCrashed,
    EngineModel,
    EngineProfile,
    PromptTooLarge,
    StreamSpec,
    prompt_seed,
)
from gentianhoist.standins._server import StandinServer, json_response

__all__ = ["EngineFaults", "EngineStandin"]

_FINISHED_KEPT = 256
_IDLE_S = 0.5


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of an engine.

    Attributes:
        cache_event_delay_s: Lateness of cache events.
        cache_event_gap: Every how many events one is lost; 0 for none.
        load_lag_s: Age of the load report.
        ignore_cancels: Whether orders to cancel have no effect.
        silent: Whether open streams say nothing more.
    """

    cache_event_delay_s: float = 0.2
    cache_event_gap: int = 0
    load_lag_s: float = 0.5
    ignore_cancels: bool = False
    silent: bool = False


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


class _Output:
    """What a stream has emitted, for its present and later readers."""

    def __init__(self, start: int) -> None:
        self.start = start
        self.texts: list[str] = []
        self.end = ""
        self.changed = asyncio.Event()

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class EngineStandin(StandinServer[EngineFaults]):
    """One engine.

    Args:
        host: IP number to listen on.
        port: TCP port, 0 for any.
        profile: Speeds and sizes.
        checks_fencing: Whether it refuses an order with an old fencing number.
        warm: Whether the first boot starts warm.
        faults: The faults to begin with.
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
        self._outputs: dict[str, _Output] = {}
        self._finished: deque[str] = deque()
        self._work = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._down_until_s = 0.0
        self._loads: deque[tuple[float, dict[str, object]]] = deque()
        self.model = EngineModel(self._profile, warm=warm)
        self.boot_id = uuid.uuid4().hex
        self.highest_fencing_token = 0
        self.orders: list[_OrderBody] = []
        self.crashes = 0

    async def start(self) -> None:
        """Listen and start batching."""
        await super().start()
        self._task = asyncio.create_task(self._batch())

    async def close(self) -> None:
        """Stop batching and listening."""
        if self._task is not None:
            self._task.cancel()
        await super().close()

    def crash(self) -> None:
        """Fall over: every stream ends, the memory is lost, the next boot is cold."""
        self.crashes += 1
        for output in self._outputs.values():
            output.end = output.end or "crashed"
            output.wake()
        self._outputs.clear()
        self._finished.clear()
        self.model = EngineModel(self._profile)
        self.boot_id = uuid.uuid4().hex
        self._down_until_s = time.monotonic() + self._profile.restart_s

    def reset_warmup(self) -> None:
        """Lose the warmth without a warning; streams go on, slowly."""
        self.model.reset_warmup()

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
        router.add_post("/cool", self._cool)

    async def _batch(self) -> None:
        while True:
            if not self.model.has_work:
                self._work.clear()
                await self._work.wait()
            model = self.model
            report = model.step()
            await asyncio.sleep(report.duration_s)
            if model is not self.model:
                continue
            touched = set()
            for token in report.emitted:
                output = self._outputs.get(token.stream_id)
                if output is not None:
                    output.texts.append(token.text)
                    touched.add(token.stream_id)
            for stream_id in report.finished:
                self._finish(stream_id)
                touched.add(stream_id)
            for stream_id in touched:
                if stream_id in self._outputs:
                    self._outputs[stream_id].wake()

    def _finish(self, stream_id: str) -> None:
        output = self._outputs.get(stream_id)
        if output is None:
            return
        output.end = "length"
        self._finished.append(stream_id)
        while len(self._finished) > _FINISHED_KEPT:
            self._outputs.pop(self._finished.popleft(), None)

    def _gone(self) -> web.Response | None:
        if time.monotonic() < self._down_until_s:
            return json_response({"error": "restarting"}, status=503)
        return None

    async def _submit(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read(), type=_SubmitBody)
        if (gone := self._gone()) is not None:
            return gone
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
            self.model.submit(spec)
        except PromptTooLarge:
            return json_response({"error": "larger than the memory"}, status=413)
        except EngineCrashed:
            self.crash()
            return json_response({"error": "overloaded while cold"}, status=503)
        self._outputs[body.stream_id] = _Output(body.start)
        self._work.set()
        return await self._send(request, body.stream_id, body.start)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        stream_id = request.match_info["id"]
        if stream_id not in self._outputs:
            return json_response({"error": "no such stream"}, status=404)
        return await self._send(request, stream_id, int(request.query.get("from", 0)))

    async def _send(
        self, request: web.Request, stream_id: str, offset: int
    ) -> web.StreamResponse:
        output = self._outputs[stream_id]
        response = web.StreamResponse(headers={"X-Boot-Id": self.boot_id})
        response.content_type = "application/x-ndjson"
        await response.prepare(request)
        while True:
            changed = output.changed
            while self.faults.silent:
                await asyncio.sleep(_IDLE_S)
            texts = output.texts[offset - output.start :]
            if texts:
                await response.write(_line({"offset": offset, "texts": texts}))
                offset += len(texts)
            if output.end:
                await response.write(_line({"end": output.end, "count": offset}))
                return response
            await changed.wait()

    async def _list(self, _request: web.Request) -> web.Response:
        return json_response({
            "boot_id": self.boot_id,
            "streams": self.model.stream_ids,
        })

    async def _cancel(self, request: web.Request) -> web.Response:
        stream_id = request.match_info["id"]
        if self.faults.ignore_cancels:
            return json_response({"freed": False})
        freed = self.model.cancel(stream_id)
        output = self._outputs.pop(stream_id, None)
        if output is not None and not output.end:
            output.end = "cancelled"
            output.wake()
        return json_response({"freed": freed})

    async def _export(self, request: web.Request) -> web.Response:
        stream_id = request.match_info["id"]
        if stream_id not in self.model.stream_ids:
            return json_response({"error": "no such stream"}, status=404)
        return json_response({"stream_id": stream_id, "boot_id": self.boot_id})

    async def _load(self, _request: web.Request) -> web.Response:
        if (gone := self._gone()) is not None:
            return gone
        now_s = time.monotonic()
        self._loads.append((
            now_s,
            {
                "boot_id": self.boot_id,
                "streams": len(self.model.stream_ids),
                "kv_free_tokens": self.model.kv_free_tokens,
            },
        ))
        while len(self._loads) > 1 and (
            self._loads[1][0] <= now_s - self.faults.load_lag_s
        ):
            self._loads.popleft()
        report = self._loads[0][1]
        # A boot id is never reported late: a new process answers with its own.
        return json_response({**report, "boot_id": self.boot_id})

    async def _cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", 0))
        await asyncio.sleep(self.faults.cache_event_delay_s)
        gap = self.faults.cache_event_gap
        events = [
            {"cursor": event.cursor, "label": event.prefix_hash, "added": event.added}
            for event in self.model.cache_events
            if event.cursor > after and not (gap and event.cursor % gap == 0)
        ]
        return json_response({"boot_id": self.boot_id, "events": events})

    async def _order(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_OrderBody)
        if self._checks_fencing and body.fencing < self.highest_fencing_token:
            return json_response({"error": "old fencing number"}, status=409)
        self.highest_fencing_token = max(self.highest_fencing_token, body.fencing)
        self.orders.append(body)
        return json_response({})

    async def _crash(self, _request: web.Request) -> web.Response:
        self.crash()
        return json_response({})

    async def _cool(self, _request: web.Request) -> web.Response:
        self.reset_warmup()
        return json_response({})


def _line(content: object) -> bytes:
    return msgspec.json.encode(content) + b"\n"

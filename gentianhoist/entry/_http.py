"""The entry's HTTP interface for callers, and the answers to errors."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import uuid
from collections.abc import AsyncIterator, Callable, Generator
from contextlib import aclosing

from sanic import Request, Sanic
from sanic.response import HTTPResponse, raw

from gentianhoist.calls import check_idempotency_key
from gentianhoist.clocks import Clock
from gentianhoist.configuration import Identity
from gentianhoist.entry._calls import CallDispatcher
from gentianhoist.entry._completions import CompletionDispatcher
from gentianhoist.entry._errors import as_hoist_error, error_answer
from gentianhoist.entry._headers import (
    deadline_left_s,
    id_header,
    key_attempt,
    new_request_id,
    priority,
)
from gentianhoist.entry._jobs import CompletionJob
from gentianhoist.entry._keys import identify
from gentianhoist.entry._openai import (
    AnswerShape,
    Generation,
    error_body,
    parse_generation,
)
from gentianhoist.entry._operators import OperatorsApi
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.routing import count_tokens, prefix_hashes
from gentianhoist.settings import DeploymentSettings, EntrySettings, ModelSettings
from gentianhoist.telemetry import Metrics, make_request_logger
from gentianhoist.wire import CallRequest

_LOG = logging.getLogger(__name__)

_REQUEST_TIMEOUT_S = 30
_MAX_HEADER_BYTES = 16 * 1024
_JSON = "application/json"
_EVENT_STREAM = "text/event-stream"


class HttpApi:
    """Callers' requests, by Sanic.

    Args:
        settings: This entry's settings.
        deployment: The deployment's.
        identity: Who this process is.
        completions: Runs generations.
        calls: Runs calls of plain services.
        operators: Operators' routes.
        ready: Whether this entry has what it needs to serve.
        clock: This machine's clocks.
        events: Where requests are recorded.
        metrics: Where counts go.
    """

    def __init__(
        self,
        settings: EntrySettings,
        deployment: DeploymentSettings,
        identity: Identity,
        completions: CompletionDispatcher,
        calls: CallDispatcher,
        operators: OperatorsApi,
        ready: Callable[[], bool],
        clock: Clock,
        events: EventRing,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._deployment = deployment
        self._identity = identity
        self._completions = completions
        self._calls = calls
        self._ready = ready
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._in_progress = 0
        self.leaving = False
        self._app = self._make_app(operators)
        self._server = None

    @property
    def in_progress(self) -> int:
        """Requests that are not answered yet."""
        return self._in_progress

    async def start(self) -> None:
        """Listen."""
        address = self._settings.http
        self._server = await self._app.create_server(
            host=address.host,
            port=address.port,
            return_asyncio_server=True,
            access_log=False,
            backlog=2048,
        )
        await self._server.startup()
        await self._server.before_start()
        await self._server.after_start()

    async def close(self) -> None:
        """Stop listening."""
        if self._server is None:
            return
        await self._server.before_stop()
        self._server.close()
        for connection in list(self._server.connections):
            with contextlib.suppress(Exception):
                connection.close()
        await self._server.after_stop()

    def _make_app(self, operators: OperatorsApi) -> Sanic:
        # Sanic keeps a registry of names, and several entries may share a process.
        app = Sanic(f"entry-{uuid.uuid4().hex}", configure_logging=False)
        app.config.TOUCHUP = False
        app.config.MOTD = False
        app.config.REQUEST_MAX_SIZE = self._deployment.limits.body_bytes
        app.config.REQUEST_MAX_HEADER_SIZE = _MAX_HEADER_BYTES
        app.config.REQUEST_TIMEOUT = _REQUEST_TIMEOUT_S
        app.config.RESPONSE_TIMEOUT = self._deployment.limits.max_deadline_s
        app.add_route(self._livez, "/livez")
        app.add_route(self._readyz, "/readyz")
        app.add_route(self._get_models, "/v1/models")
        app.add_route(self._post_completion, "/v1/completions", methods=["POST"])
        app.add_route(self._post_chat, "/v1/chat/completions", methods=["POST"])
        app.add_route(
            self._post_call, "/v1/services/<service>/<operation>", methods=["POST"]
        )
        operators.add_routes(app)
        app.exception(Exception)(self._on_error)
        return app

    async def _livez(self, _request: Request) -> HTTPResponse:
        return raw(b'{"live": true}', content_type=_JSON)

    async def _readyz(self, _request: Request) -> HTTPResponse:
        ready = not self.leaving and self._ready()
        body = b'{"ready": true}' if ready else b'{"ready": false}'
        return raw(body, status=200 if ready else 503, content_type=_JSON)

    async def _get_models(self, request: Request) -> HTTPResponse:
        self._organisation(request)
        models = ", ".join(
            f'{{"id": "{model.name}", "object": "model", "created": 0,'
            f' "owned_by": "{self._deployment.name}"}}'
            for model in self._deployment.models
        )
        return raw(
            f'{{"object": "list", "data": [{models}]}}'.encode(), content_type=_JSON
        )

    async def _post_completion(self, request: Request) -> HTTPResponse | None:
        return await self._generate(request, chat=False)

    async def _post_chat(self, request: Request) -> HTTPResponse | None:
        return await self._generate(request, chat=True)

    async def _generate(self, request: Request, *, chat: bool) -> HTTPResponse | None:
        organisation = self._begin(request)
        generation = parse_generation(request.body, chat=chat)
        job = self._job(request, organisation, generation)
        shape = AnswerShape(job.request_id, generation, job.prompt_tokens)
        with self._counted():
            async with aclosing(self._timed(job)) as tokens:
                if generation.stream:
                    await self._stream(request, shape, tokens)
                    return None
                return await self._whole(request, shape, tokens)

    async def _timed(self, job: CompletionJob) -> AsyncIterator[tuple[str, ...]]:
        """The tokens of a job, which ends by its deadline whatever happens."""
        begun_s = self._clock.elapsed_s()
        tokens = 0
        async with aclosing(self._completions.run(job)) as stream:
            while True:
                left_s = job.deadline_s - self._clock.elapsed_s()
                try:
                    async with asyncio.timeout(max(0.0, left_s)):
                        texts = await anext(stream, None)
                except TimeoutError:
                    raise HoistError(
                        ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed"
                    ) from None
                if texts is None:
                    break
                if not tokens:
                    took_s = self._clock.elapsed_s() - begun_s
                    self._metrics.record_duration("first_token", took_s)
                tokens += len(texts)
                yield texts
        took_s = self._clock.elapsed_s() - begun_s
        self._events.record(
            EventKind.REQUEST_FINISHED,
            f"{tokens} tokens, {took_s:.3f} s",
            job.request_id,
        )

    async def _whole(
        self,
        request: Request,
        shape: AnswerShape,
        tokens: AsyncIterator[tuple[str, ...]],
    ) -> HTTPResponse:
        texts: list[str] = []
        async for part in tokens:
            texts.extend(part)
        return raw(
            shape.whole("".join(texts), len(texts)),
            headers=id_header(request),
            content_type=_JSON,
        )

    async def _stream(
        self,
        request: Request,
        shape: AnswerShape,
        tokens: AsyncIterator[tuple[str, ...]],
    ) -> None:
        response = None
        count = 0
        try:
            async for part in tokens:
                if response is None:
                    response = await request.respond(
                        content_type=_EVENT_STREAM, headers=id_header(request)
                    )
                first = count == 0
                count += len(part)
                await response.send(shape.chunk("".join(part), first=first))
        except HoistError as error:
            if response is None:
                raise
            # The status is sent already, so the error goes into the stream, without
            # the end mark that a whole answer has.
            self._note_failure(request, error)
            body = error_body(error, request.ctx.request_id)
            await response.send(b"data: " + body + b"\n\n")
            await response.eof()
            return
        if response is not None:
            await response.send(shape.last(count))
            await response.eof()

    async def _post_call(
        self, request: Request, service: str, operation: str
    ) -> HTTPResponse:
        organisation = self._begin(request)
        group = self._calls.group(service)
        found = [item for item in group.operations if item.name == operation]
        if not found:
            raise HoistError(
                ErrorKind.UNKNOWN_SERVICE,
                f"{service} has no operation {operation}",
                field="operation",
            )
        idempotent = found[0].idempotent
        call = CallRequest(
            stamp=self._identity.stamp(),
            request_id=request.ctx.request_id,
            organisation=organisation,
            service=service,
            operation=operation,
            idempotent=idempotent,
            key="" if idempotent else self._key(request),
            key_attempt=key_attempt(request),
            body=request.body,
            deadline_left_s=deadline_left_s(request, self._deployment.limits),
        )
        with self._counted():
            outcome = await self._calls.call(call)
        return raw(
            outcome.body,
            status=outcome.status,
            headers=id_header(request),
            content_type=outcome.content_type,
        )

    def _begin(self, request: Request) -> str:
        """Identify the caller and record the request."""
        self._metrics.increment("requests")
        request.ctx.request_id = new_request_id(request)
        organisation = self._organisation(request)
        self._events.record(
            EventKind.REQUEST_RECEIVED,
            f"{request.path} from {organisation}",
            request.ctx.request_id,
        )
        if self.leaving:
            raise HoistError(
                ErrorKind.LEAVING, "this entry is leaving", retry_after_s=0.1
            )
        if not self._ready():
            raise HoistError(
                ErrorKind.NOT_READY, "this entry is starting", retry_after_s=1.0
            )
        return organisation

    def _job(
        self, request: Request, organisation: str, generation: Generation
    ) -> CompletionJob:
        model = self._model(generation.model)
        prompt_tokens = count_tokens(generation.prompt)
        max_tokens = generation.max_tokens or self._deployment.limits.default_max_tokens
        if prompt_tokens + max_tokens > model.context_tokens:
            raise HoistError(
                ErrorKind.PROMPT_TOO_LONG,
                f"the prompt has about {prompt_tokens} tokens, and with"
                f" {max_tokens} of the answer {model.name} takes"
                f" {model.context_tokens}",
                field="messages" if generation.chat else "prompt",
            )
        return CompletionJob(
            request.ctx.request_id,
            model.name,
            organisation,
            generation.prompt,
            prompt_tokens,
            prefix_hashes(generation.prompt),
            max_tokens,
            self._clock.elapsed_s() + deadline_left_s(request, self._deployment.limits),
            priority(request),
            generation.sampling,
        )

    def _model(self, name: str) -> ModelSettings:
        for model in self._deployment.models:
            if model.name == name:
                return model
        raise HoistError(
            ErrorKind.UNKNOWN_MODEL, f"there is no model {name}", field="model"
        )

    def _organisation(self, request: Request) -> str:
        header = request.headers.get("authorization", "")
        return identify(header, self._deployment.organisations)

    def _key(self, request: Request) -> str:
        return check_idempotency_key(
            request.headers.get("idempotency-key", ""),
            self._clock.wall_s(),
            self._deployment.timing.outcome_retention_s,
        )

    @contextlib.contextmanager
    def _counted(self) -> Generator[None, None, None]:
        self._in_progress += 1
        self._metrics.set_gauge("streams", self._in_progress)
        try:
            yield
        finally:
            self._in_progress -= 1

    async def _on_error(self, request: Request, exception: Exception) -> HTTPResponse:
        error = as_hoist_error(exception)
        if error.kind is ErrorKind.INTERNAL:
            _LOG.error("unexpected error", exc_info=exception)
        self._note_failure(request, error)
        return error_answer(request, error)

    def _note_failure(self, request: Request, error: HoistError) -> None:
        self._metrics.increment("refusals")
        request_id = id_header(request)["X-Request-Id"]
        kind = (
            EventKind.REQUEST_REFUSED
            if error.not_run == "true"
            else EventKind.REQUEST_FAILED
        )
        self._events.record(kind, f"{error.kind}: {error.message}", request_id)
        make_request_logger(_LOG, request_id).info("%s: %s", error.kind, error.message)

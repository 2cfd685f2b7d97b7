"""HTTP API of the entry for callers: completions, chat, service calls and health."""

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
from gentianhoist.entry._authentication import authenticate
from gentianhoist.entry._calls import CallDispatcher
from gentianhoist.entry._completions import CompletionDispatcher
from gentianhoist.entry._errors import as_hoist_error, error_response
from gentianhoist.entry._headers import (
    new_request_id,
    parse_idempotency_attempt,
    parse_priority,
    parse_remaining_s,
    request_id_header,
)
from gentianhoist.entry._jobs import CompletionJob
from gentianhoist.entry._openai import (
    GenerationRequest,
    ResponseBuilder,
    encode_error,
    parse_generation,
)
from gentianhoist.entry._operators import OperatorsApi
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.routing import estimate_tokens, prefix_hashes
from gentianhoist.settings import DeploymentSettings, EntrySettings, ModelSettings
from gentianhoist.telemetry import Metrics, make_request_logger
from gentianhoist.wire import CallRequest

_LOG = logging.getLogger(__name__)

_REQUEST_TIMEOUT_S = 30
_MAX_HEADER_BYTES = 16 * 1024
_JSON = "application/json"
_EVENT_STREAM = "text/event-stream"


class HttpApi:
    """HTTP server for callers and operators, built on Sanic.

    Args:
        settings: Settings of this entry, including its listen address.
        deployment: Settings of the deployment.
        identity: Identity of this process, which stamps its messages.
        completions: Executes generation requests.
        calls: Forwards service calls.
        operators: Adds the routes for operators.
        is_ready: Returns whether this entry can serve requests.
        clock: Source of monotonic and wall-clock time.
        events: Ring buffer that requests are recorded in.
        metrics: Receives counters, gauges and timings.

    Attributes:
        is_leaving: Whether the entry drains: it refuses new requests and reports
            itself as not ready.
    """

    def __init__(
        self,
        settings: EntrySettings,
        deployment: DeploymentSettings,
        identity: Identity,
        completions: CompletionDispatcher,
        calls: CallDispatcher,
        operators: OperatorsApi,
        is_ready: Callable[[], bool],
        clock: Clock,
        events: EventRing,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._deployment = deployment
        self._identity = identity
        self._completions = completions
        self._calls = calls
        self._is_ready = is_ready
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._in_progress = 0
        self.is_leaving = False
        self._app = self._make_app(operators)
        self._server = None

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._in_progress

    async def start(self) -> None:
        """Start to listen for connections."""
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
        """Stop listening and close all connections."""
        if self._server is None:
            return
        await self._server.before_stop()
        self._server.close()
        for connection in list(self._server.connections):
            with contextlib.suppress(Exception):
                connection.close()
        await self._server.after_stop()

    def _make_app(self, operators: OperatorsApi) -> Sanic:
        # Sanic rejects a second application of the same name in a process, and several
        # entries may share a process.
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
        ready = not self.is_leaving and self._is_ready()
        body = b'{"ready": true}' if ready else b'{"ready": false}'
        return raw(body, status=200 if ready else 503, content_type=_JSON)

    async def _get_models(self, request: Request) -> HTTPResponse:
        self._authenticate(request)
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
        organisation = self._accept_request(request)
        generation = parse_generation(request.body, chat=chat)
        job = self._make_job(request, organisation, generation)
        builder = ResponseBuilder(job.request_id, generation, job.prompt_tokens)
        with self._track_in_progress():
            async with aclosing(self._run_until_deadline(job)) as tokens:
                if generation.stream:
                    await self._send_stream(request, builder, tokens)
                    return None
                return await self._send_complete(request, builder, tokens)

    async def _run_until_deadline(
        self, job: CompletionJob
    ) -> AsyncIterator[tuple[str, ...]]:
        """Yield the tokens of a job; fail once its deadline has passed."""
        started_s = self._clock.monotonic_s()
        token_count = 0
        async with aclosing(self._completions.run(job)) as stream:
            while True:
                remaining_s = job.deadline_s - self._clock.monotonic_s()
                try:
                    async with asyncio.timeout(max(0.0, remaining_s)):
                        texts = await anext(stream, None)
                except TimeoutError:
                    raise HoistError(
                        ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed"
                    ) from None
                if texts is None:
                    break
                if not token_count:
                    duration_s = self._clock.monotonic_s() - started_s
                    self._metrics.record_duration("first_token", duration_s)
                token_count += len(texts)
                yield texts
        duration_s = self._clock.monotonic_s() - started_s
        self._events.record(
            EventKind.REQUEST_FINISHED,
            f"{token_count} tokens, {duration_s:.3f} s",
            job.request_id,
        )

    async def _send_complete(
        self,
        request: Request,
        builder: ResponseBuilder,
        tokens: AsyncIterator[tuple[str, ...]],
    ) -> HTTPResponse:
        texts: list[str] = []
        async for batch in tokens:
            texts.extend(batch)
        return raw(
            builder.complete_body("".join(texts), len(texts)),
            headers=request_id_header(request),
            content_type=_JSON,
        )

    async def _send_stream(
        self,
        request: Request,
        builder: ResponseBuilder,
        tokens: AsyncIterator[tuple[str, ...]],
    ) -> None:
        response = None
        token_count = 0
        try:
            async for batch in tokens:
                if response is None:
                    response = await request.respond(
                        content_type=_EVENT_STREAM, headers=request_id_header(request)
                    )
                first = token_count == 0
                token_count += len(batch)
                await response.send(builder.chunk_event("".join(batch), first=first))
        except HoistError as error:
            if response is None:
                raise
            # The status line has been sent, so the error is sent as an event of the
            # stream, without the ``[DONE]`` event that ends a complete response.
            self._record_failure(request, error)
            body = encode_error(error, request.ctx.request_id)
            await response.send(b"data: " + body + b"\n\n")
            await response.eof()
            return
        if response is not None:
            await response.send(builder.final_events(token_count))
            await response.eof()

    async def _post_call(
        self, request: Request, service: str, operation: str
    ) -> HTTPResponse:
        organisation = self._accept_request(request)
        group = self._calls.find_group(service)
        matches = [known for known in group.operations if known.name == operation]
        if not matches:
            raise HoistError(
                ErrorKind.UNKNOWN_SERVICE,
                f"service {service} has no operation {operation}",
                field="operation",
            )
        idempotent = matches[0].idempotent
        call = CallRequest(
            stamp=self._identity.stamp(),
            request_id=request.ctx.request_id,
            organisation=organisation,
            service=service,
            operation=operation,
            idempotent=idempotent,
            idempotency_key="" if idempotent else self._check_key(request),
            idempotency_attempt=parse_idempotency_attempt(request),
            body=request.body,
            deadline_left_s=parse_remaining_s(request, self._deployment.limits),
        )
        with self._track_in_progress():
            outcome = await self._calls.call(call)
        return raw(
            outcome.body,
            status=outcome.status,
            headers=request_id_header(request),
            content_type=outcome.content_type,
        )

    def _accept_request(self, request: Request) -> str:
        """Authenticate the caller, record the request, and refuse it while draining.

        Returns:
            Name of the caller's organisation.

        Raises:
            HoistError: If the caller is unknown, or this entry is draining or not
                ready.
        """
        self._metrics.increment("requests")
        request.ctx.request_id = new_request_id(request)
        organisation = self._authenticate(request)
        self._events.record(
            EventKind.REQUEST_RECEIVED,
            f"{request.path} from {organisation}",
            request.ctx.request_id,
        )
        if self.is_leaving:
            raise HoistError(
                ErrorKind.LEAVING, "this entry is draining", retry_after_s=0.1
            )
        if not self._is_ready():
            raise HoistError(
                ErrorKind.NOT_READY, "this entry is starting", retry_after_s=1.0
            )
        return organisation

    def _make_job(
        self, request: Request, organisation: str, generation: GenerationRequest
    ) -> CompletionJob:
        model = self._find_model(generation.model)
        prompt_tokens = estimate_tokens(generation.prompt)
        max_tokens = generation.max_tokens or self._deployment.limits.default_max_tokens
        if prompt_tokens + max_tokens > model.context_tokens:
            raise HoistError(
                ErrorKind.PROMPT_TOO_LONG,
                f"the prompt has about {prompt_tokens} tokens, which with"
                f" {max_tokens} output tokens exceeds the context of {model.name},"
                f" {model.context_tokens} tokens",
                field="messages" if generation.is_chat else "prompt",
            )
        return CompletionJob(
            request.ctx.request_id,
            model.name,
            organisation,
            generation.prompt,
            prompt_tokens,
            prefix_hashes(generation.prompt),
            max_tokens,
            self._clock.monotonic_s()
            + parse_remaining_s(request, self._deployment.limits),
            parse_priority(request),
            generation.sampling,
        )

    def _find_model(self, name: str) -> ModelSettings:
        for model in self._deployment.models:
            if model.name == name:
                return model
        raise HoistError(
            ErrorKind.UNKNOWN_MODEL, f"there is no model {name}", field="model"
        )

    def _authenticate(self, request: Request) -> str:
        header = request.headers.get("authorization", "")
        return authenticate(header, self._deployment.organisations)

    def _check_key(self, request: Request) -> str:
        return check_idempotency_key(
            request.headers.get("idempotency-key", ""),
            self._clock.wall_s(),
            self._deployment.timing.outcome_retention_s,
        )

    @contextlib.contextmanager
    def _track_in_progress(self) -> Generator[None, None, None]:
        self._in_progress += 1
        self._metrics.set_gauge("streams", self._in_progress)
        try:
            yield
        finally:
            self._in_progress -= 1

    async def _on_error(self, request: Request, exception: Exception) -> HTTPResponse:
        error = as_hoist_error(exception)
        if error.kind is ErrorKind.INTERNAL:
            _LOG.error("unexpected error while handling a request", exc_info=exception)
        self._record_failure(request, error)
        return error_response(request, error)

    def _record_failure(self, request: Request, error: HoistError) -> None:
        self._metrics.increment("refusals")
        request_id = request_id_header(request)["X-Request-Id"]
        kind = (
            EventKind.REQUEST_REFUSED
            if error.not_run == "true"
            else EventKind.REQUEST_FAILED
        )
        self._events.record(kind, f"{error.kind}: {error.message}", request_id)
        make_request_logger(_LOG, request_id).info("%s: %s", error.kind, error.message)

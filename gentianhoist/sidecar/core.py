"""Assembly, start, drain and stop of the sidecar process."""

from __future__ import annotations

import asyncio
import logging

from grpclib.server import Server

from gentianhoist.capacity import (
    AdaptiveConcurrencyLimit,
    AdmissionController,
    AdmissionPolicy,
    SpeedEstimate,
)
from gentianhoist.clocks import Clock, HybridClock, SystemClock
from gentianhoist.configuration import ConfigurationReplica, Identity
from gentianhoist.events import EventKind, EventRing
from gentianhoist.settings import (
    BackendKind,
    DeploymentSettings,
    GroupSettings,
    SidecarSettings,
)
from gentianhoist.sidecar._engine_runner import EngineRunner
from gentianhoist.sidecar._grpc import SidecarGrpc
from gentianhoist.sidecar._orders import OrderRunner
from gentianhoist.sidecar._service_runner import ServiceRunner
from gentianhoist.store import HttpPlatform
from gentianhoist.telemetry import Metrics
from gentianhoist.wire import MsgpackCodec

__all__ = ["Sidecar"]

_LOG = logging.getLogger(__name__)

_DRAIN_POLL_PERIOD_S = 0.05
_METRICS_PERIOD_S = 1.0
# Entries learn of the drain from a heartbeat reply, before the port closes.
_DRAIN_NOTICE_HEARTBEATS = 2


class Sidecar:
    """One sidecar process, which serves one backend server.

    Args:
        settings: Settings of this sidecar.
        deployment: Settings of the deployment.
        clock: Clocks of this machine; the system clocks by default.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        deployment: DeploymentSettings,
        clock: Clock | None = None,
    ) -> None:
        self._settings = settings
        self._deployment = deployment
        self._clock = clock or SystemClock()
        hybrid_clock = HybridClock(self._clock)
        self._events = EventRing(
            hybrid_clock, settings.instance, settings.availability_zone
        )
        self._configuration = ConfigurationReplica()
        self._identity = Identity(
            settings.instance,
            settings.availability_zone,
            hybrid_clock,
            self._configuration,
        )
        self._metrics = Metrics(
            settings.metrics.host, settings.metrics.port, settings.metrics.prefix
        )
        self._platform = HttpPlatform(
            deployment.platform.url, deployment.platform.table_timeout_s
        )
        group = deployment.get_group(settings.group)
        self._engine: EngineRunner | None = None
        self._service: ServiceRunner | None = None
        self._orders: OrderRunner | None = None
        if group.kind is BackendKind.ENGINE:
            self._engine = self._make_engine_runner(group)
            self._orders = OrderRunner(
                self._engine.client, self._platform, self._clock, settings.instance
            )
        else:
            self._service = self._make_service_runner(group)
        self._grpc = SidecarGrpc(
            self._identity,
            self._configuration,
            self._events,
            self._engine,
            self._service,
            self._orders,
        )
        self._server = Server([self._grpc], codec=MsgpackCodec())
        self._metrics_task: asyncio.Task[None] | None = None

    @property
    def events(self) -> EventRing:
        """Event ring of this process."""
        return self._events

    @property
    def configuration(self) -> ConfigurationReplica:
        """Replica of the configuration."""
        return self._configuration

    @property
    def engine(self) -> EngineRunner | None:
        """Runner of generations, `None` unless the backend server is an engine."""
        return self._engine

    @property
    def service(self) -> ServiceRunner | None:
        """Runner of calls, `None` unless the backend server is a plain service."""
        return self._service

    async def start(self) -> None:
        """Start to serve; refuses new work until a configuration arrives."""
        await self._platform.start()
        if self._engine is not None:
            await self._engine.start()
        if self._orders is not None:
            await self._orders.start()
        if self._service is not None:
            await self._service.start()
        address = self._settings.grpc
        await self._server.start(address.host, address.port, backlog=1024)
        self._metrics_task = asyncio.create_task(self._report_metrics())
        self._events.record(EventKind.PROCESS_STARTED, "sidecar")
        _LOG.info("sidecar is listening on %s:%d", address.host, address.port)

    async def drain(self) -> None:
        """Refuse new work, and wait for work in progress up to the maximum deadline."""
        self._grpc.is_draining = True
        self._events.record(EventKind.PROCESS_LEAVING, "asked to stop")
        timing = self._deployment.timing
        await asyncio.sleep(timing.heartbeat_s * _DRAIN_NOTICE_HEARTBEATS)
        try:
            async with asyncio.timeout(self._deployment.limits.max_deadline_s):
                while self._work_in_progress():
                    await asyncio.sleep(_DRAIN_POLL_PERIOD_S)
        except TimeoutError:
            _LOG.error(
                "drain timed out at the maximum deadline with work still in progress"
            )

    async def close(self) -> None:
        """Stop at once, and cancel the work in progress."""
        if self._metrics_task is not None:
            self._metrics_task.cancel()
        self._server.close()
        await self._server.wait_closed()
        if self._orders is not None:
            await self._orders.close()
        if self._engine is not None:
            await self._engine.close()
        if self._service is not None:
            await self._service.close()
        await self._platform.close()
        self._events.record(EventKind.PROCESS_STOPPED, "sidecar")

    def _work_in_progress(self) -> int:
        runner = self._engine or self._service
        return runner.in_progress if runner is not None else 0

    def _make_engine_runner(self, group: GroupSettings) -> EngineRunner:
        admission = AdmissionController(
            AdmissionPolicy(
                group.kv_capacity_tokens,
                use_priority_scheduling=self._deployment.routing.classes,
            ),
            AdaptiveConcurrencyLimit(group.cold_streams, group.max_streams),
            SpeedEstimate(group.prefill_tokens_per_s, group.decode_step_s),
        )
        return EngineRunner(
            self._settings.backend_server_url,
            self._platform,
            admission,
            self._deployment.limits,
            self._deployment.timing,
            self._clock,
            self._events,
        )

    def _make_service_runner(self, group: GroupSettings) -> ServiceRunner:
        return ServiceRunner(
            self._settings.backend_server_url,
            AdaptiveConcurrencyLimit(group.cold_streams, group.max_streams),
            self._platform,
            self._clock,
            self._events,
            self._settings.instance,
            self._identity.incarnation,
            self._deployment.timing.outcome_retention_s,
        )

    async def _report_metrics(self) -> None:
        reported_writes = 0
        while True:
            await asyncio.sleep(_METRICS_PERIOD_S)
            self._metrics.increment(
                "store_writes", self._platform.write_count - reported_writes
            )
            reported_writes = self._platform.write_count
            self._metrics.set_gauge("streams", self._work_in_progress())
            self._metrics.set_gauge(
                "configuration_version", self._configuration.version
            )
            if self._engine is not None:
                self._metrics.set_gauge(
                    "work_limit", self._engine.load_report().limit_streams
                )
            if self._service is not None:
                self._metrics.set_gauge("work_limit", self._service.call_limit)

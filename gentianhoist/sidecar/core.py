"""The sidecar's process: puts its parts together, starts and stops them."""

from __future__ import annotations

import asyncio
import logging

from grpclib.server import Server

from gentianhoist.capacity import (
    AdmissionController,
    AdmissionPolicy,
    SlowStart,
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

_DRAIN_POLL_S = 0.05
_METRICS_S = 1.0
# Entries hear of the leaving in their next heartbeat, before the port closes.
_FAREWELL_HEARTBEATS = 2


class Sidecar:
    """One sidecar.

    Args:
        settings: Its own settings.
        deployment: The deployment's.
        clock: This machine's clocks.
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
        hybrid = HybridClock(self._clock)
        self._events = EventRing(hybrid, settings.instance, settings.availability_zone)
        self._configuration = ConfigurationReplica()
        self._identity = Identity(
            settings.instance, settings.availability_zone, hybrid, self._configuration
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
        self._reporter: asyncio.Task[None] | None = None

    @property
    def events(self) -> EventRing:
        """Its events."""
        return self._events

    @property
    def configuration(self) -> ConfigurationReplica:
        """Its copy of the configuration."""
        return self._configuration

    @property
    def engine(self) -> EngineRunner | None:
        """What runs generations, if its backend server is an engine."""
        return self._engine

    @property
    def service(self) -> ServiceRunner | None:
        """What runs calls, if its backend server is a plain service."""
        return self._service

    async def start(self) -> None:
        """Start to serve; new work is refused until there is a configuration."""
        await self._platform.start()
        if self._engine is not None:
            await self._engine.start()
        if self._orders is not None:
            await self._orders.start()
        if self._service is not None:
            await self._service.start()
        address = self._settings.grpc
        await self._server.start(address.host, address.port, backlog=1024)
        self._reporter = asyncio.create_task(self._report())
        self._events.record(EventKind.PROCESS_STARTED, "sidecar")
        _LOG.info("sidecar listens on %s:%d", address.host, address.port)

    async def drain(self) -> None:
        """Take no new work, and wait until the work in progress is done."""
        self._grpc.leaving = True
        self._events.record(EventKind.PROCESS_LEAVING, "asked to stop")
        timing = self._deployment.timing
        await asyncio.sleep(timing.heartbeat_s * _FAREWELL_HEARTBEATS)
        try:
            async with asyncio.timeout(self._deployment.limits.max_deadline_s):
                while self._in_progress():
                    await asyncio.sleep(_DRAIN_POLL_S)
        except TimeoutError:
            _LOG.error("work was still in progress at the longest deadline")

    async def close(self) -> None:
        """Stop at once."""
        if self._reporter is not None:
            self._reporter.cancel()
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

    def _in_progress(self) -> int:
        runner = self._engine or self._service
        return runner.in_progress if runner is not None else 0

    def _make_engine_runner(self, group: GroupSettings) -> EngineRunner:
        gate = AdmissionController(
            AdmissionPolicy(
                group.kv_capacity_tokens,
                use_length_classes=self._deployment.routing.classes,
            ),
            SlowStart(group.cold_streams, group.max_streams),
            SpeedEstimate(group.prefill_tokens_per_s, group.decode_step_s),
        )
        return EngineRunner(
            self._settings.backend_server_url,
            self._platform,
            gate,
            self._deployment.limits,
            self._deployment.timing,
            self._clock,
            self._events,
        )

    def _make_service_runner(self, group: GroupSettings) -> ServiceRunner:
        return ServiceRunner(
            self._settings.backend_server_url,
            SlowStart(group.cold_streams, group.max_streams),
            self._platform,
            self._clock,
            self._events,
            self._settings.instance,
            self._identity.incarnation,
            self._deployment.timing.outcome_retention_s,
        )

    async def _report(self) -> None:
        written = 0
        while True:
            await asyncio.sleep(_METRICS_S)
            self._metrics.increment(
                "store_writes", self._platform.write_count - written
            )
            written = self._platform.write_count
            self._metrics.set_gauge("streams", self._in_progress())
            self._metrics.set_gauge(
                "configuration_version", self._configuration.version
            )
            if self._engine is not None:
                self._metrics.set_gauge("work_limit", self._engine.load().limit_streams)
            if self._service is not None:
                self._metrics.set_gauge("work_limit", self._service.limit)

"""The entry process: creates its components, starts, drains and stops them."""

from __future__ import annotations

import asyncio
import logging

from grpclib.server import Server

from gentianhoist.allowance import Allowance, ShareLease
from gentianhoist.calls import CallResolver, GroupCommit, LostRecords
from gentianhoist.clocks import Clock, HybridClock, SystemClock
from gentianhoist.configuration import (
    ConfigurationLog,
    ConfigurationReplica,
    Confirmation,
    Identity,
)
from gentianhoist.entry._allowance import AllowanceManager
from gentianhoist.entry._calls import CallDispatcher
from gentianhoist.entry._completions import CompletionDispatcher
from gentianhoist.entry._configuration_manager import ConfigurationManager
from gentianhoist.entry._directory import Directory
from gentianhoist.entry._gang import GangDispatcher
from gentianhoist.entry._grpc import EntryGrpc
from gentianhoist.entry._http import HttpApi
from gentianhoist.entry._idle_monitor import IdleStreamMonitor
from gentianhoist.entry._jobs import RunRequestBuilder
from gentianhoist.entry._operators import OperatorsApi
from gentianhoist.entry._quarantine import JobQuarantine
from gentianhoist.events import EventKind, EventRing
from gentianhoist.membership import Membership, member_from_settings
from gentianhoist.orders import OrderLeaseClient
from gentianhoist.placement import LeastOutstanding, PlacementRule, RoundRobin
from gentianhoist.routing import MIN_TTFT_RULE
from gentianhoist.settings import (
    DeploymentSettings,
    EntrySettings,
    RoutingPolicyName,
)
from gentianhoist.store import HttpPlatform
from gentianhoist.telemetry import Metrics
from gentianhoist.wire import MsgpackCodec

__all__ = ["Entry"]

_LOG = logging.getLogger(__name__)

_DRAIN_POLL_S = 0.05
_METRICS_PERIOD_S = 1.0
# The load balancer and the other entries learn of the drain before the port closes.
_DRAIN_NOTICE_S = 1.0


class Entry:
    """One entry process, which serves callers, operators and other entries.

    Args:
        settings: Settings of this entry.
        deployment: Settings that all processes of the deployment share.
        clock: Clocks of this machine; the system's clocks if not given.
    """

    def __init__(
        self,
        settings: EntrySettings,
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
        self._metrics = Metrics(
            settings.metrics.host, settings.metrics.port, settings.metrics.prefix
        )
        self._platform = HttpPlatform(
            deployment.platform.url, deployment.platform.table_timeout_s
        )
        self._replica = ConfigurationReplica()
        self._identity = Identity(
            settings.instance, settings.availability_zone, hybrid_clock, self._replica
        )
        self._commits = GroupCommit(self._platform)
        self._metrics_task: asyncio.Task[None] | None = None
        self._create_managers()
        self._create_services()

    def _create_managers(self) -> None:
        timing = self._deployment.timing
        log = ConfigurationLog(self._platform)
        confirmation = Confirmation(timing.confirmation_s)
        self._log = log
        self._configuration_manager = ConfigurationManager(
            log,
            self._replica,
            confirmation,
            self._deployment,
            self._clock,
            self._events,
            lambda: self._directory.send_heartbeats_now(),
        )
        seeds = [
            member_from_settings(instance) for instance in self._deployment.instances
        ]
        membership = Membership(self._settings.instance, seeds, timing.suspicion_s)
        self._idle_monitor = IdleStreamMonitor(
            self._clock, timing.silence_s, membership.exclude_local_pause
        )
        self._directory = Directory(
            self._identity,
            self._deployment,
            self._replica,
            confirmation,
            membership,
            self._platform,
            self._clock,
            self._events,
            self._idle_monitor,
            self._configuration_manager.apply_update,
            lambda peer, usage: self._allowance.record_peer_usage(peer, usage),
            lambda: self._quarantine.update(),
        )
        self._quarantine = JobQuarantine(
            self._platform,
            self._clock,
            self._events,
            self._metrics,
            self._directory.send_heartbeats_now,
        )
        lease = ShareLease(
            self._platform,
            self._clock,
            self._settings.instance,
            self._identity.incarnation,
            timing.share_lease_s,
            timing.clock_skew_s,
        )
        self._allowance = AllowanceManager(
            lease,
            Allowance(timing.loan_s),
            self._configuration_manager,
            self._directory,
            self._identity,
            self._clock,
            self._events,
        )

    def _create_services(self) -> None:
        requests = RunRequestBuilder(self._identity, self._replica, self._clock)
        gang = GangDispatcher(
            self._identity,
            self._deployment,
            self._directory,
            self._idle_monitor,
            requests,
            self._clock,
            self._events,
        )
        completions = CompletionDispatcher(
            self._identity,
            self._deployment,
            requests,
            gang,
            self._directory,
            self._idle_monitor,
            self._allowance,
            self._clock,
            self._events,
            self._metrics,
            _placement_rule(self._deployment.routing.policy),
            self._quarantine.requests,
        )
        resolver = CallResolver(
            self._commits,
            self._clock,
            self._settings.instance,
            LostRecords(self._platform, self._clock),
        )
        calls = CallDispatcher(
            self._deployment,
            self._directory,
            self._allowance,
            resolver,
            self._clock,
            self._events,
            self._metrics,
            self._quarantine.requests,
        )
        operators = OperatorsApi(
            self._deployment,
            self._replica,
            self._configuration_manager,
            self._log,
            self._directory,
            self._allowance,
            self._clock,
            self._events,
            self._identity,
            OrderLeaseClient(
                self._platform,
                self._clock,
                self._identity.incarnation,
                self._deployment.timing.clock_skew_s,
            ),
        )
        self._http = HttpApi(
            self._settings,
            self._deployment,
            self._identity,
            completions,
            calls,
            operators,
            self._is_ready,
            self._clock,
            self._events,
            self._metrics,
        )
        self._grpc = EntryGrpc(
            self._identity,
            self._replica,
            self._events,
            lambda: self._configuration_manager.has_unreported_change,
            self._configuration_manager.apply_update,
            self._allowance.lend,
            self._allowance.usage_report,
            self._quarantine.apply,
        )
        self._server = Server([self._grpc], codec=MsgpackCodec())

    @property
    def events(self) -> EventRing:
        """Events recorded by this entry."""
        return self._events

    @property
    def configuration_manager(self) -> ConfigurationManager:
        """The task that updates and changes the configuration."""
        return self._configuration_manager

    @property
    def configuration(self) -> ConfigurationReplica:
        """This entry's copy of the configuration."""
        return self._replica

    @property
    def directory(self) -> Directory:
        """Connections to other entries and to sidecars."""
        return self._directory

    @property
    def allowance(self) -> AllowanceManager:
        """This entry's share of the deployment's rate limit per minute."""
        return self._allowance

    @property
    def metrics(self) -> Metrics:
        """Metrics reported by this entry."""
        return self._metrics

    @property
    def platform(self) -> HttpPlatform:
        """Client of the platform's services."""
        return self._platform

    async def start(self) -> None:
        """Start serving; requests are refused until a configuration is loaded."""
        await self._platform.start()
        await self._commits.start()
        await self._idle_monitor.start()
        await self._configuration_manager.start()
        await self._directory.start()
        await self._allowance.start()
        await self._quarantine.start()
        address = self._settings.grpc
        await self._server.start(address.host, address.port, backlog=1024)
        await self._http.start()
        self._metrics_task = asyncio.create_task(self._report_metrics())
        self._events.record(EventKind.PROCESS_STARTED, "entry")
        _LOG.info(
            "entry listens on %s:%d", self._settings.http.host, self._settings.http.port
        )

    async def drain(self) -> None:
        """Refuse new requests, and wait until those in progress have ended.

        Waits for at most the longest deadline that a request may have.
        """
        self._http.is_leaving = True
        self._grpc.is_leaving = True
        self._events.record(EventKind.PROCESS_LEAVING, "asked to stop")
        await asyncio.sleep(_DRAIN_NOTICE_S)
        try:
            async with asyncio.timeout(self._deployment.limits.max_deadline_s):
                while self._http.in_progress:
                    await asyncio.sleep(_DRAIN_POLL_S)
        except TimeoutError:
            _LOG.error("drain timed out: requests are in progress after max_deadline_s")

    async def close(self) -> None:
        """Stop without waiting for requests in progress."""
        if self._metrics_task is not None:
            self._metrics_task.cancel()
        await self._http.close()
        await self._quarantine.close()
        await self._allowance.close()
        await self._configuration_manager.close()
        await self._directory.close()
        await self._idle_monitor.close()
        self._server.close()
        await self._server.wait_closed()
        await self._commits.close()
        await self._platform.close()
        self._events.record(EventKind.PROCESS_STOPPED, "entry")

    async def _report_metrics(self) -> None:
        reported_writes = 0
        while True:
            await asyncio.sleep(_METRICS_PERIOD_S)
            self._metrics.set_gauge("configuration_version", self._replica.version)
            self._metrics.set_gauge("allowance_ppm", self._allowance.share_ppm)
            self._metrics.increment(
                "store_writes", self._platform.write_count - reported_writes
            )
            reported_writes = self._platform.write_count

    def _is_ready(self) -> bool:
        return self._replica.current is not None


def _placement_rule(name: RoutingPolicyName) -> PlacementRule:
    match name:
        case RoutingPolicyName.EXPECTED_FIRST_TOKEN:
            return MIN_TTFT_RULE
        case RoutingPolicyName.ROUND_ROBIN:
            return RoundRobin()
        case RoutingPolicyName.LEAST_OUTSTANDING:
            return LeastOutstanding()

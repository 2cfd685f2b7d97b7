"""The entry's process: puts its parts together, starts and stops them."""

from __future__ import annotations

import asyncio
import logging

from grpclib.server import Server

from gentianhoist.allowance import Allowance, ShareLease
from gentianhoist.calls import CallResolver, GroupCommit
from gentianhoist.clocks import Clock, HybridClock, SystemClock
from gentianhoist.configuration import (
    ConfigurationLog,
    ConfigurationReplica,
    Confirmation,
    Identity,
)
from gentianhoist.entry._allowance import AllowanceKeeper
from gentianhoist.entry._calls import CallDispatcher
from gentianhoist.entry._completions import CompletionDispatcher
from gentianhoist.entry._directory import Directory
from gentianhoist.entry._gang import GangDispatcher
from gentianhoist.entry._grpc import EntryGrpc
from gentianhoist.entry._http import HttpApi
from gentianhoist.entry._jobs import RequestMaker
from gentianhoist.entry._keeper import ConfigurationKeeper
from gentianhoist.entry._operators import OperatorsApi
from gentianhoist.entry._silence import SilenceWatch
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
_METRICS_S = 1.0
# Callers' balancer and other entries hear of the leaving before the port closes.
_FAREWELL_S = 1.0


class Entry:
    """One entry.

    Args:
        settings: Its own settings.
        deployment: The deployment's.
        clock: This machine's clocks.
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
        hybrid = HybridClock(self._clock)
        self._events = EventRing(hybrid, settings.instance, settings.availability_zone)
        self._metrics = Metrics(
            settings.metrics.host, settings.metrics.port, settings.metrics.prefix
        )
        self._platform = HttpPlatform(
            deployment.platform.url, deployment.platform.table_timeout_s
        )
        self._replica = ConfigurationReplica()
        self._identity = Identity(
            settings.instance, settings.availability_zone, hybrid, self._replica
        )
        self._commits = GroupCommit(self._platform)
        self._reporter: asyncio.Task[None] | None = None
        self._make_keepers()
        self._make_services()

    def _make_keepers(self) -> None:
        timing = self._deployment.timing
        log = ConfigurationLog(self._platform)
        confirmation = Confirmation(timing.confirmation_s)
        self._log = log
        self._keeper = ConfigurationKeeper(
            log,
            self._replica,
            confirmation,
            self._deployment,
            self._clock,
            self._events,
            lambda: self._directory.nudge(),
        )
        seeds = [member_from_settings(item) for item in self._deployment.instances]
        membership = Membership(self._settings.instance, seeds, timing.suspicion_s)
        self._silence = SilenceWatch(
            self._clock, timing.silence_s, membership.credit_local_pause
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
            self._silence,
            self._keeper.take,
            lambda peer, spending: self._allowance.heard(peer, spending),
        )
        lease = ShareLease(
            self._platform,
            self._clock,
            self._settings.instance,
            self._identity.incarnation,
            timing.share_lease_s,
            timing.clock_skew_s,
        )
        self._allowance = AllowanceKeeper(
            lease,
            Allowance(timing.loan_s),
            self._keeper,
            self._directory,
            self._identity,
            self._clock,
            self._events,
        )

    def _make_services(self) -> None:
        requests = RequestMaker(self._identity, self._replica, self._clock)
        gang = GangDispatcher(
            self._identity,
            self._deployment,
            self._directory,
            self._silence,
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
            self._silence,
            self._allowance,
            self._clock,
            self._events,
            self._metrics,
            _rule(self._deployment.routing.policy),
        )
        settler = CallResolver(self._commits, self._clock, self._settings.instance)
        calls = CallDispatcher(
            self._deployment,
            self._directory,
            self._allowance,
            settler,
            self._clock,
            self._events,
            self._metrics,
        )
        operators = OperatorsApi(
            self._deployment,
            self._replica,
            self._keeper,
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
            lambda: self._keeper.accepting,
            self._keeper.take,
            self._allowance.lend,
            self._allowance.spending,
        )
        self._server = Server([self._grpc], codec=MsgpackCodec())

    @property
    def events(self) -> EventRing:
        """Its events."""
        return self._events

    @property
    def keeper(self) -> ConfigurationKeeper:
        """What keeps its configuration."""
        return self._keeper

    @property
    def configuration(self) -> ConfigurationReplica:
        """Its copy of the configuration."""
        return self._replica

    @property
    def directory(self) -> Directory:
        """Its links to other processes."""
        return self._directory

    @property
    def allowance(self) -> AllowanceKeeper:
        """Its share of what a minute may hold."""
        return self._allowance

    @property
    def metrics(self) -> Metrics:
        """Its counts."""
        return self._metrics

    @property
    def platform(self) -> HttpPlatform:
        """Its client of the platform."""
        return self._platform

    async def start(self) -> None:
        """Start to serve; requests are refused until there is a configuration."""
        await self._platform.start()
        await self._commits.start()
        await self._silence.start()
        await self._keeper.start()
        await self._directory.start()
        await self._allowance.start()
        address = self._settings.grpc
        await self._server.start(address.host, address.port, backlog=1024)
        await self._http.start()
        self._reporter = asyncio.create_task(self._report())
        self._events.record(EventKind.PROCESS_STARTED, "entry")
        _LOG.info(
            "entry listens on %s:%d", self._settings.http.host, self._settings.http.port
        )

    async def drain(self) -> None:
        """Take no new requests, and wait until those in progress are answered."""
        self._http.leaving = True
        self._grpc.leaving = True
        self._events.record(EventKind.PROCESS_LEAVING, "asked to stop")
        await asyncio.sleep(_FAREWELL_S)
        try:
            async with asyncio.timeout(self._deployment.limits.max_deadline_s):
                while self._http.in_progress:
                    await asyncio.sleep(_DRAIN_POLL_S)
        except TimeoutError:
            _LOG.error("requests were still in progress at the longest deadline")

    async def close(self) -> None:
        """Stop at once."""
        if self._reporter is not None:
            self._reporter.cancel()
        await self._http.close()
        await self._allowance.close()
        await self._keeper.close()
        await self._directory.close()
        await self._silence.close()
        self._server.close()
        await self._server.wait_closed()
        await self._commits.close()
        await self._platform.close()
        self._events.record(EventKind.PROCESS_STOPPED, "entry")

    async def _report(self) -> None:
        written = 0
        while True:
            await asyncio.sleep(_METRICS_S)
            self._metrics.set_gauge("configuration_version", self._replica.version)
            self._metrics.set_gauge("allowance_ppm", self._allowance.share_ppm)
            self._metrics.increment(
                "store_writes", self._platform.write_count - written
            )
            written = self._platform.write_count

    def _is_ready(self) -> bool:
        return self._replica.current is not None


def _rule(name: RoutingPolicyName) -> PlacementRule:
    match name:
        case RoutingPolicyName.EXPECTED_FIRST_TOKEN:
            return MIN_TTFT_RULE
        case RoutingPolicyName.ROUND_ROBIN:
            return RoundRobin()
        case RoutingPolicyName.LEAST_OUTSTANDING:
            return LeastOutstanding()

"""HTTP API for operators, which every entry serves alike."""

from __future__ import annotations

import asyncio
import uuid
from typing import Any

import msgspec
from sanic import Request, Sanic
from sanic.response import HTTPResponse, raw

from gentianhoist.clocks import Clock
from gentianhoist.configuration import (
    Change,
    ChangeRecord,
    Configuration,
    ConfigurationLog,
    ConfigurationReplica,
    Identity,
)
from gentianhoist.entry._allowance import AllowanceManager
from gentianhoist.entry._authentication import authenticate
from gentianhoist.entry._configuration_manager import ConfigurationManager
from gentianhoist.entry._directory import Directory
from gentianhoist.entry._links import CONNECTION_ERRORS, Link
from gentianhoist.entry._openai import decode_body
from gentianhoist.events import Event, EventRing
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.orders import OrderLeaseClient
from gentianhoist.settings import DeploymentSettings
from gentianhoist.store import StoreUnavailable
from gentianhoist.wire import EventsRequest, OrderKind, OrderRequest

_EVENTS_TIMEOUT_S = 1.0
_MAX_HISTORY_VERSIONS = 100
_PREFIX = "/operators/v1"


class ChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operators/v1/changes``.

    Attributes:
        changes: Changes that are applied together or not at all.
        change_id: Unique id of the request; generated if it is empty.
        expected_version: Configuration version that the operator saw, 0 for the latest.
        dry_run: Whether to validate the changes without applying them.
    """

    changes: list[Change]
    change_id: str = ""
    expected_version: int = 0
    dry_run: bool = False


class OrderBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operators/v1/orders``.

    Attributes:
        instance: Name of the sidecar's instance.
        order: Kind of the order.
        target: Name of the model, adapter or role that the order applies to.
        deadline_s: Timeout of the order, in seconds.
    """

    instance: str
    order: OrderKind
    target: str
    deadline_s: float = 60.0


class OperatorsApi:
    """Handlers of the operators' routes.

    Args:
        deployment: Settings of the deployment, with the operators' keys.
        replica: This process's copy of the configuration.
        configuration_manager: Accepts changes.
        log: The configuration log, read for the history.
        directory: Connections to other entries and to sidecars.
        allowance: This entry's share of the rate limit.
        clock: Clocks of this machine.
        events: Events of this process.
        identity: Name and stamps of this process.
        lease_client: Acquires the leases that fence orders.
    """

    def __init__(
        self,
        deployment: DeploymentSettings,
        replica: ConfigurationReplica,
        configuration_manager: ConfigurationManager,
        log: ConfigurationLog,
        directory: Directory,
        allowance: AllowanceManager,
        clock: Clock,
        events: EventRing,
        identity: Identity,
        lease_client: OrderLeaseClient,
    ) -> None:
        self._deployment = deployment
        self._replica = replica
        self._configuration_manager = configuration_manager
        self._log = log
        self._directory = directory
        self._allowance = allowance
        self._clock = clock
        self._events = events
        self._identity = identity
        self._lease_client = lease_client

    def add_routes(self, app: Sanic) -> None:
        """Add the routes to a Sanic application."""
        app.add_route(self._get_configuration, f"{_PREFIX}/configuration")
        app.add_route(self._get_history, f"{_PREFIX}/history")
        app.add_route(self._post_change, f"{_PREFIX}/changes", methods=["POST"])
        app.add_route(self._post_order, f"{_PREFIX}/orders", methods=["POST"])
        app.add_route(self._get_status, f"{_PREFIX}/status")
        app.add_route(self._get_events, f"{_PREFIX}/events")

    async def _get_configuration(self, request: Request) -> HTTPResponse:
        self._authenticate(request)
        return _json(
            describe_configuration(self._current_configuration(), self._clock.wall_s())
        )

    async def _get_history(self, request: Request) -> HTTPResponse:
        self._authenticate(request)
        version = self._current_configuration().version
        try:
            records = await self._log.changes(
                max(0, version - _MAX_HISTORY_VERSIONS), version
            )
        except StoreUnavailable as error:
            raise HoistError(
                ErrorKind.STORE_UNAVAILABLE, "the store does not respond"
            ) from error
        return _json({"records": records})

    async def _post_change(self, request: Request) -> HTTPResponse:
        operator = self._authenticate(request)
        body = decode_body(request.body, ChangeBody)
        if not body.changes:
            raise HoistError(
                ErrorKind.INVALID_REQUEST, "must not be empty", field="changes"
            )
        record = ChangeRecord(
            0, body.change_id or uuid.uuid4().hex, operator, 0.0, tuple(body.changes)
        )
        accepted, configuration = await self._configuration_manager.accept_change(
            record, body.expected_version, dry_run=body.dry_run
        )
        return _json({
            "dry_run": body.dry_run,
            "record": accepted,
            "configuration": describe_configuration(
                configuration, self._clock.wall_s()
            ),
        })

    async def _post_order(self, request: Request) -> HTTPResponse:
        self._authenticate(request)
        body = decode_body(request.body, OrderBody)
        link = self._directory.find_sidecar(body.instance)
        if link is None:
            raise HoistError(
                ErrorKind.UNKNOWN_RESOURCE,
                f"this entry has no connection to {body.instance}",
                field="instance",
            )
        lease = await self._lease_client.acquire(body.instance)
        order = OrderRequest(
            self._identity.stamp(),
            body.order,
            body.target,
            lease.fencing_token,
            body.deadline_s,
        )
        try:
            reply = await link.stub.order(order, timeout=body.deadline_s)
        except CONNECTION_ERRORS as error:
            raise HoistError(
                ErrorKind.OUTCOME_UNKNOWN,
                f"no reply to the order: {type(error).__name__}",
            ) from error
        if not reply.done:
            kind = reply.kind or ErrorKind.INTERNAL
            raise HoistError(kind, reply.message, not_run=reply.not_run)
        return _json({"instance": body.instance, "fencing": lease.fencing_token})

    async def _get_status(self, request: Request) -> HTTPResponse:
        self._authenticate(request)
        links = [*self._directory.entries, *self._directory.sidecars]
        return _json({
            "instance": self._identity.instance,
            "configuration_version": self._replica.version,
            "confirmed": self._configuration_manager.is_confirmed,
            "share_ppm": self._allowance.share_ppm,
            "members": [self._describe_link(link) for link in links],
        })

    async def _get_events(self, request: Request) -> HTTPResponse:
        self._authenticate(request)
        try:
            since_us = int(request.args.get("since_us", "0"))
        except ValueError as error:
            raise HoistError(
                ErrorKind.INVALID_REQUEST, "must be an integer", field="since_us"
            ) from error
        links = [*self._directory.entries, *self._directory.sidecars]
        events_by_link = await asyncio.gather(
            *(self._fetch_events(link, since_us) for link in links)
        )
        events = [
            event
            for link_events in events_by_link
            if link_events is not None
            for event in link_events
        ]
        missing = [
            link.member.name
            for link, link_events in zip(links, events_by_link, strict=True)
            if link_events is None
        ]
        return _json({
            "events": [*self._events.snapshot(since_us), *events],
            "missing": missing,
        })

    async def _fetch_events(self, link: Link, since_us: int) -> list[Event] | None:
        try:
            reply = await link.stub.events(
                EventsRequest(since_us), timeout=_EVENTS_TIMEOUT_S
            )
        except CONNECTION_ERRORS:
            return None
        return list(reply.events)

    def _describe_link(self, link: Link) -> dict[str, Any]:
        member = link.member
        return {
            "instance": member.name,
            "role": member.role,
            "availability_zone": member.availability_zone,
            "group": member.group,
            "state": self._directory.member_state(member.name),
            "leaving": self._directory.is_leaving(member.name),
            "configuration_version": link.reported_version,
        }

    def _authenticate(self, request: Request) -> str:
        header = request.headers.get("authorization", "")
        return authenticate(header, self._deployment.operators)

    def _current_configuration(self) -> Configuration:
        if self._replica.current is None:
            raise HoistError(
                ErrorKind.NOT_READY, "no configuration has been loaded yet"
            )
        return self._replica.current


def describe_configuration(
    configuration: Configuration, wall_s: float
) -> dict[str, Any]:
    """Return a configuration in the JSON form of the operators' API.

    Args:
        configuration: The configuration.
        wall_s: Wall time in seconds since the epoch; decides which preset is in force.
    """
    return {
        "version": configuration.version,
        "preset_in_force": configuration.preset_in_force(wall_s).name,
        "announced": [
            switch._asdict()
            for switch in configuration.switches
            if switch.in_force_at_s > wall_s
        ],
        "presets": [
            preset._asdict() for _, preset in sorted(configuration.presets.items())
        ],
        "availability_zones": {
            zone: "out" if zone in configuration.zones_out else "in"
            for zone in configuration.availability_zones
        },
        "instances_out": sorted(configuration.instances_out),
        "weights": configuration.weights,
    }


def _json(content: object) -> HTTPResponse:
    return raw(msgspec.json.encode(content), content_type="application/json")

"""Operators' commands, which send requests to any entry."""

from __future__ import annotations

import asyncio
import os
import time
import uuid
from dataclasses import dataclass, field
from typing import Annotated, Any

import cappa
import msgspec

from gentianhoist.cli._exit_codes import ExitCode
from gentianhoist.cli._operator_client import (
    EntryUnreachable,
    RequestRefused,
    send_operator_request,
)
from gentianhoist.events import (
    Event,
    EventFilter,
    merge_events,
    render_html,
    render_json_lines,
    render_text,
)

_ROLLOUT_TIMEOUT_S = 30.0
_ROLLOUT_POLL_S = 0.1
_MICROSECONDS_PER_S = 1_000_000
_HTTP_CONFLICT = 409
_HTTP_UNPROCESSABLE = 422


@dataclass(kw_only=True)
class _OperatorCommand:
    """Base of the commands that send a request to an entry."""

    entry: Annotated[str, cappa.Arg(long=True, help="Base URL of any entry.")] = field(
        default_factory=lambda: os.environ.get("GENTIANHOIST_ENTRY", "")
    )
    key: Annotated[str, cappa.Arg(long=True, help="API key of the operator.")] = field(
        default_factory=lambda: os.environ.get("GENTIANHOIST_KEY", "")
    )
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def send_request(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request to the operators' API of the entry.

        Args:
            method: HTTP method.
            path: Path below ``/operators/v1/``.
            body: Content of the JSON body, or None for no body.

        Returns:
            The decoded JSON response.

        Raises:
            cappa.Exit: With the exit code for the failure.
        """
        if not self.entry:
            raise cappa.Exit(
                "no base URL of an entry: set --entry or GENTIANHOIST_ENTRY",
                code=ExitCode.BAD_SETTINGS,
            )
        try:
            return asyncio.run(
                send_operator_request(self.entry, self.key, method, path, body)
            )
        except RequestRefused as error:
            codes = {
                _HTTP_CONFLICT: ExitCode.CONFLICT,
                _HTTP_UNPROCESSABLE: ExitCode.REJECTED,
            }
            code = codes.get(error.status, ExitCode.FAILED)
            raise cappa.Exit(str(error), code=code) from None
        except EntryUnreachable as error:
            message = f"{self.entry} doesn't respond: {error}"
            raise cappa.Exit(message, code=ExitCode.UNREACHABLE) from None

    def show(self, content: Any, text: str) -> None:
        """Print the content as JSON if that was asked for, and the text otherwise."""
        print(msgspec.json.encode(content).decode() if self.json else text)


@dataclass(kw_only=True)
class _ChangeCommand(_OperatorCommand):
    """Base of the commands that change the configuration."""

    expected_version: Annotated[
        int, cappa.Arg(long=True, help="Base version of the change; 0 for the latest.")
    ] = 0
    change_id: Annotated[
        str, cappa.Arg(long=True, help="Idempotency key, to retry a change safely.")
    ] = field(default_factory=lambda: uuid.uuid4().hex)
    dry_run: Annotated[
        bool, cappa.Arg(long=True, help="Only validate the change and show its result.")
    ] = False
    wait: Annotated[
        bool,
        cappa.Arg(long=True, help="Wait until all instances have applied the change."),
    ] = False

    def send_changes(self, *changes: dict[str, Any]) -> int:
        """Send changes, accepted or rejected together; returns the exit code."""
        body = {
            "changes": list(changes),
            "change_id": self.change_id,
            "expected_version": self.expected_version,
            "dry_run": self.dry_run,
        }
        response = self.send_request("POST", "changes", body)
        version = response["record"]["version"]
        rollout = ""
        if self.wait and not self.dry_run:
            rollout = "\n" + self._wait_for_rollout(version)
        prefix = "would become" if self.dry_run else "accepted as"
        self.show(response, f"{prefix} version {version}{rollout}")
        return ExitCode.OK

    def _wait_for_rollout(self, version: int) -> str:
        deadline_s = time.monotonic() + _ROLLOUT_TIMEOUT_S
        while True:
            behind = [
                member["instance"]
                for member in self.send_request("GET", "status")["members"]
                if member["configuration_version"] < version
            ]
            if not behind:
                return "applied by all instances"
            if time.monotonic() > deadline_s:
                message = f"change not yet applied by: {', '.join(behind)}"
                raise cappa.Exit(message, code=ExitCode.FAILED)
            time.sleep(_ROLLOUT_POLL_S)


@cappa.command(name="status")
@dataclass(kw_only=True)
class StatusCommand(_OperatorCommand):
    """Show all members with their state and configuration version."""

    def __call__(self) -> int:
        """Print the status; returns the exit code."""
        status = self.send_request("GET", "status")
        lines = [
            f"{status['instance']}: version {status['configuration_version']},"
            f" {'confirmed' if status['confirmed'] else 'NOT CONFIRMED'},"
            f" share {status['share_ppm']} ppm",
            f"{'instance':24} {'role':8} {'zone':16} {'state':10} {'version':>7}",
        ]
        lines += [
            f"{member['instance']:24} {member['role']:8}"
            f" {member['availability_zone']:16}"
            f" {'leaving' if member['leaving'] else member['state']:10}"
            f" {member['configuration_version']:>7}"
            for member in status["members"]
        ]
        self.show(status, "\n".join(lines))
        return ExitCode.OK


@cappa.command(name="switch")
@dataclass(kw_only=True)
class PresetSwitchCommand(_ChangeCommand):
    """Put a preset of the rate limit in force."""

    preset: Annotated[str, cappa.Arg(help="Name of the preset.")]

    def __call__(self) -> int:
        """Send the change; returns the exit code."""
        return self.send_changes({"type": "switch_preset", "preset": self.preset})


@cappa.command(name="put")
@dataclass(kw_only=True)
class PresetPutCommand(_ChangeCommand):
    """Create a preset of the rate limit, or replace one that is not in force."""

    preset: Annotated[str, cappa.Arg(help="Name of the preset.")]
    requests_per_minute: Annotated[
        int, cappa.Arg(long=True, help="Requests in any 60 s.")
    ]
    tokens_per_minute: Annotated[int, cappa.Arg(long=True, help="Tokens in any 60 s.")]

    def __call__(self) -> int:
        """Send the change; returns the exit code."""
        return self.send_changes({
            "type": "put_preset",
            "preset": self.preset,
            "requests_per_minute": self.requests_per_minute,
            "tokens_per_minute": self.tokens_per_minute,
        })


@cappa.command(name="delete")
@dataclass(kw_only=True)
class PresetDeleteCommand(_ChangeCommand):
    """Delete a preset of the rate limit that is not in force."""

    preset: Annotated[str, cappa.Arg(help="Name of the preset.")]

    def __call__(self) -> int:
        """Send the change; returns the exit code."""
        return self.send_changes({"type": "delete_preset", "preset": self.preset})


@cappa.command(name="preset")
@dataclass(kw_only=True)
class PresetCommand:
    """Switch, create and delete presets of the rate limit."""

    action: cappa.Subcommands[
        PresetSwitchCommand | PresetPutCommand | PresetDeleteCommand
    ]


@cappa.command(name="out")
@dataclass(kw_only=True)
class ZoneOutCommand(_ChangeCommand):
    """Take an availability zone out of service; new work stops within seconds."""

    availability_zone: Annotated[str, cappa.Arg(help="Name of the zone.")]

    def __call__(self) -> int:
        """Send the change; returns the exit code."""
        return self.send_changes(_zone_change(self.availability_zone, out=True))


@cappa.command(name="in")
@dataclass(kw_only=True)
class ZoneInCommand(_ChangeCommand):
    """Bring an availability zone back into service."""

    availability_zone: Annotated[str, cappa.Arg(help="Name of the zone.")]

    def __call__(self) -> int:
        """Send the change; returns the exit code."""
        return self.send_changes(_zone_change(self.availability_zone, out=False))


def _zone_change(name: str, *, out: bool) -> dict[str, Any]:
    return {"type": "set_zone", "availability_zone": name, "out": out}


@cappa.command(name="zone")
@dataclass(kw_only=True)
class ZoneCommand:
    """Take availability zones out of service and bring them back."""

    action: cappa.Subcommands[ZoneOutCommand | ZoneInCommand]


@cappa.command(name="out")
@dataclass(kw_only=True)
class InstanceOutCommand(_ChangeCommand):
    """Take an instance out of service; new work stops within seconds."""

    instance: Annotated[str, cappa.Arg(help="Name of the instance.")]

    def __call__(self) -> int:
        """Send the change; returns the exit code."""
        return self.send_changes(_instance_change(self.instance, out=True))


@cappa.command(name="in")
@dataclass(kw_only=True)
class InstanceInCommand(_ChangeCommand):
    """Bring an instance back into service."""

    instance: Annotated[str, cappa.Arg(help="Name of the instance.")]

    def __call__(self) -> int:
        """Send the change; returns the exit code."""
        return self.send_changes(_instance_change(self.instance, out=False))


def _instance_change(name: str, *, out: bool) -> dict[str, Any]:
    return {"type": "set_instance", "instance": name, "out": out}


@cappa.command(name="instance")
@dataclass(kw_only=True)
class InstanceCommand:
    """Take instances out of service and bring them back."""

    action: cappa.Subcommands[InstanceOutCommand | InstanceInCommand]


@cappa.command(name="show")
@dataclass(kw_only=True)
class ConfigShowCommand(_OperatorCommand):
    """Show the configuration."""

    def __call__(self) -> int:
        """Print the configuration; returns the exit code."""
        content = self.send_request("GET", "configuration")
        self.show(content, msgspec.json.format(msgspec.json.encode(content)).decode())
        return ExitCode.OK


@cappa.command(name="history")
@dataclass(kw_only=True)
class ConfigHistoryCommand(_OperatorCommand):
    """Show the accepted changes and the operators who made them."""

    def __call__(self) -> int:
        """Print the history; returns the exit code."""
        content = self.send_request("GET", "history")
        lines = [
            f"{record['version']:>6} {record['operator']:16} {record['change_id']}"
            f" {msgspec.json.encode(record['changes']).decode()}"
            for record in content["records"]
        ]
        self.show(content, "\n".join(lines))
        return ExitCode.OK


@cappa.command(name="apply")
@dataclass(kw_only=True)
class ConfigApplyCommand(_ChangeCommand):
    """Send changes from a JSON file, which are accepted or rejected together."""

    file: Annotated[str, cappa.Arg(help="A JSON list of changes.")]

    def __call__(self) -> int:
        """Send the changes; returns the exit code."""
        try:
            with open(self.file, "rb") as source:
                changes = msgspec.json.decode(source.read(), type=list[dict[str, Any]])
        except (OSError, msgspec.MsgspecError) as error:
            message = f"{self.file}: {error}"
            raise cappa.Exit(message, code=ExitCode.BAD_SETTINGS) from None
        return self.send_changes(*changes)


@cappa.command(name="config")
@dataclass(kw_only=True)
class ConfigCommand:
    """Show the configuration and its history, and send changes."""

    action: cappa.Subcommands[
        ConfigShowCommand | ConfigHistoryCommand | ConfigApplyCommand
    ]


@cappa.command(name="order")
@dataclass(kw_only=True)
class OrderCommand(_OperatorCommand):
    """Order an engine to load or unload a model or adapter, or to change its role."""

    order: Annotated[
        str,
        cappa.Arg(help="load_model, unload_model, load_adapter or change_role."),
    ]
    instance: Annotated[str, cappa.Arg(help="Name of the engine's sidecar.")]
    target: Annotated[str, cappa.Arg(help="Model, adapter or role.")]

    def __call__(self) -> int:
        """Send the order; returns the exit code."""
        body = {"instance": self.instance, "order": self.order, "target": self.target}
        response = self.send_request("POST", "orders", body)
        self.show(response, f"executed with fencing token {response['fencing']}")
        return ExitCode.OK


@cappa.command(name="timeline")
@dataclass(kw_only=True)
class TimelineCommand(_OperatorCommand):
    """Show the events of all processes, merged in order of time."""

    request: Annotated[str, cappa.Arg(long=True, help="Only this request.")] = ""
    instance: Annotated[str, cappa.Arg(long=True, help="Only this instance.")] = ""
    zone: Annotated[str, cappa.Arg(long=True, help="Only this zone.")] = ""
    since: Annotated[
        float,
        cappa.Arg(long=True, help="Only events of the last SINCE seconds; 0 for all."),
    ] = 0.0
    html: Annotated[bool, cappa.Arg(long=True, help="Print one HTML page.")] = False

    def __call__(self) -> int:
        """Print the events; returns the exit code."""
        since_us = 0
        if self.since > 0:
            since_us = int((time.time() - self.since) * _MICROSECONDS_PER_S)
        content = self.send_request("GET", f"events?since_us={since_us}")
        unordered = msgspec.convert(content["events"], type=list[Event])
        event_filter = EventFilter(self.request, self.instance, self.zone, since_us)
        events = merge_events([unordered], event_filter)
        print(self._render(events))
        if content["missing"] and not (self.json or self.html):
            print(f"no response from: {', '.join(content['missing'])}")
        return ExitCode.OK

    def _render(self, events: list[Event]) -> str:
        if self.html:
            return render_html(events)
        return render_json_lines(events) if self.json else render_text(events)

"""Operators' commands, through any entry."""

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

_WAIT_S = 30.0
_POLL_S = 0.1
_MICROSECONDS_PER_S = 1_000_000
_CONFLICT = 409
_REJECTED = 422


@dataclass(kw_only=True)
class _Remote:
    """How to reach an entry."""

    entry: Annotated[str, cappa.Arg(long=True, help="Base URL of any entry.")] = field(
        default_factory=lambda: os.environ.get("GENTIANHOIST_ENTRY", "")
    )
    key: Annotated[str, cappa.Arg(long=True, help="The operator's API key.")] = field(
        default_factory=lambda: os.environ.get("GENTIANHOIST_KEY", "")
    )
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def ask(self, method: str, path: str, body: Any = None) -> Any:
        """Ask the entry, or exit with the code of the failure."""
        if not self.entry:
            raise cappa.Exit(
                "--entry or GENTIANHOIST_ENTRY: the base URL of an entry",
                code=ExitCode.BAD_SETTINGS,
            )
        try:
            return asyncio.run(
                send_operator_request(self.entry, self.key, method, path, body)
            )
        except RequestRefused as error:
            codes = {_CONFLICT: ExitCode.CONFLICT, _REJECTED: ExitCode.REJECTED}
            code = codes.get(error.status, ExitCode.FAILED)
            raise cappa.Exit(str(error), code=code) from None
        except EntryUnreachable as error:
            message = f"{self.entry} doesn't answer: {error}"
            raise cappa.Exit(message, code=ExitCode.UNREACHABLE) from None

    def show(self, content: Any, text: str) -> None:
        """Print as JSON or as text."""
        print(msgspec.json.encode(content).decode() if self.json else text)


@dataclass(kw_only=True)
class _Changing(_Remote):
    """How to send a change."""

    expected_version: Annotated[
        int, cappa.Arg(long=True, help="Version that you saw; 0 for the newest.")
    ] = 0
    change_id: Annotated[
        str, cappa.Arg(long=True, help="Id, to send a change again safely.")
    ] = field(default_factory=lambda: uuid.uuid4().hex)
    dry_run: Annotated[
        bool, cappa.Arg(long=True, help="Only say what would happen.")
    ] = False
    wait: Annotated[
        bool, cappa.Arg(long=True, help="Return when every process has it.")
    ] = False

    def change(self, *changes: dict[str, Any]) -> int:
        """Send changes, to be accepted together."""
        body = {
            "changes": list(changes),
            "change_id": self.change_id,
            "expected_version": self.expected_version,
            "dry_run": self.dry_run,
        }
        answer = self.ask("POST", "changes", body)
        version = answer["record"]["version"]
        lag = ""
        if self.wait and not self.dry_run:
            lag = "\n" + self._wait_for(version)
        verb = "would make" if self.dry_run else "accepted as"
        self.show(answer, f"{verb} version {version}{lag}")
        return ExitCode.OK

    def _wait_for(self, version: int) -> str:
        until_s = time.monotonic() + _WAIT_S
        while True:
            behind = [
                member["instance"]
                for member in self.ask("GET", "status")["members"]
                if member["configuration_version"] < version
            ]
            if not behind:
                return "every process has it"
            if time.monotonic() > until_s:
                message = f"still without it: {', '.join(behind)}"
                raise cappa.Exit(message, code=ExitCode.FAILED)
            time.sleep(_POLL_S)


@cappa.command(name="status")
@dataclass(kw_only=True)
class StatusCommand(_Remote):
    """Show who is there, on which version, and who leaves."""

    def __call__(self) -> int:
        """Show the status."""
        status = self.ask("GET", "status")
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
class PresetSwitchCommand(_Changing):
    """Put a preset in force."""

    preset: Annotated[str, cappa.Arg(help="Name of the preset.")]

    def __call__(self) -> int:
        """Send the change."""
        return self.change({"type": "switch_preset", "preset": self.preset})


@cappa.command(name="put")
@dataclass(kw_only=True)
class PresetPutCommand(_Changing):
    """Create a preset, or replace one that is not in force."""

    preset: Annotated[str, cappa.Arg(help="Name of the preset.")]
    requests_per_minute: Annotated[
        int, cappa.Arg(long=True, help="Requests in any 60 s.")
    ]
    tokens_per_minute: Annotated[int, cappa.Arg(long=True, help="Tokens in any 60 s.")]

    def __call__(self) -> int:
        """Send the change."""
        return self.change({
            "type": "put_preset",
            "preset": self.preset,
            "requests_per_minute": self.requests_per_minute,
            "tokens_per_minute": self.tokens_per_minute,
        })


@cappa.command(name="delete")
@dataclass(kw_only=True)
class PresetDeleteCommand(_Changing):
    """Delete a preset that is not in force."""

    preset: Annotated[str, cappa.Arg(help="Name of the preset.")]

    def __call__(self) -> int:
        """Send the change."""
        return self.change({"type": "delete_preset", "preset": self.preset})


@cappa.command(name="preset")
@dataclass(kw_only=True)
class PresetCommand:
    """Switch, create and delete presets."""

    action: cappa.Subcommands[
        PresetSwitchCommand | PresetPutCommand | PresetDeleteCommand
    ]


@cappa.command(name="out")
@dataclass(kw_only=True)
class ZoneOutCommand(_Changing):
    """Take an availability zone out: no new work there after a few seconds."""

    availability_zone: Annotated[str, cappa.Arg(help="Name of the zone.")]

    def __call__(self) -> int:
        """Send the change."""
        return self.change(_zone(self.availability_zone, out=True))


@cappa.command(name="in")
@dataclass(kw_only=True)
class ZoneInCommand(_Changing):
    """Bring an availability zone back."""

    availability_zone: Annotated[str, cappa.Arg(help="Name of the zone.")]

    def __call__(self) -> int:
        """Send the change."""
        return self.change(_zone(self.availability_zone, out=False))


def _zone(name: str, *, out: bool) -> dict[str, Any]:
    return {"type": "set_zone", "availability_zone": name, "out": out}


@cappa.command(name="zone")
@dataclass(kw_only=True)
class ZoneCommand:
    """Take availability zones out and bring them back."""

    action: cappa.Subcommands[ZoneOutCommand | ZoneInCommand]


@cappa.command(name="out")
@dataclass(kw_only=True)
class InstanceOutCommand(_Changing):
    """Take an instance out: no new work there after a few seconds."""

    instance: Annotated[str, cappa.Arg(help="Name of the instance.")]

    def __call__(self) -> int:
        """Send the change."""
        return self.change(_instance(self.instance, out=True))


@cappa.command(name="in")
@dataclass(kw_only=True)
class InstanceInCommand(_Changing):
    """Bring an instance back."""

    instance: Annotated[str, cappa.Arg(help="Name of the instance.")]

    def __call__(self) -> int:
        """Send the change."""
        return self.change(_instance(self.instance, out=False))


def _instance(name: str, *, out: bool) -> dict[str, Any]:
    return {"type": "set_instance", "instance": name, "out": out}


@cappa.command(name="instance")
@dataclass(kw_only=True)
class InstanceCommand:
    """Take instances out and bring them back."""

    action: cappa.Subcommands[InstanceOutCommand | InstanceInCommand]


@cappa.command(name="show")
@dataclass(kw_only=True)
class ConfigShowCommand(_Remote):
    """Show the configuration."""

    def __call__(self) -> int:
        """Show it."""
        content = self.ask("GET", "configuration")
        self.show(content, msgspec.json.format(msgspec.json.encode(content)).decode())
        return ExitCode.OK


@cappa.command(name="history")
@dataclass(kw_only=True)
class ConfigHistoryCommand(_Remote):
    """Show who changed what."""

    def __call__(self) -> int:
        """Show the history."""
        content = self.ask("GET", "history")
        lines = [
            f"{record['version']:>6} {record['operator']:16} {record['change_id']}"
            f" {msgspec.json.encode(record['changes']).decode()}"
            for record in content["records"]
        ]
        self.show(content, "\n".join(lines))
        return ExitCode.OK


@cappa.command(name="apply")
@dataclass(kw_only=True)
class ConfigApplyCommand(_Changing):
    """Send several changes from a JSON file, to be accepted together."""

    file: Annotated[str, cappa.Arg(help="A JSON list of changes.")]

    def __call__(self) -> int:
        """Send the changes."""
        try:
            with open(self.file, "rb") as source:
                changes = msgspec.json.decode(source.read(), type=list[dict[str, Any]])
        except (OSError, msgspec.MsgspecError) as error:
            message = f"{self.file}: {error}"
            raise cappa.Exit(message, code=ExitCode.BAD_SETTINGS) from None
        return self.change(*changes)


@cappa.command(name="config")
@dataclass(kw_only=True)
class ConfigCommand:
    """Show the configuration, its history, and send changes."""

    action: cappa.Subcommands[
        ConfigShowCommand | ConfigHistoryCommand | ConfigApplyCommand
    ]


@cappa.command(name="order")
@dataclass(kw_only=True)
class OrderCommand(_Remote):
    """Order an engine to load or unload a model or adapter, or to change its role."""

    order: Annotated[
        str,
        cappa.Arg(help="load_model, unload_model, load_adapter or change_role."),
    ]
    instance: Annotated[str, cappa.Arg(help="Instance of the engine's sidecar.")]
    target: Annotated[str, cappa.Arg(help="Model, adapter or role.")]

    def __call__(self) -> int:
        """Send the order."""
        body = {"instance": self.instance, "order": self.order, "target": self.target}
        answer = self.ask("POST", "orders", body)
        self.show(answer, f"done under fencing number {answer['fencing']}")
        return ExitCode.OK


@cappa.command(name="timeline")
@dataclass(kw_only=True)
class TimelineCommand(_Remote):
    """Collect the events of all processes into one order."""

    request: Annotated[str, cappa.Arg(long=True, help="Only this request.")] = ""
    instance: Annotated[str, cappa.Arg(long=True, help="Only this instance.")] = ""
    zone: Annotated[str, cappa.Arg(long=True, help="Only this zone.")] = ""
    since: Annotated[
        float, cappa.Arg(long=True, help="Only the last so many seconds; 0 for all.")
    ] = 0.0
    html: Annotated[bool, cappa.Arg(long=True, help="Print one HTML page.")] = False

    def __call__(self) -> int:
        """Print the events."""
        since_us = 0
        if self.since > 0:
            since_us = int((time.time() - self.since) * _MICROSECONDS_PER_S)
        content = self.ask("GET", f"events?since_us={since_us}")
        ring = msgspec.convert(content["events"], type=list[Event])
        wanted = EventFilter(self.request, self.instance, self.zone, since_us)
        events = merge_events([ring], wanted)
        print(self._render(events))
        if content["missing"] and not (self.json or self.html):
            print(f"without an answer: {', '.join(content['missing'])}")
        return ExitCode.OK

    def _render(self, events: list[Event]) -> str:
        if self.html:
            return render_html(events)
        return render_json_lines(events) if self.json else render_text(events)

"""Commands that run the stand-ins for external systems."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Protocol

import cappa

from gentianhoist.cli._daemons import run_process
from gentianhoist.cli._exit_codes import ExitCode

_HostArg = Annotated[str, cappa.Arg(long=True, help="IP address to listen on.")]
_PortArg = Annotated[int, cappa.Arg(long=True, help="TCP port to listen on.")]


class _Standin(Protocol):
    url: str

    async def start(self) -> None: ...

    async def close(self) -> None: ...


class _StandinProcess:
    """Adapts a stand-in to the `Process` protocol; it needs no draining."""

    def __init__(self, standin: _Standin) -> None:
        self._standin = standin

    async def start(self) -> None:
        await self._standin.start()
        print(f"listening on {self._standin.url}", flush=True)

    async def drain(self) -> None:
        return

    async def close(self) -> None:
        await self._standin.close()


@cappa.command(name="engine")
@dataclass(kw_only=True)
class EngineStandinCommand:
    """Run a stand-in for a model engine."""

    port: _PortArg
    host: _HostArg = "127.0.0.1"
    warm: Annotated[
        bool, cappa.Arg(long=True, help="Start without a warm-up phase.")
    ] = False
    checks_fencing: Annotated[
        bool, cappa.Arg(long=True, help="Refuse orders with a stale fencing token.")
    ] = False
    kv_capacity_tokens: Annotated[
        int, cappa.Arg(long=True, help="Capacity of the KV cache in tokens.")
    ] = 400_000

    def __call__(self) -> int:
        """Run until SIGTERM or SIGINT; returns the exit code."""
        from gentianhoist.standins import EngineProfile, EngineStandin

        profile = EngineProfile(kv_capacity_tokens=self.kv_capacity_tokens)
        run_process(
            lambda: _StandinProcess(
                EngineStandin(
                    self.host,
                    self.port,
                    profile,
                    checks_fencing=self.checks_fencing,
                    warm=self.warm,
                )
            )
        )
        return ExitCode.OK


@cappa.command(name="service")
@dataclass(kw_only=True)
class ServiceStandinCommand:
    """Run a stand-in for a plain service."""

    port: _PortArg
    host: _HostArg = "127.0.0.1"

    def __call__(self) -> int:
        """Run until SIGTERM or SIGINT; returns the exit code."""
        from gentianhoist.standins import ServiceStandin

        run_process(lambda: _StandinProcess(ServiceStandin(self.host, self.port)))
        return ExitCode.OK


@cappa.command(name="platform")
@dataclass(kw_only=True)
class PlatformStandinCommand:
    """Run a stand-in for the platform's services."""

    port: _PortArg
    host: _HostArg = "127.0.0.1"

    def __call__(self) -> int:
        """Run until SIGTERM or SIGINT; returns the exit code."""
        from gentianhoist.standins import PlatformStandin

        run_process(lambda: _StandinProcess(PlatformStandin(self.host, self.port)))
        return ExitCode.OK


@cappa.command(name="standin")
@dataclass(kw_only=True)
class StandinCommand:
    """Run a stand-in for an external system; faults are injected at /faults."""

    kind: cappa.Subcommands[
        EngineStandinCommand | ServiceStandinCommand | PlatformStandinCommand
    ]

"""Commands that run the stand-ins for the outside systems."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Protocol

import cappa

from gentianhoist.cli._daemons import run_process
from gentianhoist.cli._exit_codes import ExitCode

_HostArg = Annotated[str, cappa.Arg(long=True, help="IP number to listen on.")]
_PortArg = Annotated[int, cappa.Arg(long=True, help="TCP port to listen on.")]


class _Standin(Protocol):
    url: str

    async def start(self) -> None: ...

    async def close(self) -> None: ...


class _Undrained:
    """A stand-in as a process: it has nothing to finish."""

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
    warm: Annotated[bool, cappa.Arg(long=True, help="Start warm.")] = False
    checks_fencing: Annotated[
        bool, cappa.Arg(long=True, help="Refuse orders with an old fencing number.")
    ] = False
    kv_capacity_tokens: Annotated[
        int, cappa.Arg(long=True, help="Tokens of KV memory.")
    ] = 400_000

    def __call__(self) -> int:
        """Run until told to stop."""
        from gentianhoist.standins import EngineProfile, EngineStandin

        profile = EngineProfile(kv_capacity_tokens=self.kv_capacity_tokens)
        run_process(
            lambda: _Undrained(
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
        """Run until told to stop."""
        from gentianhoist.standins import ServiceStandin

        run_process(lambda: _Undrained(ServiceStandin(self.host, self.port)))
        return ExitCode.OK


@cappa.command(name="platform")
@dataclass(kw_only=True)
class PlatformStandinCommand:
    """Run a stand-in for the platform's services."""

    port: _PortArg
    host: _HostArg = "127.0.0.1"

    def __call__(self) -> int:
        """Run until told to stop."""
        from gentianhoist.standins import PlatformStandin

        run_process(lambda: _Undrained(PlatformStandin(self.host, self.port)))
        return ExitCode.OK


@cappa.command(name="standin")
@dataclass(kw_only=True)
class StandinCommand:
    """Run a stand-in for an outside system; its faults are set at /faults."""

    kind: cappa.Subcommands[
        EngineStandinCommand | ServiceStandinCommand | PlatformStandinCommand
    ]

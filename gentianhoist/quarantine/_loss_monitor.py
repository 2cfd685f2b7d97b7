"""Tells servers that crashed from connections that were lost, by a probe of each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gentianhoist.clocks import Clock
from gentianhoist.fleet import BackendServer
from gentianhoist.quarantine._evidence import EngineLoss
from gentianhoist.quarantine._interfaces import (
    DecisionRecorder,
    QuarantineMetrics,
    ServerProbe,
)

__all__ = ["SETTLE_S", "LossMonitor"]

# Time in which the other entries report the prompts that they had on a lost engine.
SETTLE_S = 0.05
# A repeat of a prompt waits at most so long for the decision on the loss of its engine.
_MAX_DECISION_WAIT_S = 0.15
# Prompts of one engine are reported as one loss for this time after the decision.
_LOSS_OPEN_S = 2.0


class _OpenLoss:
    """Requests of one server that lost it at about the same time."""

    def __init__(self) -> None:
        self.prompts: set[tuple[str, ...]] = set()
        self.decided = asyncio.Event()
        self.loss: EngineLoss | None = None

    def is_before(self, sent_s: float) -> bool:
        """Whether the server was lost, and up again, before a request was sent to it.

        The directory may not know of its restart yet.
        """
        return self.loss is not None and self.loss.lost_s < sent_s


class LossMonitor:
    """Gathers the requests that lost a server, and probes the server once.

    Args:
        probe: Probes a server.
        clock: The entry's clock.
        log: Receives one record for each probe.
        metrics: Counts the probes.
        on_loss: Called with the loss of a server, again if more requests are reported.
        decide: Called when the reports of all entries about a loss have arrived.
    """

    def __init__(
        self,
        probe: ServerProbe,
        clock: Clock,
        log: DecisionRecorder,
        metrics: QuarantineMetrics,
        on_loss: Callable[[EngineLoss], None],
        decide: Callable[[], None],
    ) -> None:
        self._probe = probe
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_loss = on_loss
        self._decide = decide
        self._open_losses: dict[tuple[str, str, int], _OpenLoss] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Cancel all probes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def report(
        self, server: BackendServer, keys: tuple[str, ...], sent_s: float, *, wait: bool
    ) -> None:
        """Report a lost connection.

        Args:
            server: The server.
            keys: Keys of the request that was being answered.
            sent_s: Time on the monotonic clock when it was sent to the server.
            wait: Whether to wait, within a limit, for the decision that follows.
        """
        open_loss = self._open_losses.get(server.incarnation)
        if open_loss is None or open_loss.is_before(sent_s):
            open_loss = self._open_losses[server.incarnation] = _OpenLoss()
            probing = self._probe_engine(server, open_loss)
            task = asyncio.get_running_loop().create_task(probing)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        open_loss.prompts.add(keys)
        if open_loss.loss is not None:
            self._on_loss(open_loss.loss._replace(prompts=frozenset({keys})))
        if not wait:
            return
        try:
            async with asyncio.timeout(_MAX_DECISION_WAIT_S):
                await open_loss.decided.wait()
        except TimeoutError:
            self._log.record("loss_undecided", server=server.id)

    async def _probe_engine(self, server: BackendServer, open_loss: _OpenLoss) -> None:
        lost_s = self._clock.monotonic_s()
        is_down = await self._probe.is_down(server)
        self._metrics.record_lost_engine(is_down)
        self._log.record(
            "engine_lost" if is_down else "engine_still_runs",
            server=server.id,
            prompts=len(open_loss.prompts),
        )
        if is_down:
            engine = f"{server.id}/{server.started_ms}"
            prompts = frozenset(open_loss.prompts)
            open_loss.loss = EngineLoss(engine, lost_s, prompts)
            self._on_loss(open_loss.loss)
            await asyncio.sleep(SETTLE_S)
            self._decide()
        open_loss.decided.set()
        if is_down:
            await asyncio.sleep(_LOSS_OPEN_S)
        if self._open_losses.get(server.incarnation) is open_loss:
            del self._open_losses[server.incarnation]

"""Keeps an entry's configuration the newest, and accepts operators' changes."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from gentianhoist.clocks import Clock
from gentianhoist.configuration import (
    ChangeRecord,
    Configuration,
    ConfigurationLog,
    ConfigurationReplica,
    Confirmation,
    EffectiveLimits,
    apply_record,
    initial_configuration,
)
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.settings import DeploymentSettings
from gentianhoist.store import StoreInDoubt, StoreUnavailable
from gentianhoist.wire import ConfigurationUpdate

_LOG = logging.getLogger(__name__)

_CHANGES_AT_ONCE = 32
_JITTER = 0.2


class ConfigurationManager:
    """The task that owns an entry's copy of the configuration.

    Args:
        log: The log in the table service.
        replica: This process's copy.
        confirmation: Evidence that it is the newest.
        deployment: The deployment's settings.
        clock: This machine's clocks.
        events: Where versions are recorded.
        on_change: Called when the version has changed.
    """

    def __init__(
        self,
        log: ConfigurationLog,
        replica: ConfigurationReplica,
        confirmation: Confirmation,
        deployment: DeploymentSettings,
        clock: Clock,
        events: EventRing,
        on_change: Callable[[], None],
    ) -> None:
        self._log = log
        self._replica = replica
        self._confirmation = confirmation
        self._deployment = deployment
        self._clock = clock
        self._events = events
        self._on_change = on_change
        self._accepting = 0
        self._in_doubt = False
        self._was_confirmed = False
        self._task: asyncio.Task[None] | None = None

    @property
    def has_unannounced_change(self) -> bool:
        """Whether this entry may know of a change that it hasn't told."""
        return self._accepting > 0 or self._in_doubt

    @property
    def is_confirmed(self) -> bool:
        """Whether no newer configuration can be in force."""
        if self.has_unannounced_change and self._in_doubt:
            return False
        return self._confirmation.is_confirmed(
            self._clock.elapsed_s(), self._replica.version
        )

    async def start(self) -> None:
        """Begin to follow the log."""
        self._task = asyncio.create_task(self._follow())

    async def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()

    def effective_limits(self) -> EffectiveLimits:
        """What to go by now when requests are admitted.

        Raises:
            HoistError: If there is no configuration yet.
        """
        configuration = self._replica.current
        if configuration is None:
            raise HoistError(ErrorKind.NOT_READY, "no configuration yet")
        if not self.is_confirmed:
            return configuration.minimum_limits()
        return configuration.effective_limits(
            self._clock.wall_s(), self._deployment.timing.clock_skew_s
        )

    def apply_update(self, update: ConfigurationUpdate) -> None:
        """Take what another process sent."""
        if self._replica.apply_update(update):
            self._note("from another process")

    async def accept_change(
        self, record: ChangeRecord, expected_version: int, *, dry_run: bool
    ) -> tuple[ChangeRecord, Configuration]:
        """Accept an operator's change.

        Args:
            record: The change.
            expected_version: Version that the operator saw, 0 for the newest.
            dry_run: Whether only to say what would happen.

        Returns:
            The accepted record and the configuration that it makes.

        Raises:
            HoistError: If it conflicts, or the store can't say.
            ExceptionGroup: If it is rejected.
        """
        lead_s = self._deployment.timing.switch_lead_s
        if dry_run:
            return self._try(record, self._clock.wall_s() + lead_s)
        self._accepting += 1
        try:
            record = ChangeRecord(
                0,
                record.change_id,
                record.operator,
                self._clock.wall_s() + lead_s,
                record.changes,
            )
            accepted, configuration = await self._log.accept(record, expected_version)
        except StoreUnavailable as error:
            raise HoistError(
                ErrorKind.STORE_UNAVAILABLE, "the store doesn't answer"
            ) from error
        except StoreInDoubt as error:
            self._in_doubt = True
            raise HoistError(
                ErrorKind.OUTCOME_UNKNOWN,
                "the store's answer is lost; send the change again with the same id",
                field="change_id",
            ) from error
        finally:
            self._accepting -= 1
        if self._replica.apply(accepted) or self._replica.replace(configuration):
            self._note(f"accepted from {accepted.operator}")
        return accepted, configuration

    def _try(
        self, record: ChangeRecord, in_force_at_s: float
    ) -> tuple[ChangeRecord, Configuration]:
        current = self._replica.current
        if current is None:
            raise HoistError(ErrorKind.NOT_READY, "no configuration yet")
        tried = ChangeRecord(
            current.version + 1,
            record.change_id,
            record.operator,
            in_force_at_s,
            record.changes,
        )
        return tried, apply_record(current, tried)

    async def _follow(self) -> None:
        while True:
            try:
                await self._catch_up()
            except (StoreUnavailable, StoreInDoubt) as error:
                _LOG.debug("the store doesn't answer: %s", error)
            except ExceptionGroup:
                _LOG.exception("a change could not be applied")
            self._note_confirmation()
            period_s = self._deployment.timing.head_read_s
            await asyncio.sleep(period_s * random.uniform(1 - _JITTER, 1 + _JITTER))

    async def _catch_up(self) -> None:
        asked_s = self._clock.elapsed_s()
        accepting = self._accepting > 0
        head = await self._log.head_version()
        if not head:
            await self._log.create(initial_configuration(self._deployment))
            head = 1
        if head > self._replica.version:
            await self._fetch(head)
        if head <= self._replica.version:
            self._confirmation.record_store_read(asked_s)
            if not accepting:
                self._in_doubt = False

    async def _fetch(self, head: int) -> None:
        behind = head - self._replica.version
        if self._replica.version and behind <= _CHANGES_AT_ONCE:
            for record in await self._log.changes(self._replica.version, head):
                if self._replica.apply(record):
                    self._note("from the store")
        if self._replica.version < head:
            configuration = await self._log.load()
            if configuration is not None and self._replica.replace(configuration):
                self._note("from the store")

    def _note(self, cause: str) -> None:
        self._events.configuration_version = self._replica.version
        self._events.record(
            EventKind.CONFIGURATION_APPLIED,
            f"version {self._replica.version} {cause}",
        )
        self._on_change()

    def _note_confirmation(self) -> None:
        confirmed = self.is_confirmed
        if self._was_confirmed and not confirmed:
            self._events.record(
                EventKind.CONFIGURATION_UNCONFIRMED,
                "neither the store nor every entry answers: smallest allowance",
            )
        self._was_confirmed = confirmed

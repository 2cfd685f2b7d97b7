"""Follows the configuration log, and accepts operators' changes."""

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
    Head,
    apply_record,
    initial_configuration,
)
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.settings import DeploymentSettings
from gentianhoist.store import NO_HISTORY, StoreInDoubt, StoreUnavailable
from gentianhoist.wire import ConfigurationUpdate

_LOG = logging.getLogger(__name__)

_MAX_FETCHED_CHANGES = 32
# After a restore of the store, the log is confirmed without entries that can't be
# reached for this time; they write what the store has lost when they are back.
_MAX_PEERS_WAIT_S = 30.0
_JITTER_RATIO = 0.2


class ConfigurationManager:
    """The task that updates an entry's copy of the configuration.

    Updates come from the log in the store, from other processes, and from changes that
    this entry accepts itself.

    Args:
        log: The configuration log in the table service.
        replica: This process's copy of the configuration.
        confirmation: Decides whether the copy is confirmed as the latest version.
        deployment: Settings of the deployment.
        clock: Clocks of this machine.
        events: Events of this process; applied versions are recorded here.
        on_change: Called after each change of the version.
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
        self._pending_accepts = 0
        self._has_change_in_doubt = False
        self._was_confirmed = False
        self._synced_history = NO_HISTORY
        self._restore_heard_s: float | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def has_unreported_change(self) -> bool:
        """Whether a change may be in the log that this entry doesn't report yet.

        True while it accepts a change, and after an accept whose outcome is unknown.
        """
        return self._pending_accepts > 0 or self._has_change_in_doubt

    @property
    def is_confirmed(self) -> bool:
        """Whether no configuration newer than this copy can be in force."""
        if self.has_unreported_change and self._has_change_in_doubt:
            return False
        return self._confirmation.is_confirmed(
            self._clock.monotonic_s(), self._replica.version
        )

    async def start(self) -> None:
        """Start to follow the log."""
        self._task = asyncio.create_task(self._follow_log())

    async def close(self) -> None:
        """Stop following the log."""
        if self._task is not None:
            self._task.cancel()

    def effective_limits(self) -> EffectiveLimits:
        """Return the limits by which requests are admitted now.

        While the configuration is not confirmed as the latest, these are the minimum
        over all presets.

        Raises:
            HoistError: If no configuration has been loaded yet.
        """
        configuration = self._replica.current
        if configuration is None:
            raise HoistError(
                ErrorKind.NOT_READY, "no configuration has been loaded yet"
            )
        if not self.is_confirmed:
            return configuration.minimum_limits()
        return configuration.effective_limits(
            self._clock.wall_s(), self._deployment.timing.clock_skew_s
        )

    def apply_update(self, update: ConfigurationUpdate) -> None:
        """Apply a configuration update that another process sent."""
        if self._replica.apply_update(update):
            self._publish_version("from another process")

    async def accept_change(
        self, record: ChangeRecord, expected_version: int, *, dry_run: bool
    ) -> tuple[ChangeRecord, Configuration]:
        """Accept an operator's change.

        Args:
            record: The change.
            expected_version: Version that the operator saw, 0 for the latest.
            dry_run: Whether to validate the change without appending it to the log.

        Returns:
            The accepted record and the configuration that results from it.

        Raises:
            HoistError: If another change was accepted first, if the store does not
                respond, or if the outcome is unknown.
            ExceptionGroup: If the change is rejected.
        """
        lead_s = self._deployment.timing.switch_lead_s
        if dry_run:
            return self._dry_run(record, self._clock.wall_s() + lead_s)
        self._pending_accepts += 1
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
                ErrorKind.STORE_UNAVAILABLE, f"the change was not accepted: {error}"
            ) from error
        except StoreInDoubt as error:
            self._has_change_in_doubt = True
            raise HoistError(
                ErrorKind.OUTCOME_UNKNOWN,
                "the store's response was lost; retry with the same change_id",
                field="change_id",
            ) from error
        finally:
            self._pending_accepts -= 1
        if self._replica.apply(accepted) or self._replica.replace(configuration):
            self._publish_version(f"accepted from {accepted.operator}")
        return accepted, configuration

    def _dry_run(
        self, record: ChangeRecord, in_force_at_s: float
    ) -> tuple[ChangeRecord, Configuration]:
        current = self._replica.current
        if current is None:
            raise HoistError(
                ErrorKind.NOT_READY, "no configuration has been loaded yet"
            )
        trial = ChangeRecord(
            current.version + 1,
            record.change_id,
            record.operator,
            in_force_at_s,
            record.changes,
        )
        return trial, apply_record(current, trial)

    async def _follow_log(self) -> None:
        while True:
            try:
                await self._catch_up()
            except (StoreUnavailable, StoreInDoubt) as error:
                _LOG.debug("could not read or create the configuration log: %s", error)
            except ExceptionGroup:
                _LOG.exception(
                    "a change from the configuration log could not be applied"
                )
            self._record_confirmation_loss()
            period_s = self._deployment.timing.head_read_s
            await asyncio.sleep(
                period_s * random.uniform(1 - _JITTER_RATIO, 1 + _JITTER_RATIO)
            )

    async def _catch_up(self) -> None:
        requested_s = self._clock.monotonic_s()
        had_pending_accepts = self._pending_accepts > 0
        head = await self._log.head()
        if head is None:
            # A restored store may have lost the whole log.
            configuration = self._replica.current
            await self._log.create(
                configuration or initial_configuration(self._deployment)
            )
            head = await self._log.head()
        if head is not None and self._log.history != self._synced_history:
            await self._write_lost_changes()
            self._synced_history = self._log.history
            head = await self._log.head()
        if head is None:
            return
        if head.version > self._replica.version:
            await self._fetch(head.version)
        elif not self._is_latest(head):
            await self._load()
        if self._log.is_restored(head):
            await self._confirm_restored_log(head)
            return
        self._restore_heard_s = None
        if head.version <= self._replica.version:
            self._confirmation.record_store_read(requested_s)
            if not had_pending_accepts:
                self._has_change_in_doubt = False

    def _is_latest(self, head: Head) -> bool:
        """Whether this copy is what the log has at the copy's version."""
        current = self._replica.current
        return current is None or (
            head.version == current.version
            and head.configuration_change_id == current.change_id
        )

    async def _write_lost_changes(self) -> None:
        """Append the changes again that a restored store has lost, in their order.

        Those that the log still has are recognised by their ids.
        """
        for record in self._replica.records:
            try:
                accepted, _ = await self._log.accept(record, 0, is_lost=True)
            except (HoistError, ExceptionGroup) as error:
                # Another entry appended one first, or a later change contradicts it.
                _LOG.warning("change %s not written again: %r", record.change_id, error)
                continue
            self._events.record(
                EventKind.CONFIGURATION_APPLIED,
                f"change {record.change_id} is version {accepted.version} of the log,"
                " which a restored store may have lost",
            )

    async def _confirm_restored_log(self, head: Head) -> None:
        """Confirm the log in the store's new history once no entry knows of more."""
        now_s = self._clock.monotonic_s()
        if self._restore_heard_s is None:
            self._restore_heard_s = now_s
        waited_s = now_s - self._restore_heard_s
        version = self._replica.version
        if head.version != version or waited_s < self._deployment.timing.confirmation_s:
            return
        if (
            not self._confirmation.has_peers
            or self._confirmation.is_confirmed_by_peers(now_s, version)
            or waited_s >= _MAX_PEERS_WAIT_S
        ):
            await self._log.confirm(head)

    async def _fetch(self, head_version: int) -> None:
        behind = head_version - self._replica.version
        if self._replica.version and behind <= _MAX_FETCHED_CHANGES:
            for record in await self._log.changes(self._replica.version, head_version):
                if self._replica.apply(record):
                    self._publish_version("from the store")
        if self._replica.version < head_version:
            await self._load()

    async def _load(self) -> None:
        configuration = await self._log.load()
        if configuration is None or not self._replica.replace_with_log(configuration):
            return
        self._publish_version("from the store")
        version = configuration.version
        oldest = max(0, version - _MAX_FETCHED_CHANGES)
        # They are written again if the store loses them.
        self._replica.remember(await self._log.changes(oldest, version))

    def _publish_version(self, cause: str) -> None:
        self._events.configuration_version = self._replica.version
        self._events.record(
            EventKind.CONFIGURATION_APPLIED,
            f"version {self._replica.version} {cause}",
        )
        self._on_change()

    def _record_confirmation_loss(self) -> None:
        confirmed = self.is_confirmed
        if self._was_confirmed and not confirmed:
            self._events.record(
                EventKind.CONFIGURATION_UNCONFIRMED,
                "neither the store nor all entries respond: minimum limits apply",
            )
        self._was_confirmed = confirmed

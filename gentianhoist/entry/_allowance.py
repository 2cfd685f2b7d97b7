"""An entry's part of the rate limit: share lease, minute window and loans."""

from __future__ import annotations

import asyncio
import logging
import random

from gentianhoist.allowance import (
    WHOLE_PPM,
    Allowance,
    Amount,
    PeerReport,
    ShareLease,
)
from gentianhoist.clocks import Clock
from gentianhoist.configuration import Identity
from gentianhoist.entry._configuration_manager import ConfigurationManager
from gentianhoist.entry._directory import Directory
from gentianhoist.entry._links import CONNECTION_ERRORS, EntryLink
from gentianhoist.events import EventKind, EventRing
from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.membership import MemberState
from gentianhoist.store import ConditionFailed, StoreInDoubt, StoreUnavailable
from gentianhoist.wire import AllowanceUsage, LoanReply, LoanRequest

_LOG = logging.getLogger(__name__)

_RENEWAL_PERIOD_S = 5.0
_SETTLED_RENEWAL_PERIOD_S = 60.0
_POLL_PERIOD_S = 0.5
_COUNT_ALL_ENTRIES_S = 10.0
_LOAN_RATIO = 0.02
_MAX_LENDERS = 3
_LOAN_TIMEOUT_S = 0.25
_LOAN_BACKOFF_S = 0.25
_RETRY_AFTER_S = 1.0


class AllowanceManager:
    """The task that renews an entry's share of the rate limit and borrows for it.

    Args:
        lease: Lease of this entry's share.
        allowance: Amounts spent, lent and borrowed by this entry.
        configuration_manager: Source of the limits in force.
        directory: Links to the other entries, which lend.
        identity: Name and stamps of this process.
        clock: Clocks of this machine.
        events: Events of this process; changes of the share are recorded here.
    """

    def __init__(
        self,
        lease: ShareLease,
        allowance: Allowance,
        configuration_manager: ConfigurationManager,
        directory: Directory,
        identity: Identity,
        clock: Clock,
        events: EventRing,
    ) -> None:
        self._lease = lease
        self._allowance = allowance
        self._configuration_manager = configuration_manager
        self._directory = directory
        self._identity = identity
        self._clock = clock
        self._events = events
        self._borrow_task: asyncio.Task[None] | None = None
        self._next_loan_request_s = 0.0
        self._started_s = clock.monotonic_s()
        self._task: asyncio.Task[None] | None = None

    @property
    def share_ppm(self) -> int:
        """Share of the rate limit, in parts per million; 0 without a valid lease."""
        return self._lease.share_ppm(self._clock.monotonic_s())

    async def start(self) -> None:
        """Start to acquire and renew the lease of a share."""
        self._task = asyncio.create_task(self._run_renewals())

    async def close(self) -> None:
        """Release the share, or leave it to expire if the store does not respond."""
        if self._task is not None:
            self._task.cancel()
        try:
            await self._lease.release()
        except (StoreUnavailable, StoreInDoubt) as error:
            _LOG.warning(
                "the share stays reserved until its lease expires: %s",
                error,
            )

    async def spend(self, tokens: int) -> None:
        """Charge one request and its tokens, with loans if the share is used up.

        Args:
            tokens: Prompt tokens and maximum output tokens of the request.

        Raises:
            HoistError: If the share and the loans don't cover the request, or if no
                configuration has been loaded yet.
        """
        amount = Amount(1, tokens)
        if self._try_spend(amount):
            return
        if self._clock.monotonic_s() >= self._next_loan_request_s:
            await self._borrow(amount)
            if self._try_spend(amount):
                return
        raise HoistError(
            ErrorKind.ALLOWANCE_SPENT,
            f"this entry's share of the per-minute rate limit (preset"
            f" {self._configuration_manager.effective_limits().preset.name}"
            f") is used up",
            retry_after_s=_RETRY_AFTER_S,
        )

    def lend(self, wanted: Amount) -> LoanReply:
        """Lend a part of this entry's share to another entry.

        Args:
            wanted: Amount that the other entry asks for.

        Returns:
            The amount lent, which may be zero, and the wall time from which the preset
            is in force.

        Raises:
            HoistError: If no configuration has been loaded yet.
        """
        limits = self._configuration_manager.effective_limits()
        now_s = self._clock.monotonic_s()
        share_ppm = self._lease.share_ppm(now_s)
        lent = self._allowance.lend(wanted, limits, share_ppm, now_s)
        return LoanReply(
            self._identity.stamp(),
            limits.preset_in_force_at_s,
            lent.requests,
            lent.tokens,
        )

    def usage_report(self) -> AllowanceUsage | None:
        """Return this entry's usage, or `None` before a configuration is loaded."""
        try:
            limits = self._configuration_manager.effective_limits()
        except HoistError:
            return None
        now_s = self._clock.monotonic_s()
        used = self._allowance.used(now_s)
        share_ppm = self._lease.share_ppm(now_s)
        return AllowanceUsage(
            share_ppm, used.requests, used.tokens, limits.preset_in_force_at_s
        )

    def record_peer_usage(self, peer: str, usage: AllowanceUsage) -> None:
        """Store the usage report of another entry.

        Args:
            peer: Instance name of the other entry.
            usage: Its report.
        """
        used = Amount(usage.requests, usage.tokens)
        report = PeerReport(usage.share_ppm, used, usage.preset_in_force_at_s)
        self._allowance.reported(peer, report)

    def _try_spend(self, amount: Amount) -> bool:
        now_s = self._clock.monotonic_s()
        return self._allowance.spend(
            amount,
            self._configuration_manager.effective_limits(),
            self._lease.share_ppm(now_s),
            now_s,
        )

    async def _borrow(self, amount: Amount) -> None:
        if self._borrow_task is None or self._borrow_task.done():
            self._borrow_task = asyncio.create_task(self._request_loans(amount))
        await asyncio.shield(self._borrow_task)

    async def _request_loans(self, amount: Amount) -> None:
        preset = self._configuration_manager.effective_limits().preset
        wanted = Amount(
            max(1, int(preset.requests_per_minute * _LOAN_RATIO)),
            max(amount.tokens, int(preset.tokens_per_minute * _LOAN_RATIO)),
        )
        lenders = self._directory.entries
        random.shuffle(lenders)
        granted = await asyncio.gather(
            *(self._request_loan(link, wanted) for link in lenders[:_MAX_LENDERS])
        )
        if not any(granted):
            self._next_loan_request_s = self._clock.monotonic_s() + _LOAN_BACKOFF_S

    async def _request_loan(self, link: EntryLink, wanted: Amount) -> bool:
        requested_s = self._clock.monotonic_s()
        request = LoanRequest(self._identity.stamp(), wanted.requests, wanted.tokens)
        try:
            reply = await link.stub.lend(request, timeout=_LOAN_TIMEOUT_S)
        except CONNECTION_ERRORS:
            return False
        lent = Amount(reply.requests, reply.tokens)
        self._allowance.borrowed(lent, reply.preset_in_force_at_s, requested_s)
        return lent != Amount(0, 0)

    def _expected_holders(self) -> int:
        """Return the number of entries that need a share; at startup all known ones."""
        is_starting = self._clock.monotonic_s() < self._started_s + _COUNT_ALL_ENTRIES_S
        return 1 + sum(
            is_starting
            or self._directory.member_state(link.member.name) is MemberState.LIVE
            for link in self._directory.entries
        )

    async def _run_renewals(self) -> None:
        share_ppm, holders = 0, 0
        renewed_s = float("-inf")
        while True:
            now_s = self._clock.monotonic_s()
            holders_changed = holders != self._expected_holders()
            if holders_changed or now_s - renewed_s >= self._renew_period_s(share_ppm):
                holders = self._expected_holders()
                if await self._try_renew(holders):
                    renewed_s = now_s
            if self.share_ppm != share_ppm:
                share_ppm = self.share_ppm
                self._events.record(EventKind.SHARE_CHANGED, f"{share_ppm} ppm")
            await asyncio.sleep(_POLL_PERIOD_S * random.uniform(0.8, 1.2))

    def _renew_period_s(self, share_ppm: int) -> float:
        """Return the seconds between two renewals of the lease.

        The period is longer once the share is an even split among the entries, to
        reduce the store's load.
        """
        is_settled = share_ppm and share_ppm == WHOLE_PPM // self._expected_holders()
        return _SETTLED_RENEWAL_PERIOD_S if is_settled else _RENEWAL_PERIOD_S

    async def _try_renew(self, holders: int) -> bool:
        try:
            await self._lease.renew(holders)
        except (StoreUnavailable, StoreInDoubt, ConditionFailed) as error:
            _LOG.debug("could not renew the share: %s", error)
            return False
        return True

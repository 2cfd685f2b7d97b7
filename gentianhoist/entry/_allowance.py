"""An entry's allowance as its task keeps it: lease, window and loans."""

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
from gentianhoist.wire import LoanReply, LoanRequest, Spending

_LOG = logging.getLogger(__name__)

_RENEW_S = 5.0
_SETTLED_RENEW_S = 60.0
_LOOK_S = 0.5
_STARTING_S = 10.0
_LOAN_PART = 0.02
_LENDERS = 3
_LOAN_TIMEOUT_S = 0.25
_NO_LOAN_S = 0.25
_RETRY_AFTER_S = 1.0


class AllowanceManager:
    """The task that owns an entry's allowance.

    Args:
        lease: This entry's share.
        allowance: What it has spent.
        configuration_manager: Knows the preset.
        directory: Knows the other entries.
        identity: Who this process is.
        clock: This machine's clocks.
        events: Where shares are recorded.
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
        self._borrowing: asyncio.Task[None] | None = None
        self._no_loan_until_s = 0.0
        self._started_s = clock.elapsed_s()
        self._task: asyncio.Task[None] | None = None

    @property
    def share_ppm(self) -> int:
        """This entry's share, in parts per million."""
        return self._lease.share_ppm(self._clock.elapsed_s())

    async def start(self) -> None:
        """Take a share and keep it."""
        self._task = asyncio.create_task(self._renew())

    async def close(self) -> None:
        """Give the share back."""
        if self._task is not None:
            self._task.cancel()
        try:
            await self._lease.release()
        except (StoreUnavailable, StoreInDoubt) as error:
            _LOG.warning("the share is kept until its lease is over: %s", error)

    async def spend(self, tokens: int) -> None:
        """Spend one request and its tokens.

        Args:
            tokens: Tokens of the prompt and of the answer's limit.

        Raises:
            HoistError: If this minute has no room for it.
        """
        amount = Amount(1, tokens)
        if self._try_spend(amount):
            return
        if self._clock.elapsed_s() >= self._no_loan_until_s:
            await self._borrow(amount)
            if self._try_spend(amount):
                return
        raise HoistError(
            ErrorKind.ALLOWANCE_SPENT,
            f"this minute's part of preset"
            f" {self._configuration_manager.effective_limits().preset.name}"
            f" is spent",
            retry_after_s=_RETRY_AFTER_S,
        )

    def lend(self, wanted: Amount) -> LoanReply:
        """Lend to another entry."""
        terms = self._configuration_manager.effective_limits()
        now_s = self._clock.elapsed_s()
        share_ppm = self._lease.share_ppm(now_s)
        lent = self._allowance.lend(wanted, terms, share_ppm, now_s)
        return LoanReply(
            self._identity.stamp(), terms.since_s, lent.requests, lent.tokens
        )

    def spending_report(self) -> Spending | None:
        """What other entries are told of this one's part."""
        try:
            terms = self._configuration_manager.effective_limits()
        except HoistError:
            return None
        now_s = self._clock.elapsed_s()
        used = self._allowance.used(now_s)
        share_ppm = self._lease.share_ppm(now_s)
        return Spending(share_ppm, used.requests, used.tokens, terms.since_s)

    def record_peer_spending(self, peer: str, spending: Spending) -> None:
        """Take what another entry says of its part."""
        used = Amount(spending.requests, spending.tokens)
        report = PeerReport(spending.share_ppm, used, spending.since_s)
        self._allowance.reported(peer, report)

    def _try_spend(self, amount: Amount) -> bool:
        now_s = self._clock.elapsed_s()
        return self._allowance.spend(
            amount,
            self._configuration_manager.effective_limits(),
            self._lease.share_ppm(now_s),
            now_s,
        )

    async def _borrow(self, amount: Amount) -> None:
        if self._borrowing is None or self._borrowing.done():
            self._borrowing = asyncio.create_task(self._ask_lenders(amount))
        await asyncio.shield(self._borrowing)

    async def _ask_lenders(self, amount: Amount) -> None:
        preset = self._configuration_manager.effective_limits().preset
        wanted = Amount(
            max(1, int(preset.requests_per_minute * _LOAN_PART)),
            max(amount.tokens, int(preset.tokens_per_minute * _LOAN_PART)),
        )
        lenders = self._directory.entries
        random.shuffle(lenders)
        got = await asyncio.gather(
            *(self._ask(link, wanted) for link in lenders[:_LENDERS])
        )
        if not any(got):
            self._no_loan_until_s = self._clock.elapsed_s() + _NO_LOAN_S

    async def _ask(self, link: EntryLink, wanted: Amount) -> bool:
        asked_s = self._clock.elapsed_s()
        request = LoanRequest(self._identity.stamp(), wanted.requests, wanted.tokens)
        try:
            reply = await link.stub.lend(request, timeout=_LOAN_TIMEOUT_S)
        except CONNECTION_ERRORS:
            return False
        lent = Amount(reply.requests, reply.tokens)
        self._allowance.borrowed(lent, reply.since_s, asked_s)
        return lent != Amount(0, 0)

    def _expected_holders(self) -> int:
        """Entries that have or want a share; at first all that are known."""
        starting = self._clock.elapsed_s() < self._started_s + _STARTING_S
        return 1 + sum(
            starting
            or self._directory.member_state(link.member.name) is MemberState.LIVE
            for link in self._directory.entries
        )

    async def _renew(self) -> None:
        share_ppm, holders = 0, 0
        renewed_s = float("-inf")
        while True:
            now_s = self._clock.elapsed_s()
            news = holders != self._expected_holders()
            if news or now_s - renewed_s >= self._renew_period_s(share_ppm):
                holders = self._expected_holders()
                if await self._try_renew(holders):
                    renewed_s = now_s
            if self.share_ppm != share_ppm:
                share_ppm = self.share_ppm
                self._events.record(EventKind.SHARE_CHANGED, f"{share_ppm} ppm")
            await asyncio.sleep(_LOOK_S * random.uniform(0.8, 1.2))

    def _renew_period_s(self, share_ppm: int) -> float:
        """A holder that has its equal share renews seldom, as the store is shared."""
        settled = share_ppm and share_ppm == WHOLE_PPM // self._expected_holders()
        return _SETTLED_RENEW_S if settled else _RENEW_S

    async def _try_renew(self, holders: int) -> bool:
        try:
            await self._lease.renew(holders)
        except (StoreUnavailable, StoreInDoubt, ConditionFailed) as error:
            _LOG.debug("the share is not renewed: %s", error)
            return False
        return True

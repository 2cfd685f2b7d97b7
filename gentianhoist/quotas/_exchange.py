"""Borrows parts of shared quotas from other entries, and lends to them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from gentianhoist.clocks import Clock
from gentianhoist.quotas.core import Loan, LoanRequest, SharedQuota
from gentianhoist.telemetry import DecisionLog

__all__ = ["QuotaExchange", "QuotaPublisher"]

# Entries that are asked at once; with parts of a quarter they have a whole unit.
_MAX_ASKED = 5
# An answer takes a round trip between two zones, and longer from a busy entry.
_ANSWER_TIMEOUT_S = 0.05
_MIN_REQUEST_INTERVAL_S = 0.05


class QuotaPublisher(Protocol):
    """Sends requests and loans to other entries."""

    @property
    def live_hosts(self) -> Sequence[str]:
        """IP addresses of the other entries that were heard from recently."""
        ...

    def publish_quota(self, message: LoanRequest | Loan, host: str) -> None:
        """Send a message to one entry."""
        ...


class QuotaExchange:
    """One entry's part in sharing quotas.

    Args:
        get_quota: Returns this entry's part of a quota by its name.
        publisher: Sends to the other entries.
        clock: The entry's clock.
        log: Receives one record for each quota that a request lacks.
        rng: Source of randomness.
    """

    def __init__(
        self,
        get_quota: Callable[[str], SharedQuota],
        publisher: QuotaPublisher,
        clock: Clock,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._get_quota = get_quota
        self._publisher = publisher
        self._clock = clock
        self._log = log
        self._rng = rng
        self._requested_s: dict[str, float] = {}
        self._loan_arrived = asyncio.Event()

    def try_withdraw(self, name: str) -> bool:
        """Withdraw one unit; asks others for the next one if none is left."""
        quota = self._current(name)
        is_withdrawn = quota.try_withdraw()
        self._request_if_missing(name, quota)
        return is_withdrawn

    def can_withdraw(self, name: str) -> bool:
        """Whether a unit can be withdrawn now; asks other entries if it can't."""
        quota = self._current(name)
        self._request_if_missing(name, quota)
        return quota.can_withdraw

    async def withdraw(self, name: str, request_id: str) -> bool:
        """Withdraw one unit, if necessary after a short wait for loans.

        Args:
            name: Name of the quota.
            request_id: Id of the request, for the log.

        Returns:
            False if other entries didn't lend what is missing in time.
        """
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                while not self.try_withdraw(name):
                    await self._loan_arrived.wait()
        except TimeoutError:
            units = round(self._get_quota(name).units, 2)
            self._log.record("quota_used_up", request_id, quota=name, units=units)
            return False
        return True

    def receive_request(self, host: str, request: LoanRequest) -> None:
        """Lend to another entry, given by its IP address, what can be spared."""
        loan = self._current(request.quota).lend(request)
        if loan.units > 0.0:
            self._publisher.publish_quota(loan, host)

    def receive_loan(self, host: str, loan: Loan) -> None:
        """Take a loan of another entry, given by its IP address."""
        quota = self._current(loan.quota)
        quota.accept(host, loan, self._clock.monotonic_s())
        self._loan_arrived.set()
        self._loan_arrived = asyncio.Event()

    def _current(self, name: str) -> SharedQuota:
        quota = self._get_quota(name)
        quota.expire(self._clock.monotonic_s())
        return quota

    def _request_if_missing(self, name: str, quota: SharedQuota) -> None:
        now_s = self._clock.monotonic_s()
        if quota.can_withdraw:
            return
        if now_s - self._requested_s.get(name, float("-inf")) < _MIN_REQUEST_INTERVAL_S:
            return
        hosts = list(self._publisher.live_hosts)
        hosts = self._rng.sample(hosts, min(len(hosts), _MAX_ASKED))
        if not hosts:
            return
        self._requested_s[name] = now_s
        request = quota.request_loan(name, hosts)
        for host in hosts:
            self._publisher.publish_quota(request, host)

"""Entries that borrow from each other, over a network without I/O."""

import asyncio
import random

from gentianhoist.quotas import Loan, LoanRequest, QuotaExchange, SharedQuota
from gentianhoist.telemetry import DecisionLog
from tests.virtual_time_loop import VirtualTimeLoop

DELAY_S = 0.003


class Network:
    """Entries that reach each other after a delay, unless they are cut off."""

    def __init__(self, loop: VirtualTimeLoop, count: int, part: float) -> None:
        self.loop = loop
        self.cut_off: set[str] = set()
        self.quotas = {str(i): SharedQuota(0.18, part) for i in range(count)}
        self.exchanges = {host: self._exchange(host) for host in self.quotas}

    def _exchange(self, host: str) -> QuotaExchange:
        return QuotaExchange(
            lambda name: self.quotas[host],
            Link(self, host),
            self.loop,
            DecisionLog({}),
            random.Random(1),
        )

    def deliver(self, sender: str, message: LoanRequest | Loan, host: str) -> None:
        if {sender, host} & self.cut_off:
            return
        match message:
            case LoanRequest():
                receive = self.exchanges[host].receive_request
            case Loan():
                receive = self.exchanges[host].receive_loan
        self.loop.call_later(DELAY_S, receive, sender, message)


class Link:
    """One entry's end of the network."""

    def __init__(self, network: Network, host: str) -> None:
        self._network = network
        self._host = host

    @property
    def live_hosts(self) -> list[str]:
        return sorted(self._network.quotas.keys() - {self._host})

    def publish_quota(self, message: LoanRequest | Loan, host: str) -> None:
        self._network.deliver(self._host, message, host)


def test_request_that_lacks_a_retry_gets_one_of_others_at_once(loop):
    """Each of 68 entries has a third of a retry."""
    network = Network(loop, 68, 0.34)
    withdrawal = network.exchanges["0"].withdraw("retries", "id")
    assert loop.run_until_complete(asyncio.wait_for(withdrawal, 3 * DELAY_S))


def test_entry_that_is_cut_off_keeps_to_its_part(loop):
    network = Network(loop, 68, 0.34)
    network.cut_off = {"0"}
    assert not loop.run_until_complete(network.exchanges["0"].withdraw("retries", "id"))


def test_asks_for_the_next_unit_before_it_is_needed(loop):
    network = Network(loop, 10, 1.0)
    exchange = network.exchanges["0"]
    for host in network.quotas.keys() - {"0"}:
        network.quotas[host] = SharedQuota(0.18, 1.5)
    assert exchange.try_withdraw("retries")
    assert not network.quotas["0"].can_withdraw
    loop.run_until_complete(asyncio.sleep(3 * DELAY_S))
    assert exchange.can_withdraw("retries")

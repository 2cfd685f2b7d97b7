"""Rate limits that backend servers name in their responses, kept by all entries."""

from __future__ import annotations

import random
from collections.abc import Iterable

from gentianhoist.fleet import BackendServer
from gentianhoist.ratelimits._bucket import SharedBucket
from gentianhoist.ratelimits._limited_server import LimitChange, LimitedServer
from gentianhoist.ratelimits._notice import LimitNamed, LimitNotice, NoLimitNamed
from gentianhoist.ratelimits._reports import Incarnation, RateLimitReport
from gentianhoist.ratelimits._ring import EntryRing

__all__ = ["RateLimits"]

# Entries that share the limit of one server; more if otherwise an entry would share
# the limits of fewer servers than that.
_MIN_MEMBERS = 32
# Part of a limit that is left to entries that don't share it. They find out with it
# whether the limit still stands.
_TRIAL_RATIO = 0.1
# Groups of entries that don't hear each other use a limit together up to this multiple,
# half of the entries that are known for example three quarters of it.
_PARTITION_RATIO = 1.5
# An entry that has used some limit within this time counts as one that wants a part.
_USE_WINDOW_S = 10.0
# Limits that have ended are remembered, so that late reports don't bring them back.
_ENDED_TTL_S = 10.0
_REPEAT_INTERVAL_S = 0.75
# So many of the members tell an entry that has just started of the limit.
_SYNC_MEMBERS = 2
_MAX_SERVERS = 16_384
_MAX_COUNTED_ENTRIES = 1_024


class RateLimits:
    """Aggregate of the rate limits that backend servers name, as one entry sees them.

    Entries report to each other what they send to a limited server, and each subtracts
    that from its copy of the server's token bucket. In a large fleet only some entries,
    the members, share the limit of one server. Every `now_s` is the current time on the
    entry's clock, in seconds.

    Args:
        host: IP address of this entry.
        rng: Source of randomness.
    """

    def __init__(self, host: str = "", rng: random.Random | None = None) -> None:
        self._host = host
        self._rng = rng or random.Random()
        self._servers: dict[Incarnation, LimitedServer] = {}
        self._ring = EntryRing([host])
        self._live_ratio = 1.0
        self._live_entries = 1
        # What the rates of all buckets depend on, as of the last update.
        self._sharing = (self._live_entries, self._live_ratio, 1)
        self._last_use_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Number of servers that name a limit."""
        return sum(item.limit_per_s is not None for item in self._servers.values())

    # Entries.

    def set_entries(
        self,
        known: Iterable[str],
        live: Iterable[str],
        now_s: float,
        min_entries: int = 1,
    ) -> None:
        """Set the entries of the fleet.

        Args:
            known: IP addresses of the other entries, heard from or only registered.
            live: IP addresses of the other entries that were heard from recently.
            now_s: Current time.
            min_entries: Smallest number of entries to assume, this one included. An
                entry that has just started may not know the others yet.
        """
        hosts = frozenset(known) | {self._host}
        if hosts != self._ring.hosts:
            self._ring = EntryRing(hosts)
        self._live_entries = 1 + len(frozenset(live) - {self._host})
        self._live_ratio = self._live_entries / max(min_entries, len(hosts))
        sharing = (self._live_entries, self._live_ratio, self._member_count)
        if sharing == self._sharing:
            return
        self._sharing = sharing
        for server in self._servers.values():
            self._configure(server, now_s)

    # Requests.

    def limit_per_s(self, server: BackendServer) -> float | None:
        """Requests per second that a server takes now, None without a limit."""
        limited = self._limited(server)
        return None if limited is None else limited.limit_per_s

    def can_send(self, server: BackendServer, now_s: float) -> bool:
        """Whether the limit of a server, if any, allows another request."""
        limited = self._limited(server)
        if limited is None:
            return True
        if self._is_member(limited):
            return limited.bucket.can_take(now_s)
        return now_s >= limited.trial_s

    def next_send_s(self, server: BackendServer, now_s: float) -> float:
        """Time from which `can_send` holds if no entry sends anything before."""
        limited = self._limited(server)
        if limited is None:
            return now_s
        if self._is_member(limited):
            return limited.bucket.next_take_s(now_s)
        return max(now_s, limited.trial_s)

    def expected_rate_per_s(self, server: BackendServer, now_s: float) -> float:
        """This entry's expected part of the requests that a limited server takes.

        Entries that used no limit recently leave their part to the others.
        """
        limited = self._limited(server)
        if limited is None or not self._is_member(limited):
            return 0.0
        users = sum(
            now_s - used_s < _USE_WINDOW_S for used_s in self._last_use_s.values()
        )
        return limited.bucket.tokens_per_s / (1 + users)

    def take(self, server: BackendServer, now_s: float) -> RateLimitReport | None:
        """Count a request to a server against its limit.

        Returns:
            The report for the members of the server, None if it has no limit.
        """
        return self._count(server, 1, now_s)

    def give_back(self, server: BackendServer, now_s: float) -> RateLimitReport | None:
        """Take back a request that was counted and not sent; returns as `take`."""
        return self._count(server, -1, now_s)

    # Knowledge of limits.

    def observe(
        self, server: BackendServer, notice: LimitNotice, sent_s: float, now_s: float
    ) -> LimitChange | None:
        """Take what a response says about the limit of its server.

        A response to a request that was sent before the limit was named last may have
        been written before, so it doesn't end the limit.

        Args:
            server: The server.
            notice: What the response says; an unreadable limit changes nothing.
            sent_s: When the request was sent, on the entry's clock.
            now_s: Current time.

        Returns:
            The change of the limit, or None if it didn't change.
        """
        match notice:
            case LimitNamed(requests_per_s=limit_per_s):
                return self._learn(server.incarnation, limit_per_s, now_s, now_s)
            case NoLimitNamed():
                limited = self._limited(server)
                if limited is not None and sent_s > limited.observed_s:
                    return self._learn(server.incarnation, None, now_s, now_s)
        return None

    def receive(
        self, entry: str, report: RateLimitReport, now_s: float
    ) -> LimitChange | None:
        """Take the report of another entry; returns the change of the limit, if any.

        Args:
            entry: Incarnation of the entry that reports.
            report: Its report, with times on this entry's clock.
            now_s: Current time.
        """
        change = self._learn(
            report.server, report.limit_per_s, report.observed_s, now_s
        )
        limited = self._servers.get(report.server)
        if limited is None or limited.limit_per_s is None:
            return change
        before = limited.sent_by_others.get(entry)
        if before is None and len(limited.sent_by_others) >= _MAX_COUNTED_ENTRIES:
            limited.sent_by_others.pop(next(iter(limited.sent_by_others)))
        limited.sent_by_others[entry] = report.sent
        if before is None or report.sent < before - 1:
            # What it sent before this entry knew of it is long past, but for the last.
            # Only one request at a time is taken back, so a smaller count is a new one.
            before = max(0, report.sent - 1)
        if report.sent != before:
            limited.bucket.take(report.sent - before, now_s)
            limited.bucket.align(report.tokens, now_s)
            self._last_use_s[entry] = now_s
        return change

    def report(self, server: Incarnation) -> RateLimitReport | None:
        """This entry's report about a server, None if it knows nothing of its limit."""
        limited = self._servers.get(server)
        return None if limited is None else limited.report()

    def recipients(
        self, report: RateLimitReport, change: LimitChange | None = None
    ) -> frozenset[str]:
        """IP addresses of the entries that need a report: the members of the server.

        All entries need to know that there is a limit, or none any more.

        Args:
            report: The report.
            change: The change of the limit that it tells of, if any.
        """
        is_for_all = change is not None and None in change
        if is_for_all or report.limit_per_s is None:
            return self._ring.hosts - {self._host}
        members = self._ring.members(report.server[0], self._member_count)
        return frozenset(members) - {self._host}

    def reports_for(self, host: str) -> list[RateLimitReport]:
        """Reports about limits for an entry that has just started.

        Some other members of each server send them, not all.
        """
        return [
            limited.report()
            for limited in self._servers.values()
            if limited.limit_per_s is not None and self._is_first_to_tell(host, limited)
        ]

    def reports_to_repeat(self, now_s: float) -> list[RateLimitReport]:
        """Reports that are due once more, as the first datagram may have been lost."""
        due = []
        for limited in self._servers.values():
            if limited.repeat_s is not None and now_s >= limited.repeat_s:
                limited.repeat_s = None
                due.append(limited.report())
        return due

    # Upkeep.

    def expire(self, now_s: float) -> None:
        """Drop limits that ended long ago, and entries that used none for long."""
        ended = [
            key
            for key, limited in self._servers.items()
            if limited.limit_per_s is None and now_s - limited.observed_s > _ENDED_TTL_S
        ]
        for key in ended:
            del self._servers[key]
        for entry, used_s in list(self._last_use_s.items()):
            if now_s - used_s > _USE_WINDOW_S:
                del self._last_use_s[entry]

    def keep_only(self, incarnations: set[Incarnation]) -> None:
        """Remove the limits of all other incarnations."""
        for removed in self._servers.keys() - incarnations:
            del self._servers[removed]

    @property
    def _member_count(self) -> int:
        """Number of entries that share the limit of one server."""
        entries = len(self._ring)
        per_server = -(-_MIN_MEMBERS * entries // max(1, len(self._servers)))
        return min(entries, max(_MIN_MEMBERS, per_server))

    def _limited(self, server: BackendServer) -> LimitedServer | None:
        if not self._servers:
            return None
        limited = self._servers.get(server.incarnation)
        return None if limited is None or limited.limit_per_s is None else limited

    def _is_member(self, limited: LimitedServer) -> bool:
        if self._member_count == len(self._ring):
            return True
        return self._ring.rank(self._host, limited.server_id) < self._member_count

    def _is_first_to_tell(self, host: str, limited: LimitedServer) -> bool:
        members = self._ring.members(limited.server_id, self._member_count)
        others = [member for member in members if member != host]
        return self._host in others[:_SYNC_MEMBERS]

    def _count(
        self, server: BackendServer, requests: int, now_s: float
    ) -> RateLimitReport | None:
        limited = self._limited(server)
        if limited is None:
            return None
        limited.sent += requests
        limited.bucket.take(requests, now_s)
        limited.repeat_s = now_s + _REPEAT_INTERVAL_S
        if not self._is_member(limited):
            self._schedule_trial(limited, now_s)
            return None
        return limited.report()

    def _learn(
        self,
        key: Incarnation,
        limit_per_s: float | None,
        observed_s: float,
        now_s: float,
    ) -> LimitChange | None:
        """Take a limit, or its end, unless something newer is known."""
        known = self._servers.get(key)
        if known is not None and observed_s <= known.observed_s:
            return None
        before_per_s = None if known is None else known.limit_per_s
        if limit_per_s is None and before_per_s is None:
            return None
        if known is None or before_per_s is None:
            # Nothing is known of what other entries sent under an earlier limit.
            known = self._add(key, limit_per_s, observed_s, now_s)
        known.observed_s = observed_s
        if limit_per_s == before_per_s:
            return None
        known.limit_per_s = limit_per_s
        known.repeat_s = now_s + _REPEAT_INTERVAL_S
        self._configure(known, now_s)
        return LimitChange(before_per_s, limit_per_s)

    def _add(
        self,
        key: Incarnation,
        limit_per_s: float | None,
        observed_s: float,
        now_s: float,
    ) -> LimitedServer:
        if len(self._servers) >= _MAX_SERVERS:
            self._servers.pop(next(iter(self._servers)))
        bucket = SharedBucket(now_s, self._rng)
        limited = LimitedServer(key, bucket, limit_per_s, observed_s)
        self._servers[key] = limited
        self._schedule_trial(limited, now_s)
        return limited

    def _configure(self, limited: LimitedServer, now_s: float) -> None:
        """Set the rate of the bucket by the limit and the entries that share it."""
        members = self._member_count
        ratio = min(1.0, _PARTITION_RATIO * self._live_ratio)
        if members < len(self._ring):
            ratio *= 1.0 - _TRIAL_RATIO
        sharing = max(1, min(members, self._live_entries))
        limited.bucket.configure(ratio * limited.rate_per_s, sharing, now_s)

    def _schedule_trial(self, limited: LimitedServer, now_s: float) -> None:
        """Draw the time of the next request of an entry that isn't a member."""
        trials_per_s = _TRIAL_RATIO * limited.rate_per_s / len(self._ring)
        limited.trial_s = now_s + (0.5 + self._rng.random()) / trials_per_s

"""Messages between entries, sent as msgpack datagrams."""

from __future__ import annotations

import msgspec

from gentianhoist.placement import Commitment
from gentianhoist.quarantine import QuarantineRecord
from gentianhoist.quotas import Loan, LoanRequest
from gentianhoist.ratelimits import RateLimitReport

__all__ = [
    "CommitmentAdded",
    "CommitmentEnded",
    "EngineLossReported",
    "FirstEventReceived",
    "QuotaLent",
    "QuotaRequested",
    "PromptCompleted",
    "RateLimitUsed",
    "SegmentRecorded",
    "ServerLeaving",
    "SyncRequest",
]


class CommitmentAdded(msgspec.Struct, tag="a", array_like=True):
    """A commitment was made: a request is being sent to an engine.

    Deadlines are relative to the time of sending, since the clocks of entries differ.

    Attributes:
        id: Request id, unique among all entries.
        server_id: Id of the engine.
        is_helper: Whether the engine prefills only a part of the prompt.
        prefill_ms: Expected prefill time in ms.
        decode_ms: Expected decode time in ms.
        kv_tokens: KV cache reserved, in tokens.
        pause_goal_ms: Longest pause between two events of the stream that meets the
            inter-token latency goal, in ms.
        value: Value of the complete output, in the unit of `Demand.value`.
        ttft_deadline_in_ms: Time left until the goal for the time to first token, in
            ms.
        expires_in_ms: Time after which the commitment expires, in ms.
        organisation: Organisation of the caller; empty if unknown, or if the sender
            doesn't tell it.
    """

    id: str
    server_id: str
    is_helper: bool
    prefill_ms: int
    decode_ms: int
    kv_tokens: int
    pause_goal_ms: int
    value: float
    ttft_deadline_in_ms: int
    expires_in_ms: int
    organisation: str = ""

    @classmethod
    def of(cls, commitment: Commitment, now_s: float) -> CommitmentAdded:
        """Create the message for a commitment.

        Args:
            commitment: The commitment.
            now_s: Current time on the sender's clock, in seconds.
        """
        return cls(
            commitment.id,
            commitment.server_id,
            commitment.is_helper,
            round(commitment.prefill_s * 1000),
            round(commitment.decode_s * 1000),
            commitment.kv_tokens,
            round(commitment.pause_goal_s * 1000),
            round(commitment.value, 2),
            round((commitment.ttft_deadline_s - now_s) * 1000),
            round((commitment.expires_s - now_s) * 1000),
            commitment.organisation,
        )

    def commitment(self, now_s: float) -> Commitment:
        """Create the commitment, with its deadlines on the receiver's clock.

        Args:
            now_s: Current time on the receiver's clock, in seconds.
        """
        return Commitment(
            self.id,
            self.server_id,
            self.is_helper,
            self.prefill_ms / 1000,
            self.decode_ms / 1000,
            self.kv_tokens,
            self.pause_goal_ms / 1000,
            self.value,
            now_s + self.ttft_deadline_in_ms / 1000,
            now_s + self.expires_in_ms / 1000,
            self.organisation,
        )


class FirstEventReceived(msgspec.Struct, tag="f", array_like=True):
    """The first event of a stream has arrived: its prefill is complete.

    Attributes:
        id: Request id.
    """

    id: str


class CommitmentEnded(msgspec.Struct, tag="e", array_like=True):
    """A request has ended on all its engines.

    Attributes:
        id: Request id.
    """

    id: str


class EngineLossReported(msgspec.Struct, tag="l", array_like=True):
    """An engine crashed while it began answers of the sender.

    Attributes:
        engine: Identifies the incarnation of the engine.
        age_ms: Time since the loss in ms.
        prompts: Shared segments of each prompt whose answer had just begun.
    """

    engine: str
    age_ms: int
    prompts: list[tuple[str, ...]]


class PromptCompleted(msgspec.Struct, tag="c", array_like=True):
    """A prompt was answered to its end, which clears its segments.

    Attributes:
        segments: Its shared segments.
        sent_age_ms: Time in ms since it was sent to the engine.
    """

    segments: list[str]
    sent_age_ms: int


class SegmentRecorded(msgspec.Struct, tag="q", array_like=True):
    """The sender's record of a segment.

    Attributes:
        record: The record.
    """

    record: QuarantineRecord


class RateLimitUsed(msgspec.Struct, tag="r", array_like=True):
    """The sender's use of a server that names a rate limit.

    Attributes:
        server: Identifier, address and start time of the server.
        limit_per_s: Requests per second that it takes from all entries together, None
            if it names no limit any more.
        observed_age_ms: Time in ms since a response showed that.
        sent: Requests that the sender has sent since it has known the limit.
        tokens: Tokens in the sender's copy of the bucket.
    """

    server: tuple[str, str, int]
    limit_per_s: float | None
    observed_age_ms: int
    sent: int
    tokens: float

    @classmethod
    def of(cls, report: RateLimitReport, now_s: float) -> RateLimitUsed:
        """Create the message for a report, at a time on the sender's clock."""
        age_ms = round((now_s - report.observed_s) * 1000)
        return cls(
            report.server,
            report.limit_per_s,
            age_ms,
            report.sent,
            round(report.tokens, 2),
        )

    def report(self, now_s: float) -> RateLimitReport:
        """Create the report, with its time on the receiver's clock."""
        observed_s = now_s - self.observed_age_ms / 1000
        return RateLimitReport(
            self.server, self.limit_per_s, observed_s, self.sent, self.tokens
        )


class ServerLeaving(msgspec.Struct, tag="v", array_like=True):
    """A backend server has told the sender that it is about to stop.

    Attributes:
        server: Identifier, address and start time of the server.
    """

    server: tuple[str, str, int]


class QuotaRequested(msgspec.Struct, tag="b", array_like=True):
    """The sender lacks a part of one unit of a shared quota.

    Attributes:
        request: What it asks for.
    """

    request: LoanRequest


class QuotaLent(msgspec.Struct, tag="o", array_like=True):
    """The sender gives up a part of its quota in favour of the receiver.

    Attributes:
        loan: What it gives up.
    """

    loan: Loan


class SyncRequest(msgspec.Struct, tag="h", array_like=True):
    """An entry requests all current commitments of the receiver.

    Attributes:
        host: IP address to which they are sent.
    """

    host: str

"""Quarantine of prompt segments that crash the engines which answer them.

A prompt is a sequence of segments, and prompts share segments. When engines crash one
after the other, and each had just begun to answer a prompt with the same segment, that
segment is held: prompts with it are refused by every entry until a trial succeeds.
"""

from gentianhoist.quarantine._evidence import EngineLoss, LossLog
from gentianhoist.quarantine._interfaces import (
    NullQuarantinePublisher,
    QuarantinePublisher,
    QuarantineRows,
    ServerProbe,
)
from gentianhoist.quarantine._probe import ConnectionProbe
from gentianhoist.quarantine._records import (
    QuarantineRecord,
    QuarantineState,
    decode_record,
    encode_record,
)
from gentianhoist.quarantine._service import PromptQuarantine, refusal_error
from gentianhoist.quarantine.core import (
    Admitted,
    QuarantinePolicy,
    Refused,
    SegmentQuarantine,
    TrialDue,
    TrialResult,
)

__all__ = [
    "Admitted",
    "ConnectionProbe",
    "EngineLoss",
    "LossLog",
    "NullQuarantinePublisher",
    "PromptQuarantine",
    "QuarantinePolicy",
    "QuarantinePublisher",
    "QuarantineRecord",
    "QuarantineRows",
    "QuarantineState",
    "Refused",
    "SegmentQuarantine",
    "ServerProbe",
    "TrialDue",
    "TrialResult",
    "decode_record",
    "encode_record",
    "refusal_error",
]

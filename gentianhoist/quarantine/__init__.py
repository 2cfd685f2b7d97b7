"""Quarantine of requests that crash the servers which run them.

When servers crash one after the other, and each had just begun to run a request of the
same content, or a prompt with the same segment, that is held: such requests are refused
by every entry until a trial succeeds.
"""

from gentianhoist.quarantine._admission import (
    Admitted,
    QuarantinePolicy,
    Refused,
    TrialDue,
    TrialResult,
)
from gentianhoist.quarantine._evidence import (
    EngineLoss,
    LossLog,
    is_request_key,
    request_key,
)
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
from gentianhoist.quarantine._service import RequestQuarantine, refusal_error
from gentianhoist.quarantine.core import KeyQuarantine

__all__ = [
    "Admitted",
    "ConnectionProbe",
    "EngineLoss",
    "LossLog",
    "NullQuarantinePublisher",
    "RequestQuarantine",
    "QuarantinePolicy",
    "QuarantinePublisher",
    "QuarantineRecord",
    "QuarantineRows",
    "QuarantineState",
    "Refused",
    "KeyQuarantine",
    "ServerProbe",
    "TrialDue",
    "TrialResult",
    "decode_record",
    "encode_record",
    "is_request_key",
    "refusal_error",
    "request_key",
]

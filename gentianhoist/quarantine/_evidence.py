"""Evidence of what crashes servers: their losses, and requests that were completed."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

__all__ = [
    "EngineLoss",
    "LossLog",
    "SuspectedLoss",
    "count_incidents",
    "is_request_key",
    "request_key",
]

# Begins the key of a request's content. Ids of segments don't contain a colon.
_REQUEST_PREFIX = "request:"

# Reports about one engine within this time are about the same loss. Entries notice it
# at about the same time, and a crashed engine takes longer than that to be back.
_SAME_LOSS_S = 0.5
# Losses closer together than this count once: a fault of a rack or an availability zone
# takes many engines at the same moment, whatever they were answering.
_SAME_INCIDENT_S = 0.1
# The same for one request. It is sent to the next server only after the loss of the one
# before, so two losses in a row are two incidents.
_SAME_REQUEST_INCIDENT_S = 0.01
_MAX_LOSSES = 256
_MAX_LOSS_AGE_S = 600.0
# Also bounds the datagram that reports a loss.
_MAX_SEGMENTS_PER_LOSS = 512
_MAX_SEGMENTS_PER_PROMPT = 64
_MAX_COMPLETED = 4096


def request_key(content_key: str) -> str:
    """Return the key of a request in the quarantine, by the digest of its content.

    Example:
        >>> is_request_key(request_key("3f4e"))
        True
    """
    return _REQUEST_PREFIX + content_key


def is_request_key(key: str) -> bool:
    """Whether a key stands for the content of a request, not for a segment."""
    return key.startswith(_REQUEST_PREFIX)


class EngineLoss(NamedTuple):
    """A server that crashed, and the requests that it had just begun to answer.

    Attributes:
        engine: Identifies the incarnation of the server.
        lost_s: Time of the loss on the entry's monotonic clock, in seconds.
        prompts: The keys of each of these requests: its shared segments, in order, if
            it is a prompt, and then the key of its content.
    """

    engine: str
    lost_s: float
    prompts: frozenset[tuple[str, ...]]

    def bounded(self) -> EngineLoss:
        """Return the loss with at most so many segments as are kept.

        Prompts of few segments come first, and of each prompt the last segments, which
        the fewest prompts share.
        """
        shortened = {prompt[-_MAX_SEGMENTS_PER_PROMPT:] for prompt in self.prompts}
        kept = []
        segments = 0
        for prompt in sorted(shortened, key=lambda prompt: (len(prompt), prompt)):
            segments += len(prompt)
            if segments > _MAX_SEGMENTS_PER_LOSS:
                break
            kept.append(prompt)
        return self._replace(prompts=frozenset(kept))


class SuspectedLoss(NamedTuple):
    """A loss, and what may have caused it.

    Attributes:
        lost_s: Time of the loss on the entry's monotonic clock, in seconds.
        suspects: Keys of its requests that nothing clears.
    """

    lost_s: float
    suspects: frozenset[str]


class LossLog:
    """Recent losses of servers, and the keys of requests that were completed.

    A completed request shows that none of its keys crashed servers when it was sent.
    All times are on one entry's monotonic clock, in seconds.

    Example:
        >>> log = LossLog()
        >>> log.add(EngineLoss("e1", 10.0, frozenset({("a", "b")})))
        >>> log.add(EngineLoss("e2", 11.0, frozenset({("a", "b"), ("a", "c")})))
        >>> log.incidents("b", held=frozenset())
        2
        >>> log.incidents("c", held=frozenset({"b"}))
        0
    """

    def __init__(self) -> None:
        self._losses: OrderedDict[tuple[str, float], EngineLoss] = OrderedDict()
        # Kept apart, as each request may have a content of its own.
        self._completed_segments: OrderedDict[str, float] = OrderedDict()
        self._completed_requests: OrderedDict[str, float] = OrderedDict()
        self._by_segment: dict[str, list[EngineLoss]] = {}

    def __len__(self) -> int:
        return len(self._losses)

    def add(self, loss: EngineLoss) -> None:
        """Add a loss, or the prompts of another report about the same loss."""
        self._drop_expired(loss.lost_s)
        key = self._find(loss) or (loss.engine, loss.lost_s)
        known = self._losses.get(key)
        prompts = loss.prompts if known is None else known.prompts | loss.prompts
        self._losses[key] = EngineLoss(key[0], key[1], prompts).bounded()
        while len(self._losses) > _MAX_LOSSES:
            self._losses.popitem(last=False)
        self._by_segment = self._index()

    def complete(self, segments: Iterable[str], sent_s: float) -> None:
        """Record that a prompt was answered to its end.

        Args:
            segments: Shared segments of the prompt.
            sent_s: Time when it was sent to the engine.
        """
        for segment in segments:
            completed = self._completed(segment)
            known_s = completed.get(segment, float("-inf"))
            completed[segment] = max(known_s, sent_s)
            completed.move_to_end(segment)
            if len(completed) > _MAX_COMPLETED:
                completed.popitem(last=False)

    def was_completed(self, segment: str) -> bool:
        """Whether a prompt with the segment is known to have been completed."""
        return segment in self._completed(segment)

    def unexplained(self, held: frozenset[str], min_losses: int) -> list[SuspectedLoss]:
        """Losses that no held segment explains, with the segments that may.

        Args:
            held: Segments whose prompts explain the loss of an engine.
            min_losses: Segments in fewer losses than that are left out.
        """
        frequent = {
            segment
            for segment, losses in self._by_segment.items()
            if len(losses) >= min_losses
        }
        suspected = []
        for loss in self._losses.values():
            segments = set().union(*loss.prompts)
            if segments.isdisjoint(held):
                suspects = frozenset(
                    segment
                    for segment in segments & frequent
                    if loss.lost_s > self._refuted_until_s(segment)
                )
                suspected.append(SuspectedLoss(loss.lost_s, suspects))
        return suspected

    def unrefuted_s(self, segment: str, held: frozenset[str]) -> list[float]:
        """Times of the losses that the segment may have caused, in order.

        Args:
            segment: Id of the segment.
            held: Segments whose prompts explain the loss of an engine.

        Returns:
            Times of the losses that no held segment explains, and that are later than
            every completed prompt with the segment was sent.
        """
        refuted_until_s = self._refuted_until_s(segment)
        return sorted(
            loss.lost_s
            for loss in self._by_segment.get(segment, ())
            if loss.lost_s > refuted_until_s
            and not any(held.intersection(prompt) for prompt in loss.prompts)
        )

    def incidents(self, segment: str, held: frozenset[str]) -> int:
        """Number of incidents that the segment may have caused.

        It counts the losses of `unrefuted_s`, those at the same moment once.
        """
        return count_incidents(self.unrefuted_s(segment, held), segment)

    def depth(self, segment: str) -> int:
        """Largest position of the segment in the prompts of the losses."""
        return max(
            (
                prompt.index(segment)
                for loss in self._by_segment.get(segment, ())
                for prompt in loss.prompts
                if segment in prompt
            ),
            default=0,
        )

    def _find(self, loss: EngineLoss) -> tuple[str, float] | None:
        for key in reversed(self._losses):
            if key[0] == loss.engine and abs(key[1] - loss.lost_s) < _SAME_LOSS_S:
                return key
        return None

    def _refuted_until_s(self, segment: str) -> float:
        return self._completed(segment).get(segment, float("-inf"))

    def _completed(self, key: str) -> OrderedDict[str, float]:
        if is_request_key(key):
            return self._completed_requests
        return self._completed_segments

    def _index(self) -> dict[str, list[EngineLoss]]:
        by_segment: dict[str, list[EngineLoss]] = {}
        for loss in self._losses.values():
            for segment in set().union(*loss.prompts):
                by_segment.setdefault(segment, []).append(loss)
        return by_segment

    def _drop_expired(self, now_s: float) -> None:
        for key in list(self._losses):
            if now_s - key[1] > _MAX_LOSS_AGE_S:
                del self._losses[key]


def count_incidents(times_s: list[float], key: str = "") -> int:
    """Number of incidents in which losses happened; those at the same moment are one.

    Args:
        times_s: Times of the losses.
        key: What the losses may be blamed on.

    Example:
        >>> count_incidents([7.0, 1.0, 1.05, 1.15])
        3
    """
    count = 0
    incident_s = float("-inf")
    same_s = _SAME_REQUEST_INCIDENT_S if is_request_key(key) else _SAME_INCIDENT_S
    for lost_s in sorted(times_s):
        if lost_s - incident_s >= same_s:
            count += 1
            incident_s = lost_s
    return count

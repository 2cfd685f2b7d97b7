"""What a caller wants generated, and the messages that ask sidecars for it."""

from __future__ import annotations

from typing import NamedTuple

from gentianhoist.clocks import Clock
from gentianhoist.configuration import ConfigurationReplica, Identity
from gentianhoist.routing import PrefixHash
from gentianhoist.wire import RunRequest


class CompletionJob(NamedTuple):
    """One generation that a caller wants.

    Attributes:
        request_id: The request.
        model: Name of the model.
        organisation: Who asks.
        prompt: The prompt.
        prompt_tokens: Its tokens.
        prefix_hashes: Its prefixes.
        max_tokens: Tokens of the answer at the most.
        deadline_s: When it must be done, on the entry's clock.
        priority: 0 for usual work, 1 for work that can wait.
        sampling: Sampling parameters, as JSON.
    """

    request_id: str
    model: str
    organisation: str
    prompt: str
    prompt_tokens: int
    prefix_hashes: tuple[PrefixHash, ...]
    max_tokens: int
    deadline_s: float
    priority: int = 0
    sampling: str = "{}"


class ReservationUse(NamedTuple):
    """How a part of a job uses reserved memory.

    Attributes:
        reservation_id: Name of the reservation.
        is_prefill_only: Whether the engine only keeps the prompt's memory.
        imported_object: Object with that memory, empty for none.
    """

    reservation_id: str = ""
    is_prefill_only: bool = False
    imported_object: str = ""


_UNRESERVED = ReservationUse()


class RunRequestBuilder:
    """Makes the messages that ask sidecars to run a job.

    Args:
        identity: Who this process is.
        configuration: This process's copy of the configuration.
        clock: This machine's clocks.
    """

    def __init__(
        self, identity: Identity, configuration: ConfigurationReplica, clock: Clock
    ) -> None:
        self._identity = identity
        self._configuration = configuration
        self._clock = clock

    def build(
        self,
        job: CompletionJob,
        attempt: int,
        generated: str,
        offset: int,
        *,
        resume: bool = False,
        reservation: ReservationUse = _UNRESERVED,
    ) -> RunRequest:
        """Make one message.

        Args:
            job: The job, or a part of one.
            attempt: Number of the attempt.
            generated: The answer so far.
            offset: First token wanted.
            resume: Whether the attempt already runs there.
            reservation: How it uses reserved memory.

        Returns:
            The message.
        """
        configuration = self._configuration.current
        weights = configuration.weights if configuration else {}
        return RunRequest(
            stamp=self._identity.stamp(),
            request_id=job.request_id,
            attempt=attempt,
            offset=offset,
            resume=resume,
            model=job.model,
            organisation=job.organisation,
            weight=weights.get(job.organisation, 1.0),
            # The sidecar of a running attempt has these already.
            prompt="" if resume else job.prompt,
            generated="" if resume else generated,
            prompt_tokens=job.prompt_tokens,
            prefix_marks=tuple(
                (mark.digest, mark.tokens) for mark in job.prefix_hashes
            ),
            max_tokens=job.max_tokens,
            priority=job.priority,
            sampling=job.sampling,
            deadline_left_s=job.deadline_s - self._clock.elapsed_s(),
            hold=reservation.reservation_id,
            keep=reservation.is_prefill_only,
            imported_object=reservation.imported_object,
        )

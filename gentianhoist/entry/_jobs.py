"""Generation jobs, and the messages that request them from sidecars."""

from __future__ import annotations

from typing import NamedTuple

from gentianhoist.clocks import Clock
from gentianhoist.configuration import ConfigurationReplica, Identity
from gentianhoist.routing import PrefixHash
from gentianhoist.wire import RunRequest


class CompletionJob(NamedTuple):
    """One generation that a caller requests.

    Attributes:
        request_id: Id of the request.
        model: Name of the model.
        organisation: Name of the caller's organisation.
        prompt: Text of the prompt.
        prompt_tokens: Number of tokens of the prompt.
        prefix_hashes: Hashes of the prompt's prefixes, for the lookup in prefix caches.
        max_tokens: Maximum number of output tokens.
        deadline_s: Deadline on the entry's monotonic clock, in seconds.
        priority: 0 for normal requests, 1 for requests that can be deferred.
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
    """How a part of a job uses reserved KV cache.

    Attributes:
        reservation_id: Id of the reservation, empty for none.
        is_prefill_only: Whether the engine only computes the prompt's KV cache, keeps
            it under the reservation, and generates nothing.
        imported_object: Object with the prompt's exported KV cache, empty for none.
    """

    reservation_id: str = ""
    is_prefill_only: bool = False
    imported_object: str = ""


_UNRESERVED = ReservationUse()


class RunRequestBuilder:
    """Builds the messages that request sidecars to run a job.

    Args:
        identity: Name and stamps of this process.
        replica: This process's copy of the configuration, for the weights of
            organisations.
        clock: Clocks of this machine.
    """

    def __init__(
        self, identity: Identity, replica: ConfigurationReplica, clock: Clock
    ) -> None:
        self._identity = identity
        self._replica = replica
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
        """Build the message for one attempt.

        Args:
            job: The job, or a part of one.
            attempt: Number of the attempt, from 1.
            generated: Output text of earlier attempts.
            offset: Index of the first output token to send.
            resume: Whether the sidecar already runs this attempt.
            reservation: How the attempt uses reserved KV cache.

        Returns:
            The message.
        """
        configuration = self._replica.current
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
            # A sidecar that already runs the attempt has both texts.
            prompt="" if resume else job.prompt,
            generated_text="" if resume else generated,
            prompt_tokens=job.prompt_tokens,
            prefix_hashes=tuple(
                (prefix.digest, prefix.tokens) for prefix in job.prefix_hashes
            ),
            max_tokens=job.max_tokens,
            priority=job.priority,
            sampling=job.sampling,
            deadline_left_s=job.deadline_s - self._clock.monotonic_s(),
            reservation_id=reservation.reservation_id,
            prefill_only=reservation.is_prefill_only,
            imported_object=reservation.imported_object,
        )

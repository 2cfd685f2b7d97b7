"""Open-loop load: requests are sent when they are due, however slow the answers are.

Times are counted from when a request was due, so that a stall is not hidden by the
requests that it kept from being sent.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

_MICROSECONDS_PER_S = 1_000_000
_HIGHEST_US = 600 * _MICROSECONDS_PER_S
_DIGITS = 3
_WORD = "ice log entry "


class ScheduledRequest(NamedTuple):
    """One request of a schedule.

    Attributes:
        due_s: When it is due, from the start of the schedule.
        prompt_tokens: Tokens of its prompt.
        output_tokens: Tokens of its answer.
        label: Class that its figures are counted under.
    """

    due_s: float
    prompt_tokens: int
    output_tokens: int
    label: str


@dataclass
class RequestResult:
    """What came of one request.

    Attributes:
        request: The request.
        status: HTTP status, 0 if the connection broke.
        error_code: Kind of the error, or empty.
        ttft_s: Seconds from when it was due to the first token.
        latency_s: Seconds from when it was due to the end.
        inter_token_s: Seconds between one part of the answer and the next.
        text: The answer.
        is_complete: Whether the end mark came.
    """

    request: ScheduledRequest
    status: int = 0
    error_code: str = ""
    ttft_s: float = 0.0
    latency_s: float = 0.0
    inter_token_s: list[float] = field(default_factory=list)
    text: str = ""
    is_complete: bool = False


def make_prompt_text(tokens: int, serial: int) -> str:
    """A prompt of so many tokens that shares no prefix with another."""
    head = f"{serial:08d} "
    return (head + _WORD * (tokens * 4 // len(_WORD) + 1))[: tokens * 4]


def poisson_schedule(
    rng: random.Random,
    rate_per_s: float,
    duration_s: float,
    make: Callable[[float], ScheduledRequest],
) -> list[ScheduledRequest]:
    """A Poisson schedule."""
    schedule = []
    due_s = rng.expovariate(rate_per_s)
    while due_s < duration_s:
        schedule.append(make(due_s))
        due_s += rng.expovariate(rate_per_s)
    return schedule


def sample_log_uniform(rng: random.Random, low: int, high: int) -> int:
    """A length between two, on a logarithmic scale."""
    return int(low * (high / low) ** rng.random())


class LoadGenerator:
    """Sends schedules to entries in turn.

    Args:
        urls: Base URLs.
        headers: Headers of each request.
        deadline_s: Deadline that each request names, 0 for none.
    """

    def __init__(
        self, urls: list[str], headers: dict[str, str], deadline_s: float = 0.0
    ) -> None:
        self._urls = urls
        self._headers = dict(headers)
        if deadline_s:
            self._headers["X-Deadline-S"] = str(deadline_s)
        self._serial = 0

    async def run(self, schedule: Iterable[ScheduledRequest]) -> list[RequestResult]:
        """Run a schedule, and wait for all of its answers."""
        begun_s = time.monotonic()
        tasks = []
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            for prompt in sorted(schedule):
                wait_s = begun_s + prompt.due_s - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                self._serial += 1
                tasks.append(
                    asyncio.create_task(
                        self._send(session, prompt, begun_s, self._serial)
                    )
                )
            return list(await asyncio.gather(*tasks))

    async def _send(
        self,
        session: aiohttp.ClientSession,
        prompt: ScheduledRequest,
        begun_s: float,
        serial: int,
    ) -> RequestResult:
        answer = RequestResult(prompt)
        due_s = begun_s + prompt.due_s
        body = {
            "model": "planner",
            "prompt": make_prompt_text(prompt.prompt_tokens, serial),
            "max_tokens": prompt.output_tokens,
            "stream": True,
        }
        url = f"{self._urls[serial % len(self._urls)]}/v1/completions"
        try:
            async with session.post(url, json=body, headers=self._headers) as response:
                answer.status = response.status
                if response.status != 200:
                    answer.error_code = (await response.json())["error"]["code"]
                else:
                    await self._read(response, answer, due_s)
        except aiohttp.ClientError:
            answer.status = 0
        answer.latency_s = time.monotonic() - due_s
        return answer

    async def _read(
        self, response: aiohttp.ClientResponse, answer: RequestResult, due_s: float
    ) -> None:
        before_s = 0.0
        async for line in response.content:
            if not line.startswith(b"data: "):
                continue
            if line.startswith(b"data: [DONE]"):
                answer.is_complete = True
                continue
            event = msgspec.json.decode(line[6:])
            if "error" in event:
                answer.error_code = event["error"]["code"]
                return
            text = event["choices"][0]["text"]
            if not text:
                continue
            now_s = time.monotonic()
            if not answer.text:
                answer.ttft_s = now_s - due_s
            else:
                answer.inter_token_s.append((now_s - before_s) / text.count(" "))
            before_s = now_s
            answer.text += text


def percentile_s(values_s: Iterable[float], percentile: float) -> float:
    """A percentile of durations, by an HDR histogram."""
    histogram = HdrHistogram(1, _HIGHEST_US, _DIGITS)
    for value_s in values_s:
        histogram.record_value(max(1, int(value_s * _MICROSECONDS_PER_S)))
    return histogram.get_value_at_percentile(percentile) / _MICROSECONDS_PER_S

"""Open-loop load generator: sends requests on schedule, independent of responses.

Latencies count from the scheduled time of a request instead of its actual sending, so
that a stall also shows in the requests that it delays (no coordinated omission).
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
_MAX_DURATION_US = 600 * _MICROSECONDS_PER_S
_SIGNIFICANT_DIGITS = 3
_FILLER_TEXT = "ice log entry "


class ScheduledRequest(NamedTuple):
    """Completion request of a schedule.

    Attributes:
        due_s: Seconds from the start of the schedule until it is sent.
        prompt_tokens: Number of prompt tokens.
        output_tokens: Number of output tokens to request.
        label: Class of requests that its measurements count for.
    """

    due_s: float
    prompt_tokens: int
    output_tokens: int
    label: str


@dataclass
class RequestResult:
    """Result of one request.

    Attributes:
        request: The request.
        status: HTTP status, 0 if the connection failed.
        error_code: Error code in the response, empty if there is none.
        ttft_s: Time to first token, in seconds from the scheduled time.
        latency_s: Seconds from the scheduled time to the end of the response.
        inter_token_s: Inter-token latency at each event after the first, in seconds:
            the time since the previous event, divided by the tokens in the event.
        text: Generated text.
        is_complete: Whether the stream ended with its end marker.
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
    """Make a prompt whose prefix differs from that of every other serial number.

    Args:
        tokens: Number of tokens; a prompt token is four characters.
        serial: Number that starts the prompt, so that no prefix cache entry matches.

    Returns:
        The prompt.
    """
    unique_prefix = f"{serial:08d} "
    return (unique_prefix + _FILLER_TEXT * (tokens * 4 // len(_FILLER_TEXT) + 1))[
        : tokens * 4
    ]


def poisson_schedule(
    rng: random.Random,
    rate_per_s: float,
    duration_s: float,
    make_request: Callable[[float], ScheduledRequest],
) -> list[ScheduledRequest]:
    """Make a schedule with Poisson arrivals.

    Args:
        rng: Random number generator.
        rate_per_s: Mean arrivals per second.
        duration_s: Length of the schedule, in seconds.
        make_request: Makes the request for a due time, in seconds from the start.

    Returns:
        Requests in the order of their due times.
    """
    schedule = []
    due_s = rng.expovariate(rate_per_s)
    while due_s < duration_s:
        schedule.append(make_request(due_s))
        due_s += rng.expovariate(rate_per_s)
    return schedule


def sample_log_uniform(rng: random.Random, low: int, high: int) -> int:
    """Sample an integer between two bounds, uniformly on a logarithmic scale."""
    return int(low * (high / low) ** rng.random())


class LoadGenerator:
    """Sends scheduled requests to entries in rotation.

    Args:
        urls: Base URLs of the entries.
        headers: HTTP headers of each request.
        deadline_s: Deadline sent with each request, in seconds; 0 for none.
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
        """Send the requests of a schedule and wait for all responses.

        Args:
            schedule: Requests in any order.

        Returns:
            Results in the order of sending.
        """
        start_s = time.monotonic()
        tasks = []
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            for request in sorted(schedule):
                wait_s = start_s + request.due_s - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                self._serial += 1
                tasks.append(
                    asyncio.create_task(
                        self._send(session, request, start_s, self._serial)
                    )
                )
            return list(await asyncio.gather(*tasks))

    async def _send(
        self,
        session: aiohttp.ClientSession,
        request: ScheduledRequest,
        start_s: float,
        serial: int,
    ) -> RequestResult:
        result = RequestResult(request)
        due_s = start_s + request.due_s
        body = {
            "model": "planner",
            "prompt": make_prompt_text(request.prompt_tokens, serial),
            "max_tokens": request.output_tokens,
            "stream": True,
        }
        url = f"{self._urls[serial % len(self._urls)]}/v1/completions"
        try:
            async with session.post(url, json=body, headers=self._headers) as response:
                result.status = response.status
                if response.status != 200:
                    result.error_code = (await response.json())["error"]["code"]
                else:
                    await self._read_stream(response, result, due_s)
        except aiohttp.ClientError:
            result.status = 0
        result.latency_s = time.monotonic() - due_s
        return result

    async def _read_stream(
        self, response: aiohttp.ClientResponse, result: RequestResult, due_s: float
    ) -> None:
        previous_s = 0.0
        async for line in response.content:
            if not line.startswith(b"data: "):
                continue
            if line.startswith(b"data: [DONE]"):
                result.is_complete = True
                continue
            event = msgspec.json.decode(line[6:])
            if "error" in event:
                result.error_code = event["error"]["code"]
                return
            text = event["choices"][0]["text"]
            if not text:
                continue
            now_s = time.monotonic()
            if not result.text:
                result.ttft_s = now_s - due_s
            else:
                # The engine stand-in starts the text of each token with its only space.
                result.inter_token_s.append((now_s - previous_s) / text.count(" "))
            previous_s = now_s
            result.text += text


def percentile_s(values_s: Iterable[float], percentile: float) -> float:
    """Percentile of durations, from an HDR histogram.

    Args:
        values_s: Durations in seconds.
        percentile: Percentile, from 0 to 100.

    Returns:
        The percentile in seconds.
    """
    histogram = HdrHistogram(1, _MAX_DURATION_US, _SIGNIFICANT_DIGITS)
    for value_s in values_s:
        histogram.record_value(max(1, int(value_s * _MICROSECONDS_PER_S)))
    return histogram.get_value_at_percentile(percentile) / _MICROSECONDS_PER_S

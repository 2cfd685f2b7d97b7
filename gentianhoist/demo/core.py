"""The checks that ``gentianhoist demo`` runs on an `EmbeddedFleet`."""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple

import aiohttp
import msgspec

from gentianhoist.calls import new_idempotency_key
from gentianhoist.demo._fleet import EmbeddedFleet, FleetPlan
from gentianhoist.standins import EngineProfile, expected_texts

__all__ = ["run_demo"]

_SENTENCE = "Plan the flooding of sheet two at -14 degrees. "
_SHORT_SENTENCE_COUNT = 80
_LONG_SENTENCE_COUNT = 30_000
_GANG_PROMPT_TOKENS = 1_000_000
_SHORT_REQUEST_COUNT = 24
_OUTPUT_TOKENS = 24
_MAX_RELEASE_POLLS = 40
_RELEASE_POLL_S = 0.05


# Fast engines, to shorten the prefill of the longest prompt from a minute to seconds.
_FAST_PROFILE = EngineProfile(chunk_tokens=2_048, prefill_tokens_per_s=120_000.0)


class _CheckResult(NamedTuple):
    name: str
    ok: bool
    detail: str


class _Client:
    def __init__(self, session: aiohttp.ClientSession, fleet: EmbeddedFleet) -> None:
        self._session = session
        self._fleet = fleet

    async def complete(self, prompt: str, entry: int = 0) -> tuple[str, float]:
        """Request a streamed completion.

        Returns:
            The whole text, and the time to first token in seconds.
        """
        start_s = time.monotonic()
        ttft_s = 0.0
        body = {
            "model": "planner",
            "prompt": prompt,
            "max_tokens": _OUTPUT_TOKENS,
            "stream": True,
        }
        text = ""
        url = f"{self._fleet.entry_url(entry)}/v1/completions"
        async with self._session.post(
            url, json=body, headers=self._authorization()
        ) as response:
            response.raise_for_status()
            async for line in response.content:
                if line.startswith(b"data: {"):
                    ttft_s = ttft_s or time.monotonic() - start_s
                    text += _event_text(line)
        return text, ttft_s

    async def call(
        self, operation: str, key: str, entry: int = 0
    ) -> tuple[int, dict[str, Any]]:
        """Call an operation of the plain service.

        Args:
            operation: Name of the operation.
            key: Idempotency key.
            entry: Index of the entry that gets the call.

        Returns:
            HTTP status and JSON body of the response.
        """
        url = f"{self._fleet.entry_url(entry)}/v1/services/valve-control/{operation}"
        headers = {**self._authorization(), "Idempotency-Key": key}
        async with self._session.post(url, data=b"{}", headers=headers) as response:
            return response.status, await response.json()

    async def change(self, change: dict[str, Any], entry: int = 0) -> dict[str, Any]:
        """Send a change of the configuration as the operator.

        Returns:
            The JSON body of the response.
        """
        url = f"{self._fleet.entry_url(entry)}/operators/v1/changes"
        headers = {"Authorization": f"Bearer {self._fleet.operator_api_key}"}
        async with self._session.post(
            url, json={"changes": [change]}, headers=headers
        ) as response:
            return await response.json()

    def _authorization(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._fleet.organisation_api_key}"}


def _event_text(line: bytes) -> str:
    return msgspec.json.decode(line.removeprefix(b"data: "))["choices"][0]["text"]


async def run_demo() -> bool:
    """Run all checks on an embedded fleet and print a summary.

    Returns:
        Whether all checks passed.
    """
    fleet = EmbeddedFleet(FleetPlan(profile=_FAST_PROFILE))
    print(
        "gentianhoist demo: 2 availability zones, 2 entries, 6 sidecars, and stand-ins"
    )
    print("for 4 engines, 2 services and the platform, on the loopback address\n")
    await fleet.start()
    try:
        async with aiohttp.ClientSession() as session:
            client = _Client(session, fleet)
            results = [
                await _check_streamed_response(client),
                await _check_short_beside_long(client),
                await _check_gang(client, fleet),
                await _check_idempotent_call(client, fleet),
                await _check_zone_switch(client, fleet),
            ]
    finally:
        await fleet.close()
    for result in results:
        label = "ok  " if result.ok else "FAIL"
        print(f"  [{label}] {result.name}: {result.detail}")
    return all(result.ok for result in results)


def _short_prompt(number: int) -> str:
    return f"Crew {number}. " + _SENTENCE * _SHORT_SENTENCE_COUNT


async def _check_streamed_response(client: _Client) -> _CheckResult:
    prompt = _short_prompt(0)
    text, ttft_s = await client.complete(prompt)
    is_complete = text == "".join(expected_texts(prompt, _OUTPUT_TOKENS))
    return _CheckResult(
        "a streamed response is complete and correct",
        is_complete,
        f"{_OUTPUT_TOKENS} tokens, the first after {ttft_s * 1000:.0f} ms",
    )


async def _check_short_beside_long(client: _Client) -> _CheckResult:
    alone_s = await _measure_short_ttft(client, 100)
    long_prompt = "Season review. " + _SENTENCE * _LONG_SENTENCE_COUNT
    long_task = asyncio.create_task(client.complete(long_prompt))
    await asyncio.sleep(0.3)
    concurrent_s = await _measure_short_ttft(client, 200)
    text, _ = await long_task
    is_complete = text == "".join(expected_texts(long_prompt, _OUTPUT_TOKENS))
    tokens = len(long_prompt) // 4  # 4 characters count as one token
    return _CheckResult(
        f"short requests concurrent with a prompt of {tokens} tokens",
        is_complete,
        f"median time to first token {alone_s * 1000:.0f} ms alone,"
        f" {concurrent_s * 1000:.0f} ms concurrently; the long response is complete",
    )


async def _measure_short_ttft(client: _Client, first_number: int) -> float:
    ttfts_s = []
    for number in range(first_number, first_number + _SHORT_REQUEST_COUNT):
        _, ttft_s = await client.complete(_short_prompt(number), number % 2)
        ttfts_s.append(ttft_s)
    return sorted(ttfts_s)[len(ttfts_s) // 2]


async def _check_gang(client: _Client, fleet: EmbeddedFleet) -> _CheckResult:
    # A token is 4 characters, and `_SENTENCE` has 47.
    prompt = "All seasons. " + _SENTENCE * (4 * _GANG_PROMPT_TOKENS // 47)
    prompt = prompt[: 4 * _GANG_PROMPT_TOKENS]
    start_s = time.monotonic()
    text, _ = await client.complete(prompt)
    duration_s = time.monotonic() - start_s
    is_complete = text == "".join(expected_texts(prompt, _OUTPUT_TOKENS))
    remaining = await _count_remaining_streams(fleet)
    return _CheckResult(
        "a prompt of 1,000,000 tokens on engines with a KV cache for 400,000 each",
        is_complete and not remaining,
        f"complete response from a gang of three engines after {duration_s:.0f} s,"
        f" {remaining} streams remain in the engines",
    )


async def _count_remaining_streams(fleet: EmbeddedFleet) -> int:
    """Count the streams that remain in the engines, after up to 2 s to free them."""
    remaining = 0
    for _ in range(_MAX_RELEASE_POLLS):
        remaining = sum(len(engine.simulator.stream_ids) for engine in fleet.engines)
        if not remaining:
            break
        await asyncio.sleep(_RELEASE_POLL_S)
    return remaining


async def _check_idempotent_call(client: _Client, fleet: EmbeddedFleet) -> _CheckResult:
    key = new_idempotency_key()
    responses = await asyncio.gather(
        *(client.call("flood", key, entry % 2) for entry in range(6))
    )
    executions = sum(service.executions[key] for service in fleet.services)
    statuses = sorted({status for status, _ in responses})
    return _CheckResult(
        "a valve command sent six times under one idempotency key",
        executions == 1 and statuses == [200],
        f"executed {executions} time, responses with status {statuses}",
    )


async def _check_zone_switch(client: _Client, fleet: EmbeddedFleet) -> _CheckResult:
    zone = fleet.zones[1]
    await client.change({"type": "set_zone", "availability_zone": zone, "out": True})
    start_s = time.monotonic()
    while any(
        link.member.availability_zone == zone
        for entry in fleet.entries
        for link in entry.directory.find_usable("engines")
    ):
        await asyncio.sleep(0.01)
    duration_s = time.monotonic() - start_s
    text, _ = await client.complete(_short_prompt(300), 1)
    change_back = {"type": "set_zone", "availability_zone": zone, "out": False}
    response = await client.change(change_back, 1)
    return _CheckResult(
        f"{zone} taken out of service and brought back",
        bool(text) and response["configuration"]["version"] == 3,
        f"no new work after {duration_s:.2f} s, requests served meanwhile",
    )

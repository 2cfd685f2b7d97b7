"""What ``gentianhoist demo`` shows."""

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

_SHORT_PROMPT = "Plan the flooding of sheet two at -14 degrees. "
_SHORT_REPEATS = 80
_LONG_REPEATS = 30_000
_MILLION_TOKENS = 1_000_000
_SHORTS = 24
_TOKENS = 24
_FREE_POLLS = 40
_FREE_POLL_S = 0.05


# Fast engines, so that the longest prompt takes seconds and not a minute.
_FAST = EngineProfile(chunk_tokens=2_048, prefill_tokens_per_s=120_000.0)


class _Finding(NamedTuple):
    name: str
    ok: bool
    detail: str


class _Caller:
    def __init__(self, session: aiohttp.ClientSession, fleet: EmbeddedFleet) -> None:
        self._session = session
        self._fleet = fleet

    async def complete(self, prompt: str, entry: int = 0) -> tuple[str, float]:
        """The whole streamed answer and the seconds to its first token."""
        begun_s = time.monotonic()
        first_s = 0.0
        body = {
            "model": "planner",
            "prompt": prompt,
            "max_tokens": _TOKENS,
            "stream": True,
        }
        text = ""
        url = f"{self._fleet.entry_url(entry)}/v1/completions"
        async with self._session.post(url, json=body, headers=self._key()) as response:
            response.raise_for_status()
            async for line in response.content:
                if line.startswith(b"data: {"):
                    first_s = first_s or time.monotonic() - begun_s
                    text += _text(line)
        return text, first_s

    async def call(
        self, operation: str, key: str, entry: int = 0
    ) -> tuple[int, dict[str, Any]]:
        """A call of the plain service: status and body."""
        url = f"{self._fleet.entry_url(entry)}/v1/services/valve-control/{operation}"
        headers = {**self._key(), "Idempotency-Key": key}
        async with self._session.post(url, data=b"{}", headers=headers) as response:
            return response.status, await response.json()

    async def change(self, change: dict[str, Any], entry: int = 0) -> dict[str, Any]:
        """An operator's change."""
        url = f"{self._fleet.entry_url(entry)}/operators/v1/changes"
        headers = {"Authorization": f"Bearer {self._fleet.operator_api_key}"}
        async with self._session.post(
            url, json={"changes": [change]}, headers=headers
        ) as response:
            return await response.json()

    def _key(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._fleet.organisation_api_key}"}


def _text(line: bytes) -> str:
    return msgspec.json.decode(line.removeprefix(b"data: "))["choices"][0]["text"]


async def run_demo() -> bool:
    """Run the whole path and print a summary.

    Returns:
        Whether everything was as it should be.
    """
    fleet = EmbeddedFleet(FleetPlan(profile=_FAST))
    print("gentianhoist demo: 2 availability zones, 2 entries, 4 model engines,")
    print("2 plain services and the platform, all stand-ins, on loopback HTTP\n")
    await fleet.start()
    try:
        async with aiohttp.ClientSession() as session:
            caller = _Caller(session, fleet)
            findings = [
                await _show_answer(caller),
                await _show_short_beside_long(caller),
                await _show_gang(caller, fleet),
                await _show_call(caller, fleet),
                await _show_zone(caller, fleet),
            ]
    finally:
        await fleet.close()
    for finding in findings:
        mark = "ok  " if finding.ok else "FAIL"
        print(f"  [{mark}] {finding.name}: {finding.detail}")
    return all(finding.ok for finding in findings)


def _short_prompt(number: int) -> str:
    return f"Crew {number}. " + _SHORT_PROMPT * _SHORT_REPEATS


async def _show_answer(caller: _Caller) -> _Finding:
    prompt = _short_prompt(0)
    text, first_s = await caller.complete(prompt)
    whole = text == "".join(expected_texts(prompt, _TOKENS))
    return _Finding(
        "a streamed answer comes back whole",
        whole,
        f"{_TOKENS} tokens, the first after {first_s * 1000:.0f} ms",
    )


async def _show_short_beside_long(caller: _Caller) -> _Finding:
    alone = await _shorts(caller, 100)
    long_prompt = "Season review. " + _SHORT_PROMPT * _LONG_REPEATS
    long_task = asyncio.create_task(caller.complete(long_prompt))
    await asyncio.sleep(0.3)
    beside = await _shorts(caller, 200)
    text, _ = await long_task
    whole = text == "".join(expected_texts(long_prompt, _TOKENS))
    tokens = len(long_prompt) // 4
    return _Finding(
        f"short requests beside a prompt of {tokens} tokens",
        whole,
        f"median first token {alone * 1000:.0f} ms alone, {beside * 1000:.0f} ms"
        f" beside it; the long one is finished too",
    )


async def _shorts(caller: _Caller, first: int) -> float:
    times = []
    for number in range(first, first + _SHORTS):
        _, first_s = await caller.complete(_short_prompt(number), number % 2)
        times.append(first_s)
    return sorted(times)[len(times) // 2]


async def _show_gang(caller: _Caller, fleet: EmbeddedFleet) -> _Finding:
    prompt = "All seasons. " + _SHORT_PROMPT * (4 * _MILLION_TOKENS // 47)
    prompt = prompt[: 4 * _MILLION_TOKENS]
    begun_s = time.monotonic()
    text, _ = await caller.complete(prompt)
    took_s = time.monotonic() - begun_s
    whole = text == "".join(expected_texts(prompt, _TOKENS))
    left = await _streams_left(fleet)
    return _Finding(
        "a prompt of 1,000,000 tokens on engines that hold 400,000 each",
        whole and not left,
        f"whole answer from a gang of three after {took_s:.0f} s,"
        f" {left} streams left in the engines",
    )


async def _streams_left(fleet: EmbeddedFleet) -> int:
    """Streams that the engines still hold when they have had a moment to free them."""
    left = 0
    for _ in range(_FREE_POLLS):
        left = sum(len(engine.model.stream_ids) for engine in fleet.engines)
        if not left:
            break
        await asyncio.sleep(_FREE_POLL_S)
    return left


async def _show_call(caller: _Caller, fleet: EmbeddedFleet) -> _Finding:
    key = new_idempotency_key()
    answers = await asyncio.gather(
        *(caller.call("flood", key, entry % 2) for entry in range(6))
    )
    runs = sum(service.executions[key] for service in fleet.services)
    statuses = sorted({status for status, _ in answers})
    return _Finding(
        "a valve command sent six times under one key",
        runs == 1 and statuses == [200],
        f"ran {runs} time, answers {statuses}",
    )


async def _show_zone(caller: _Caller, fleet: EmbeddedFleet) -> _Finding:
    zone = fleet.zones[1]
    await caller.change({"type": "set_zone", "availability_zone": zone, "out": True})
    begun_s = time.monotonic()
    while any(
        link.member.availability_zone == zone
        for entry in fleet.entries
        for link in entry.directory.usable("engines")
    ):
        await asyncio.sleep(0.01)
    took_s = time.monotonic() - begun_s
    text, _ = await caller.complete(_short_prompt(300), 1)
    back = {"type": "set_zone", "availability_zone": zone, "out": False}
    answer = await caller.change(back, 1)
    return _Finding(
        f"{zone} taken out and brought back",
        bool(text) and answer["configuration"]["version"] == 3,
        f"no new work after {took_s:.2f} s, requests served meanwhile",
    )

"""Tests of the simulated model engine.

Other tests rely on it to show the overload behaviour of a real engine: a cold engine
crashes under load, the KV cache is limited, and a cached prefix shortens the prefill.
"""

import pytest

from gentianhoist.standins import EngineProfile, EngineSimulator, StreamSpec
from gentianhoist.standins._engine_simulator import EngineCrashed, PromptTooLarge

_PROFILE = EngineProfile(kv_capacity_tokens=1_000, max_streams=4, warmup_tokens=500)


def _spec(
    stream_id: str, prompt_tokens: int = 100, output_tokens: int = 5, **options
) -> StreamSpec:
    return StreamSpec(stream_id, 7, prompt_tokens, 0, output_tokens, **options)


def _run_to_completion(simulator: EngineSimulator) -> list[str]:
    finished = []
    while simulator.has_work:
        finished += simulator.step().finished
    return finished


def test_cold_engine_crashes_above_its_load_limit():
    simulator = EngineSimulator(_PROFILE)
    for index in range(3):
        simulator.submit(_spec(f"s{index}"))
    with pytest.raises(EngineCrashed):
        simulator.submit(_spec("s3"))


def test_warm_engine_queues_excess_streams():
    simulator = EngineSimulator(_PROFILE, warm=True)
    for index in range(20):
        simulator.submit(_spec(f"s{index}"))
    assert len(_run_to_completion(simulator)) == 20
    assert simulator.reserved_tokens == 0


def test_lower_priority_value_is_scheduled_first():
    simulator = EngineSimulator(_PROFILE._replace(chunk_tokens=50), warm=True)
    simulator.submit(_spec("late", prompt_tokens=400, priority=2))
    simulator.submit(_spec("soon", prompt_tokens=400, priority=0))
    assert _run_to_completion(simulator) == ["soon", "late"]


def test_kv_capacity_is_limited_and_prefix_cache_is_evicted():
    simulator = EngineSimulator(_PROFILE, warm=True)
    with pytest.raises(PromptTooLarge):
        simulator.submit(_spec("huge", prompt_tokens=1_000))
    prefix_hashes = ((11, 400), (12, 800))
    simulator.submit(_spec("first", prompt_tokens=800, prefix_hashes=prefix_hashes))
    _run_to_completion(simulator)
    assert simulator.kv_free_tokens == 200
    simulator.submit(_spec("second", prompt_tokens=600))
    _run_to_completion(simulator)
    assert [event.added for event in simulator.cache_events][:3] == [True, True, False]


def test_cached_prefix_shortens_the_prefill():
    simulator = EngineSimulator(_PROFILE._replace(chunk_tokens=10_000), warm=True)
    prefix_hashes = ((11, 400),)
    simulator.submit(_spec("first", prompt_tokens=450, prefix_hashes=prefix_hashes))
    uncached_s = simulator.step().duration_s
    _run_to_completion(simulator)
    simulator.submit(_spec("second", prompt_tokens=450, prefix_hashes=prefix_hashes))
    assert simulator.step().duration_s < uncached_s


def test_prefill_only_stream_keeps_kv_cache_until_cancelled():
    simulator = EngineSimulator(_PROFILE, warm=True)
    simulator.submit(_spec("part", output_tokens=0, prefill_only=True))
    assert _run_to_completion(simulator) == ["part"]
    assert simulator.reserved_tokens == 100
    assert simulator.cancel("part")
    assert simulator.reserved_tokens == 0

"""Tests of the simulated model engine.

Other tests rely on it to show the overload behaviour of a real engine: a cold engine
crashes under load, the KV cache is limited, and a cached prefix shortens the prefill.
"""

import pytest

from gentianhoist.standins import EngineModel, EngineProfile, StreamSpec
from gentianhoist.standins._engine_simulator import EngineCrashed, PromptTooLarge

_PROFILE = EngineProfile(kv_capacity_tokens=1_000, max_streams=4, warmup_tokens=500)


def _spec(
    stream_id: str, prompt_tokens: int = 100, output_tokens: int = 5, **options
) -> StreamSpec:
    return StreamSpec(stream_id, 7, prompt_tokens, 0, output_tokens, **options)


def _run_to_completion(model: EngineModel) -> list[str]:
    finished = []
    while model.has_work:
        finished += model.step().finished
    return finished


def test_cold_engine_crashes_above_its_load_limit():
    model = EngineModel(_PROFILE)
    for index in range(3):
        model.submit(_spec(f"s{index}"))
    with pytest.raises(EngineCrashed):
        model.submit(_spec("s3"))


def test_warm_engine_queues_excess_streams():
    model = EngineModel(_PROFILE, warm=True)
    for index in range(20):
        model.submit(_spec(f"s{index}"))
    assert len(_run_to_completion(model)) == 20
    assert model.reserved_tokens == 0


def test_lower_priority_value_is_scheduled_first():
    model = EngineModel(_PROFILE._replace(chunk_tokens=50), warm=True)
    model.submit(_spec("late", prompt_tokens=400, priority=2))
    model.submit(_spec("soon", prompt_tokens=400, priority=0))
    assert _run_to_completion(model) == ["soon", "late"]


def test_kv_capacity_is_limited_and_prefix_cache_is_evicted():
    model = EngineModel(_PROFILE, warm=True)
    with pytest.raises(PromptTooLarge):
        model.submit(_spec("huge", prompt_tokens=1_000))
    prefix_hashes = ((11, 400), (12, 800))
    model.submit(_spec("first", prompt_tokens=800, prefix_hashes=prefix_hashes))
    _run_to_completion(model)
    assert model.kv_free_tokens == 200
    model.submit(_spec("second", prompt_tokens=600))
    _run_to_completion(model)
    assert [event.added for event in model.cache_events][:3] == [True, True, False]


def test_cached_prefix_shortens_the_prefill():
    model = EngineModel(_PROFILE._replace(chunk_tokens=10_000), warm=True)
    prefix_hashes = ((11, 400),)
    model.submit(_spec("first", prompt_tokens=450, prefix_hashes=prefix_hashes))
    uncached_s = model.step().duration_s
    _run_to_completion(model)
    model.submit(_spec("second", prompt_tokens=450, prefix_hashes=prefix_hashes))
    assert model.step().duration_s < uncached_s


def test_prefill_only_stream_keeps_kv_cache_until_cancelled():
    model = EngineModel(_PROFILE, warm=True)
    model.submit(_spec("part", output_tokens=0, prefill_only=True))
    assert _run_to_completion(model) == ["part"]
    assert model.reserved_tokens == 100
    assert model.cancel("part")
    assert model.reserved_tokens == 0

"""The engine stand-in bears, refuses and loses what a real one would."""

import pytest

from gentianhoist.standins import EngineModel, EngineProfile, StreamSpec
from gentianhoist.standins._engine_model import EngineCrashed, PromptTooLarge

_PROFILE = EngineProfile(kv_capacity_tokens=1_000, max_streams=4, warmup_tokens=500)


def _spec(name: str, prompt: int = 100, answer: int = 5, **more) -> StreamSpec:
    return StreamSpec(name, 7, prompt, 0, answer, **more)


def _run(model: EngineModel) -> list[str]:
    order = []
    while model.has_work:
        order += model.step().finished
    return order


def test_cold_engine_falls_over_under_full_load():
    model = EngineModel(_PROFILE)
    for number in range(3):
        model.submit(_spec(f"s{number}"))
    with pytest.raises(EngineCrashed):
        model.submit(_spec("s3"))


def test_warm_engine_queues():
    model = EngineModel(_PROFILE, warm=True)
    for number in range(20):
        model.submit(_spec(f"s{number}"))
    assert len(_run(model)) == 20
    assert model.reserved_tokens == 0


def test_priority_goes_first():
    model = EngineModel(_PROFILE._replace(chunk_tokens=50), warm=True)
    model.submit(_spec("late", prompt=400, priority=2))
    model.submit(_spec("soon", prompt=400, priority=0))
    assert _run(model) == ["soon", "late"]


def test_memory_is_finite_and_cache_gives_way():
    model = EngineModel(_PROFILE, warm=True)
    with pytest.raises(PromptTooLarge):
        model.submit(_spec("huge", prompt=1_000))
    prefix_hashes = ((11, 400), (12, 800))
    model.submit(_spec("first", prompt=800, prefix_hashes=prefix_hashes))
    _run(model)
    assert model.kv_free_tokens == 200
    model.submit(_spec("second", prompt=600))
    _run(model)
    assert [event.added for event in model.cache_events][:3] == [True, True, False]


def test_cached_prefix_saves_its_prefill():
    model = EngineModel(_PROFILE._replace(chunk_tokens=10_000), warm=True)
    prefix_hashes = ((11, 400),)
    model.submit(_spec("first", prompt=450, prefix_hashes=prefix_hashes))
    slow_s = model.step().duration_s
    _run(model)
    model.submit(_spec("second", prompt=450, prefix_hashes=prefix_hashes))
    assert model.step().duration_s < slow_s


def test_hold_keeps_its_memory_until_freed():
    model = EngineModel(_PROFILE, warm=True)
    model.submit(_spec("part", answer=0, prefill_only=True))
    assert _run(model) == ["part"]
    assert model.reserved_tokens == 100
    assert model.cancel("part")
    assert model.reserved_tokens == 0

"""Measurements of the experiments, checked against the bounds of stated targets."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec

# Rounds over which a median is taken.
_MEDIAN_ROUNDS = 20
RESULTS_PATH = Path(__file__).parent / "results" / "latest.jsonl"


class Measurement(NamedTuple):
    """One measured value.

    Attributes:
        name: Name of the measured quantity.
        value: Measured value.
        unit: Unit of the value.
        bound: Comparison that the target demands, as text; empty without a target.
        met: Whether the value meets the bound; None without a target.
        seed: Seed given to the run, see `BenchmarkResults.seed`.
    """

    name: str
    value: float
    unit: str
    bound: str
    met: bool | None
    seed: int


class BenchmarkResults:
    """Collects the measurements of a run and prints each as a JSON line.

    Args:
        seed: Seed given to the run.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._measurements: list[Measurement] = []

    @property
    def seed(self) -> int:
        """Seed given to the run.

        Only the experiment `measure_placement` uses it.
        """
        return self._seed

    @property
    def measurements(self) -> list[Measurement]:
        """Measurements so far, in order."""
        return self._measurements

    def add_at_most(self, name: str, value: float, unit: str, bound: float) -> None:
        """Add a measurement with an upper bound.

        Args:
            name: Name of the measured quantity.
            value: Measured value.
            unit: Unit of the value and the bound.
            bound: Highest value that meets the target.
        """
        self._add(name, value, unit, f"<= {bound:g}", value <= bound)

    def add_at_least(self, name: str, value: float, unit: str, bound: float) -> None:
        """Add a measurement with a lower bound.

        Args:
            name: Name of the measured quantity.
            value: Measured value.
            unit: Unit of the value and the bound.
            bound: Lowest value that meets the target.
        """
        self._add(name, value, unit, f">= {bound:g}", value >= bound)

    def add(self, name: str, value: float, unit: str) -> None:
        """Add a measurement without a target.

        Args:
            name: Name of the measured quantity.
            value: Measured value.
            unit: Unit of the value.
        """
        self._add(name, value, unit, "", None)

    def _add(
        self, name: str, value: float, unit: str, bound: str, met: bool | None
    ) -> None:
        measurement = Measurement(name, round(value, 6), unit, bound, met, self._seed)
        self._measurements.append(measurement)
        print(msgspec.json.encode(measurement._asdict()).decode(), flush=True)

    def save(self) -> None:
        """Write to the results file, replacing older measurements of the same names."""
        names = {measurement.name for measurement in self._measurements}
        kept_lines = [
            line
            for line in _read_lines()
            if msgspec.json.decode(line)["name"] not in names
        ]
        new_lines = [
            msgspec.json.encode(measurement._asdict()).decode()
            for measurement in self._measurements
        ]
        RESULTS_PATH.parent.mkdir(exist_ok=True)
        RESULTS_PATH.write_text(
            "\n".join([*kept_lines, *new_lines]) + "\n", encoding="utf-8"
        )


def _read_lines() -> list[str]:
    if not RESULTS_PATH.exists():
        return []
    return RESULTS_PATH.read_text(encoding="utf-8").splitlines()


def measure_median_s(function: Callable[[], object]) -> float:
    """Median time of a function over several rounds, in seconds."""
    durations_s = []
    for _ in range(_MEDIAN_ROUNDS):
        start_s = time.perf_counter()
        function()
        durations_s.append(time.perf_counter() - start_s)
    return sorted(durations_s)[len(durations_s) // 2]

"""Figures: what an experiment found, against bounds that come from stated targets."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import msgspec

RESULTS_PATH = Path(__file__).parent / "results" / "latest.jsonl"


class Measurement(NamedTuple):
    """One measured value.

    Attributes:
        name: What was measured.
        value: The value.
        unit: Its unit.
        bound: What the target allows, or nothing where there is no target.
        met: Whether the bound holds, or nothing without one.
        seed: Seed of the run.
    """

    name: str
    value: float
    unit: str
    bound: str
    met: bool | None
    seed: int


class BenchmarkResults:
    """Collects the figures of a run, and prints each as a JSON line.

    Args:
        seed: Seed of the run.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._measurements: list[Measurement] = []

    @property
    def seed(self) -> int:
        """Seed of the run."""
        return self._seed

    @property
    def measurements(self) -> list[Measurement]:
        """What was found so far."""
        return self._measurements

    def add_at_most(self, name: str, value: float, unit: str, bound: float) -> None:
        """A figure that must not pass a bound."""
        self._add(name, value, unit, f"<= {bound:g}", value <= bound)

    def add_at_least(self, name: str, value: float, unit: str, bound: float) -> None:
        """A figure that must reach a bound."""
        self._add(name, value, unit, f">= {bound:g}", value >= bound)

    def add(self, name: str, value: float, unit: str) -> None:
        """A figure without a target."""
        self._add(name, value, unit, "", None)

    def _add(
        self, name: str, value: float, unit: str, bound: str, met: bool | None
    ) -> None:
        measurement = Measurement(name, round(value, 6), unit, bound, met, self._seed)
        self._measurements.append(measurement)
        print(msgspec.json.encode(measurement._asdict()).decode(), flush=True)

    def save(self) -> None:
        """Write the figures, in place of those of the same names."""
        names = {measurement.name for measurement in self._measurements}
        kept = [
            line for line in _lines() if msgspec.json.decode(line)["name"] not in names
        ]
        new = [
            msgspec.json.encode(measurement._asdict()).decode()
            for measurement in self._measurements
        ]
        RESULTS_PATH.parent.mkdir(exist_ok=True)
        RESULTS_PATH.write_text("\n".join([*kept, *new]) + "\n", encoding="utf-8")


def _lines() -> list[str]:
    if not RESULTS_PATH.exists():
        return []
    return RESULTS_PATH.read_text(encoding="utf-8").splitlines()

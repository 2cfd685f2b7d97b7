"""Plots of the experiments' results."""

from __future__ import annotations

import matplotlib as mpl
import msgspec

from benchmarks._results import RESULTS_PATH

mpl.use("Agg")

from matplotlib import pyplot

_SAMPLES_PATH = RESULTS_PATH.parent / "lengths.json"
_PLOT_PATH = RESULTS_PATH.parent / "first_token_by_length.svg"
_SHORT_TTFT_TARGET_S = 0.32


def plot_lengths() -> None:
    """Plot time to first token against prompt length for each routing policy."""
    samples = msgspec.json.decode(
        _SAMPLES_PATH.read_bytes(), type=dict[str, list[tuple[int, float]]]
    )
    figure, axes = pyplot.subplots(figsize=(9, 5.5))
    for marker, (policy, points) in zip("osx^", samples.items(), strict=False):
        lengths = [length for length, _ in points]
        ttfts_s = [ttft_s for _, ttft_s in points]
        axes.scatter(lengths, ttfts_s, s=14, marker=marker, alpha=0.6, label=policy)
    axes.axhline(
        _SHORT_TTFT_TARGET_S,
        color="grey",
        linestyle="--",
        label="target for short prompts",
    )
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="prompt tokens",
        ylabel="time to first token (s)",
        title="Short requests under load with long ones",
    )
    axes.legend()
    figure.tight_layout()
    figure.savefig(_PLOT_PATH)
    print(f"wrote {_PLOT_PATH.name}")

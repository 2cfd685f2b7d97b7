"""Plots of what the experiments found."""

from __future__ import annotations

import matplotlib as mpl
import msgspec

from benchmarks._results import RESULTS_PATH

mpl.use("Agg")

from matplotlib import pyplot

_SAMPLES = RESULTS_PATH.parent / "lengths.json"
_PLOT = RESULTS_PATH.parent / "first_token_by_length.svg"
_TARGET_S = 0.32


def plot_lengths() -> None:
    """Time to first token by length of the prompt, ours and the baselines."""
    samples = msgspec.json.decode(
        _SAMPLES.read_bytes(), type=dict[str, list[tuple[int, float]]]
    )
    figure, axes = pyplot.subplots(figsize=(9, 5.5))
    for marker, (policy, points) in zip("osx^", samples.items(), strict=False):
        lengths = [length for length, _ in points]
        times = [first_s for _, first_s in points]
        axes.scatter(lengths, times, s=14, marker=marker, alpha=0.6, label=policy)
    axes.axhline(_TARGET_S, color="grey", linestyle="--", label="target, short")
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="tokens of the prompt",
        ylabel="time to first token (s)",
        title="Short requests beside long ones",
    )
    axes.legend()
    figure.tight_layout()
    figure.savefig(_PLOT)
    print(f"wrote {_PLOT.name}")

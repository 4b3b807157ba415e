"""Plots the history of a run to PNG files."""

import collections
from collections.abc import Sequence
import pathlib
from typing import Any

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

from fulmarseam import standin  # noqa: E402
from fulmarseam.bench import _checker  # noqa: E402
from fulmarseam.bench import _results  # noqa: E402

PERCENTILES = (10, 25, 50, 75, 90, 95, 99, 99.5, 99.9)
SIZE_INCHES = (8, 4.5)


def plot_traffic(history: _checker.History, path: pathlib.Path) -> None:
    """Plot the requests per second that targets of each region started."""
    starts = [
        run for run in history.runs if run.event is standin.RunEvent.START
    ]
    begin = min((run.time for run in starts), default=0.0)
    counts: dict[str, collections.Counter[int]] = collections.defaultdict(
        collections.Counter
    )
    for run in starts:
        counts[run.region][int(run.time - begin)] += 1
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    for region in sorted(counts):
        seconds = range(max(counts[region]) + 1)
        rates = [counts[region][second] for second in seconds]
        axes.plot(list(seconds), rates, label=region)
    _save_figure(figure, axes, 'time (s)', 'requests per second', path)


def plot_latencies(history: _checker.History, path: pathlib.Path) -> None:
    """Plot the latency percentiles of each route."""
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    ticks = list(range(len(PERCENTILES)))
    for route in sorted({call.route for call in history.calls}):
        latencies = _results.Latencies(
            call for call in history.calls if call.route == route
        )
        values = [
            latencies.get_percentile_ms(percentile)
            for percentile in PERCENTILES
        ]
        axes.plot(ticks, values, marker='o', label=route)
    axes.set_xticks(ticks, [f'p{percentile:g}' for percentile in PERCENTILES])
    axes.set_yscale('log')
    _save_figure(figure, axes, 'percentile', 'latency (ms)', path)


def _save_figure(
    figure: Any, axes: Any, x_label: str, y_label: str, path: pathlib.Path
) -> None:
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def plot_run(
    name: str, history: _checker.History, folder: pathlib.Path
) -> Sequence[pathlib.Path]:
    """Write the plots of a run and return their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    traffic_path = folder / f'{name}-traffic.png'
    latencies_path = folder / f'{name}-latencies.png'
    plot_traffic(history, traffic_path)
    plot_latencies(history, latencies_path)
    return traffic_path, latencies_path

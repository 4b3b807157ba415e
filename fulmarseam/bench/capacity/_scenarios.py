"""The capacity scenarios of `fulmarseam-bench`."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib

from fulmarseam.bench.capacity import _blocks
from fulmarseam.bench.capacity import _changes
from fulmarseam.bench.capacity import _control_plane
from fulmarseam.bench.capacity import _fresh_process
from fulmarseam.bench.capacity import _lookups
from fulmarseam.bench.capacity import _page
from fulmarseam.bench.capacity import _series

RESULTS_PATH = pathlib.Path('docs') / 'capacity-results.json'
PAGE_PATH = pathlib.Path('docs') / 'CAPACITY.md'
MEASUREMENT_TIMEOUT_S = 120.0

Measurement = Callable[[], Awaitable[list[_series.Series]]]


async def _measure_blocks() -> list[_series.Series]:
    return await asyncio.to_thread(_blocks.measure_blocks)


async def _measure_idle() -> list[_series.Series]:
    figures = await _control_plane.measure_idle()
    return [
        _series.Series(
            name=f'rest_{name}',
            x_unit='entries',
            y_unit='',
            points=[_series.Point(_control_plane.CURRENT_ENTRY_COUNT, value)],
        )
        for name, value in figures.items()
    ]


MEASUREMENTS: dict[str, Measurement] = {
    'capacity-blocks': _measure_blocks,
    'capacity-rest': _measure_idle,
    'capacity-sync': _control_plane.measure_sync,
    'capacity-lookups': _lookups.measure_lookups,
    'capacity-changes': _changes.measure_changes,
    'capacity-replay': _changes.measure_replay,
}
PAGE_SCENARIO = 'capacity-page'
SCENARIO_NAMES = (*MEASUREMENTS, PAGE_SCENARIO)


async def run_scenario(name: str) -> None:
    """Measure and store series, or make the page from all stored series."""
    results = _fresh_process.ROOT / RESULTS_PATH
    if name == PAGE_SCENARIO:
        _page.write_page(_fresh_process.ROOT / PAGE_PATH, results)
        print(f'scenario={name} page={PAGE_PATH}')
        return
    async with asyncio.timeout(MEASUREMENT_TIMEOUT_S):
        measured = await MEASUREMENTS[name]()
    _series.store_series(results, measured)
    for series in measured:
        points = ','.join(
            f'{point.x:g}:{point.y:.6g}' for point in series.points
        )
        print(f'scenario={name} series={series.name} points={points}')

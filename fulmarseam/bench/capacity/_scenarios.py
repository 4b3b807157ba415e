"""The capacity scenarios of `fulmarseam-bench`."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib

from fulmarseam.bench.capacity import _blocks
from fulmarseam.bench.capacity import _changes
from fulmarseam.bench.capacity import _groups
from fulmarseam.bench.capacity import _lookups
from fulmarseam.bench.capacity import _page
from fulmarseam.bench.capacity import _probe
from fulmarseam.bench.capacity import _slopes

RESULTS = pathlib.Path('docs') / 'capacity-results.json'
PAGE = pathlib.Path('docs') / 'CAPACITY.md'
TIMEOUT_S = 120.0

Measure = Callable[[], Awaitable[list[_slopes.Series]]]


async def _measure_blocks() -> list[_slopes.Series]:
    return await asyncio.to_thread(_blocks.measure_blocks)


async def _measure_rest() -> list[_slopes.Series]:
    figures = await _groups.measure_rest()
    return [
        _slopes.Series(
            name=f'rest_{name}',
            x_unit='entries',
            y_unit='',
            points=[_slopes.Point(_groups.ENTRIES_TODAY, value)],
        )
        for name, value in figures.items()
    ]


MEASUREMENTS: dict[str, Measure] = {
    'capacity-blocks': _measure_blocks,
    'capacity-rest': _measure_rest,
    'capacity-sync': _groups.measure_sync,
    'capacity-lookups': _lookups.measure_lookups,
    'capacity-changes': _changes.measure_changes,
    'capacity-replay': _changes.measure_replay,
}
PAGE_SCENARIO = 'capacity-page'
SCENARIO_NAMES = (*MEASUREMENTS, PAGE_SCENARIO)


async def run_scenario(name: str) -> None:
    """Measure and store the series, or make the page from all of them."""
    results = _probe.ROOT / RESULTS
    if name == PAGE_SCENARIO:
        _page.write_page(_probe.ROOT / PAGE, results)
        print(f'scenario={name} page={PAGE}')
        return
    async with asyncio.timeout(TIMEOUT_S):
        found = await MEASUREMENTS[name]()
    _slopes.store_series(results, found)
    for series in found:
        points = ','.join(
            f'{point.x:g}:{point.y:.6g}' for point in series.points
        )
        print(f'scenario={name} series={series.name} points={points}')

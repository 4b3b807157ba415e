"""Measures how costs grow with size, for the capacity page.

The page extrapolates the fitted slopes to the size expected in two years.
"""

from fulmarseam.bench.capacity._blocks import measure_blocks
from fulmarseam.bench.capacity._page import make_tables
from fulmarseam.bench.capacity._scenarios import run_scenario
from fulmarseam.bench.capacity._scenarios import SCENARIO_NAMES
from fulmarseam.bench.capacity._series import fit_line
from fulmarseam.bench.capacity._series import Line
from fulmarseam.bench.capacity._series import Point
from fulmarseam.bench.capacity._series import read_results
from fulmarseam.bench.capacity._series import Series
from fulmarseam.bench.capacity._series import store_series

__all__ = [
    'Line',
    'SCENARIO_NAMES',
    'Point',
    'Series',
    'fit_line',
    'make_tables',
    'measure_blocks',
    'read_results',
    'run_scenario',
    'store_series',
]

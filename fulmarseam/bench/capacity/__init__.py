"""Measured slopes and the page that scales them to the two-year size."""

from fulmarseam.bench.capacity._blocks import measure_blocks
from fulmarseam.bench.capacity._page import make_tables
from fulmarseam.bench.capacity._scenarios import run_scenario
from fulmarseam.bench.capacity._scenarios import SCENARIO_NAMES
from fulmarseam.bench.capacity._slopes import fit_line
from fulmarseam.bench.capacity._slopes import Line
from fulmarseam.bench.capacity._slopes import Point
from fulmarseam.bench.capacity._slopes import read_results
from fulmarseam.bench.capacity._slopes import Series
from fulmarseam.bench.capacity._slopes import store_series

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

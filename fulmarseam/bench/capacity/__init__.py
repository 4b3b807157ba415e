"""Measured slopes and the page that scales them to the two-year size."""

from fulmarseam.bench.capacity._blocks import measure_blocks
from fulmarseam.bench.capacity._slopes import fit_line
from fulmarseam.bench.capacity._slopes import Line
from fulmarseam.bench.capacity._slopes import Point
from fulmarseam.bench.capacity._slopes import read_results
from fulmarseam.bench.capacity._slopes import Series
from fulmarseam.bench.capacity._slopes import store_series

__all__ = [
    'Line',
    'Point',
    'Series',
    'fit_line',
    'measure_blocks',
    'read_results',
    'store_series',
]

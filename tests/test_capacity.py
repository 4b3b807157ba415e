"""Tests of the capacity measurements."""

import pathlib
import tempfile
import unittest

from fulmarseam.bench import capacity
from fulmarseam.bench.capacity import _blocks
from fulmarseam.bench.capacity import _fresh_process


def make_series(name: str, *values: float) -> capacity.Series:
    """Return a series of the values at the sizes 1, 2, 3 and so on."""
    points = [
        capacity.Point(number, value)
        for number, value in enumerate(values, start=1)
    ]
    return capacity.Series(name=name, x_unit='x', y_unit='y', points=points)


class SlopeTest(unittest.TestCase):
    """Guards against a capacity page that extrapolates wrong lines."""

    def test_line_fits_points(self) -> None:
        line = capacity.fit_line(make_series('a', 3, 5, 7).points)
        self.assertAlmostEqual(2, line.slope)
        self.assertAlmostEqual(1, line.intercept)
        self.assertAlmostEqual(0, line.residual)
        self.assertAlmostEqual(21, line.value_at(10))

    def test_nonlinear_series_has_a_large_residual(self) -> None:
        line = capacity.fit_line(make_series('a', 1, 1, 1, 9).points)
        self.assertGreater(line.residual, 0.2)

    def test_two_points_are_refused(self) -> None:
        with self.assertRaises(ValueError):
            capacity.fit_line(make_series('a', 1, 2).points)

    def test_results_replace_a_series_of_the_same_name(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'results.json')
            stored = [make_series('a', 1), make_series('b', 2)]
            capacity.store_series(path, stored)
            capacity.store_series(path, [make_series('a', 3)])
            results = capacity.read_results(path)
        self.assertEqual(3, results['a'].points[0].y)
        self.assertEqual(2, results['b'].points[0].y)


class FreshProcessTest(unittest.TestCase):
    """Guards against figures of a table of another size than requested."""

    def test_measures_a_table_of_the_size(self) -> None:
        figures = _fresh_process.run_measurement(_blocks.__name__, 1_000)
        expected = len(_blocks.make_image(1_000)) / 1e6
        self.assertAlmostEqual(expected, figures['image_mb'])
        self.assertGreater(figures['resident_mb'], 5)

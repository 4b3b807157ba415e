"""Measured series in a results file, and straight lines fitted to them."""

from collections.abc import Iterable
from collections.abc import Sequence
import pathlib

import msgspec
import numpy


class Point(msgspec.Struct, frozen=True):
    """One measurement: the value `y` at the size `x`."""

    x: float
    y: float


class Series(msgspec.Struct, frozen=True, kw_only=True):
    """Measurements of one quantity at several sizes, with both units."""

    name: str
    x_unit: str
    y_unit: str
    points: list[Point]


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """A line fitted by least squares.

    `residual` is the largest vertical distance of a point from the line,
    divided by the largest measured value.
    """

    slope: float
    intercept: float
    residual: float

    def value_at(self, x: float) -> float:
        """Return the value of the line at `x`."""
        return self.intercept + self.slope * x


def fit_line(points: Sequence[Point]) -> Line:
    """Fit a line to three or more points.

    Raises `ValueError` when there are fewer.
    """
    if len(points) < 3:
        raise ValueError(f'found {len(points)} points, expected 3 or more')
    xs = numpy.array([point.x for point in points])
    ys = numpy.array([point.y for point in points])
    slope, intercept = numpy.polyfit(xs, ys, 1)
    distances = numpy.abs(ys - (slope * xs + intercept))
    largest_y = float(numpy.max(numpy.abs(ys)))
    residual = float(numpy.max(distances)) / largest_y if largest_y else 0.0
    return Line(
        slope=float(slope), intercept=float(intercept), residual=residual
    )


def read_results(path: pathlib.Path) -> dict[str, Series]:
    """Return the series of a results file by name.

    Returns an empty mapping if the file does not exist.
    """
    if not path.exists():
        return {}
    stored = msgspec.json.decode(path.read_bytes(), type=list[Series])
    return {series.name: series for series in stored}


def store_series(path: pathlib.Path, measured: Iterable[Series]) -> None:
    """Add series to a results file; replaces series of the same names."""
    results = read_results(path)
    results.update({series.name: series for series in measured})
    ordered = [results[name] for name in sorted(results)]
    data = msgspec.json.format(msgspec.json.encode(ordered), indent=1)
    path.write_bytes(data + b'\n')

"""Counters, gauges and latency percentiles, rendered as text.

The text uses the common exposition format of metrics pages::

    metrics = Metrics()
    metrics.add('requests_total', route='katalog')
    metrics.record('request_seconds', 0.012, route='katalog')
    page = metrics.render()
"""

from collections.abc import Callable
from collections.abc import Mapping

from hdrh import histogram as hdr

MICROSECONDS_PER_S = 1_000_000
MIN_DURATION_US = 1
MAX_DURATION_US = 600 * MICROSECONDS_PER_S
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

_Labels = tuple[tuple[str, str], ...]
_Key = tuple[str, _Labels]


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._counters: dict[_Key, float] = {}
        self._histograms: dict[_Key, hdr.HdrHistogram] = {}
        self._sums: dict[_Key, float] = {}
        self._gauges: dict[_Key, Callable[[], float]] = {}

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = _make_key(name, labels)
        self._counters[key] = self._counters.get(key, 0) + amount

    def counter_value(self, name: str, **labels: str) -> float:
        """Return the value of a counter."""
        return self._counters.get(_make_key(name, labels), 0)

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in seconds in a histogram."""
        key = _make_key(name, labels)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = hdr.HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
            self._histograms[key] = histogram
            self._sums[key] = 0.0
        value = int(seconds * MICROSECONDS_PER_S)
        histogram.record_value(
            min(max(value, MIN_DURATION_US), MAX_DURATION_US)
        )
        self._sums[key] += seconds

    def percentile(
        self, name: str, percentile: float, **labels: str
    ) -> float | None:
        """Return a percentile in seconds, or None if nothing was recorded."""
        histogram = self._histograms.get(_make_key(name, labels))
        if histogram is None:
            return None
        value: int = histogram.get_value_at_percentile(percentile)
        return value / MICROSECONDS_PER_S

    def register_gauge(
        self, name: str, read_value: Callable[[], float], **labels: str
    ) -> None:
        """Register a gauge that is read when the page is rendered."""
        self._gauges[_make_key(name, labels)] = read_value

    def render(self) -> str:
        """Return the metrics page."""
        lines = [
            f'{_render_key(key)} {value:g}'
            for key, value in self._counters.items()
        ]
        lines.extend(
            f'{_render_key(key)} {read_value():g}'
            for key, read_value in self._gauges.items()
        )
        for key, histogram in self._histograms.items():
            lines.extend(self._render_histogram(key, histogram))
        return '\n'.join(sorted(lines)) + '\n'

    def _render_histogram(
        self, key: _Key, histogram: hdr.HdrHistogram
    ) -> list[str]:
        name, labels = key
        lines = [
            _render_key((name, (*labels, ('quantile', f'{quantile / 100:g}'))))
            + f' {histogram.get_value_at_percentile(quantile) / 1e6:g}'
            for quantile in PERCENTILES
        ]
        count = histogram.get_total_count()
        lines.append(f'{_render_key((name + "_count", labels))} {count}')
        total = self._sums[key]
        lines.append(f'{_render_key((name + "_sum", labels))} {total:g}')
        return lines


def _make_key(name: str, labels: Mapping[str, str]) -> _Key:
    if not labels:
        return name, ()
    return name, tuple(sorted(labels.items()))


def _render_key(key: _Key) -> str:
    name, labels = key
    if not labels:
        return f'fulmarseam_{name}'
    pairs = ','.join(f'{label}="{_escape(value)}"' for label, value in labels)
    return f'fulmarseam_{name}{{{pairs}}}'


def _escape(text: str) -> str:
    return text.replace('\\', '\\\\').replace('"', '\\"').replace('\n', '\\n')

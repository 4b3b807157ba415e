"""Measures the CPU time of an entry at several rates of look-ups."""

import asyncio
import contextlib

from fulmarseam.bench import _cluster
from fulmarseam.bench import _plan
from fulmarseam.bench.capacity import _control_plane
from fulmarseam.bench.capacity import _series

RATES_PER_S = (250, 500, 1_000)
CONNECTION_COUNT = 10
MEASUREMENT_S = 5.0
HEADER_END = b'\r\n\r\n'
CONTENT_LENGTH_PREFIX = b'content-length: '
REQUEST = b'GET /v1/lookup?region=ost HTTP/1.1\r\nHost: lookup\r\n\r\n'


async def measure_lookups() -> list[_series.Series]:
    """Measure the share of a core that an entry uses at each rate."""
    plan = _plan.make_plan(
        controls=1,
        regions=['ost'],
        entries_per_region=1,
        targets_per_region=0,
    )
    points = []
    async with _cluster.Cluster(plan) as cluster:
        name = cluster.plan.entries[0].name
        pid = cluster.processes[name].pid
        assert pid is not None
        for rate in RATES_PER_S:
            meter = _control_plane.Meter(pid)
            answered = await _send_lookups(cluster.addresses[name].api, rate)
            usage = meter.read()
            points.append(
                _series.Point(answered / MEASUREMENT_S, usage.core_share)
            )
    return [
        _series.Series(
            name='lookup_core_share',
            x_unit='look-ups/s',
            y_unit='share of a core',
            points=points,
        )
    ]


async def _send_lookups(address: str, rate: int) -> int:
    """Send look-ups at an even rate for `MEASUREMENT_S`.

    Returns the number of answers.
    """
    counts = await asyncio.gather(
        *(
            _send_on_connection(address, rate / CONNECTION_COUNT)
            for _ in range(CONNECTION_COUNT)
        )
    )
    return sum(counts)


async def _send_on_connection(address: str, rate: float) -> int:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    loop = asyncio.get_running_loop()
    end = loop.time() + MEASUREMENT_S
    next_at = loop.time()
    answered = 0
    with contextlib.closing(writer):
        while loop.time() < end:
            writer.write(REQUEST)
            header = await reader.readuntil(HEADER_END)
            await reader.readexactly(_parse_content_length(header))
            answered += 1
            next_at += 1.0 / rate
            await asyncio.sleep(max(0.0, next_at - loop.time()))
    return answered


def _parse_content_length(header: bytes) -> int:
    lowered = header.lower()
    start = lowered.index(CONTENT_LENGTH_PREFIX) + len(CONTENT_LENGTH_PREFIX)
    return int(lowered[start : lowered.index(b'\r\n', start)])

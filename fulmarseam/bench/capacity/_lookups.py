"""Slope of an entry's processor time over look-ups a second."""

import asyncio
import contextlib

from fulmarseam.bench import _cluster
from fulmarseam.bench import _plan
from fulmarseam.bench.capacity import _groups
from fulmarseam.bench.capacity import _slopes

RATES_PER_S = (250, 500, 1_000)
CONNECTIONS = 10
MEASURE_S = 5.0
HEAD_END = b'\r\n\r\n'
LENGTH = b'content-length: '
REQUEST = b'GET /v1/lookup?region=ost HTTP/1.1\r\nHost: lookup\r\n\r\n'


async def measure_lookups() -> list[_slopes.Series]:
    """Measure the share of a core that look-ups take at each rate."""
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
            meter = _groups.Meter(pid)
            done = await _send_lookups(cluster.addresses[name].api, rate)
            usage = meter.read()
            points.append(_slopes.Point(done / MEASURE_S, usage.core_share))
    return [
        _slopes.Series(
            name='lookup_core_share',
            x_unit='look-ups/s',
            y_unit='share of a core',
            points=points,
        )
    ]


async def _send_lookups(address: str, rate: int) -> int:
    """Send look-ups evenly for a while; return how many were answered."""
    counts = await asyncio.gather(
        *(
            _send_on_connection(address, rate / CONNECTIONS)
            for _ in range(CONNECTIONS)
        )
    )
    return sum(counts)


async def _send_on_connection(address: str, rate: float) -> int:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    loop = asyncio.get_running_loop()
    end = loop.time() + MEASURE_S
    next_at = loop.time()
    answered = 0
    with contextlib.closing(writer):
        while loop.time() < end:
            writer.write(REQUEST)
            head = await reader.readuntil(HEAD_END)
            await reader.readexactly(_read_length(head))
            answered += 1
            next_at += 1.0 / rate
            await asyncio.sleep(max(0.0, next_at - loop.time()))
    return answered


def _read_length(head: bytes) -> int:
    lowered = head.lower()
    start = lowered.index(LENGTH) + len(LENGTH)
    return int(lowered[start : lowered.index(b'\r\n', start)])

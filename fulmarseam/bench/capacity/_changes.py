"""Slopes of configuration changes and of the replay of the log."""

import asyncio
import contextlib
import functools
import time

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.bench import _cluster
from fulmarseam.bench import _plan
from fulmarseam.bench import _waiting
from fulmarseam.bench.capacity import _groups
from fulmarseam.bench.capacity import _nodes
from fulmarseam.bench.capacity import _slopes

NODES = 32
RATES_PER_S = (1, 5, 10)
MEASURE_S = 5.0
REPLAY_LENGTHS = (200, 1_000, 2_000)
START_TIMEOUT_S = 20.0
POLL_S = 0.002
NO_SNAPSHOT = 1_000_000


async def measure_changes() -> list[_slopes.Series]:
    """Measure the leader's work and a node's bytes over changes a second."""
    plan = _plan.make_plan(
        regions=_groups.REGIONS, entries_per_region=0, targets_per_region=0
    )
    shares: list[_slopes.Point] = []
    node_bytes: list[_slopes.Point] = []
    delays: list[_slopes.Point] = []
    async with contextlib.AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(_cluster.Cluster(plan))
        leader = await cluster.wait_leader(START_TIMEOUT_S)
        nodes = [
            await stack.enter_async_context(
                _groups.make_node(number, cluster.addresses[leader].listen)
            )
            for number in range(NODES)
        ]
        await asyncio.sleep(_groups.SETTLE_S)
        pid = cluster.processes[leader].pid
        assert pid is not None
        for rate in RATES_PER_S:
            meter = _groups.Meter(pid)
            before = _groups.sum_bytes(nodes)
            slowest = await _make_edits(cluster, nodes, rate)
            usage = meter.read()
            sent = (_groups.sum_bytes(nodes) - before) / NODES / MEASURE_S
            shares.append(_slopes.Point(rate, usage.core_share))
            node_bytes.append(_slopes.Point(rate, sent))
            delays.append(_slopes.Point(rate, slowest * 1_000))
    return [
        _make_series('change_leader_core_share', 'share of a core', shares),
        _make_series('change_node_bytes_per_s', 'bytes/s', node_bytes),
        _make_series('change_slowest_ms', 'ms', delays),
    ]


def _make_series(
    name: str, unit: str, points: list[_slopes.Point]
) -> _slopes.Series:
    return _slopes.Series(
        name=name, x_unit='changes/s', y_unit=unit, points=points
    )


async def _make_edits(
    cluster: _cluster.Cluster, nodes: list[_nodes.SyncNode], rate: int
) -> float:
    """Edit evenly; return the longest time until all nodes had an edit."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    slowest = 0.0
    for number in range(int(rate * MEASURE_S)):
        revision = await _edit(cluster, number)
        accepted = loop.time()
        await _waiting.wait_until(
            functools.partial(_have_revision, nodes, revision),
            START_TIMEOUT_S,
            f'revision {revision} on all nodes',
            POLL_S,
        )
        slowest = max(slowest, loop.time() - accepted)
        next_at = started + (number + 1) / rate
        await asyncio.sleep(max(0.0, next_at - loop.time()))
    return slowest


def _have_revision(nodes: list[_nodes.SyncNode], revision: int) -> bool:
    return all(node.counts.revision >= revision for node in nodes)


async def _edit(cluster: _cluster.Cluster, number: int) -> int:
    row = wire.Pool(
        name=ids.PoolName('capacity'), queue_limit=1 + number % 1_000
    )
    result = await cluster.operator.put_rows([row])
    return result.revision


async def measure_replay() -> list[_slopes.Series]:
    """Measure the start of a member over the length of its log."""
    plan = _plan.make_plan(
        controls=1,
        entries_per_region=0,
        targets_per_region=0,
        control_options={'snapshot_every': NO_SNAPSHOT},
    )
    points = []
    written = 0
    async with _cluster.Cluster(plan) as cluster:
        process = cluster.processes['c0']
        for length in REPLAY_LENGTHS:
            for number in range(written, length):
                await _edit(cluster, number)
            written = length
            process.kill()
            started = time.monotonic()
            process.start()
            await _waiting.wait_until(
                cluster.operator.find_leader,
                START_TIMEOUT_S,
                'a leader after the restart',
                0.01,
            )
            points.append(_slopes.Point(length, time.monotonic() - started))
    return [
        _slopes.Series(
            name='replay_start_s',
            x_unit='log entries',
            y_unit='s',
            points=points,
        )
    ]

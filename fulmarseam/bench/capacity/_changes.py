"""Measures configuration changes and the replay of the log."""

import asyncio
import contextlib
import functools
import time

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.bench import _cluster
from fulmarseam.bench import _plan
from fulmarseam.bench import _waiting
from fulmarseam.bench.capacity import _control_plane
from fulmarseam.bench.capacity import _nodes
from fulmarseam.bench.capacity import _series

NODE_COUNT = 32
RATES_PER_S = (1, 5, 10)
MEASUREMENT_S = 5.0
REPLAY_LENGTHS = (200, 1_000, 2_000)
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.002
# More log entries than a measurement writes, so that no snapshot is taken.
NO_SNAPSHOT_EVERY = 1_000_000


async def measure_changes() -> list[_series.Series]:
    """Measure the cost and the delay of changes at each rate.

    The cost is the leader's share of a core and the bytes of a node.
    """
    plan = _plan.make_plan(
        regions=_control_plane.REGIONS,
        entries_per_region=0,
        targets_per_region=0,
    )
    core_shares: list[_series.Point] = []
    node_bytes: list[_series.Point] = []
    slowest_ms: list[_series.Point] = []
    async with contextlib.AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(_cluster.Cluster(plan))
        leader = await cluster.wait_leader(START_TIMEOUT_S)
        nodes = [
            await stack.enter_async_context(
                _control_plane.make_node(
                    number, cluster.addresses[leader].listen
                )
            )
            for number in range(NODE_COUNT)
        ]
        await asyncio.sleep(_control_plane.SETTLE_S)
        pid = cluster.processes[leader].pid
        assert pid is not None
        for rate in RATES_PER_S:
            meter = _control_plane.Meter(pid)
            bytes_before = _control_plane.sum_bytes(nodes)
            slowest_s = await _edit_at_rate(cluster, nodes, rate)
            usage = meter.read()
            bytes_per_s = (
                (_control_plane.sum_bytes(nodes) - bytes_before)
                / NODE_COUNT
                / MEASUREMENT_S
            )
            core_shares.append(_series.Point(rate, usage.core_share))
            node_bytes.append(_series.Point(rate, bytes_per_s))
            slowest_ms.append(_series.Point(rate, slowest_s * 1_000))
    return [
        _make_series(
            'change_leader_core_share', 'share of a core', core_shares
        ),
        _make_series('change_node_bytes_per_s', 'bytes/s', node_bytes),
        _make_series('change_slowest_ms', 'ms', slowest_ms),
    ]


def _make_series(
    name: str, unit: str, points: list[_series.Point]
) -> _series.Series:
    return _series.Series(
        name=name, x_unit='changes/s', y_unit=unit, points=points
    )


async def _edit_at_rate(
    cluster: _cluster.Cluster, nodes: list[_nodes.SyncNode], rate: int
) -> float:
    """Make edits at an even rate for `MEASUREMENT_S`.

    Returns the longest time in seconds until all nodes had an edit.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    slowest_s = 0.0
    for number in range(int(rate * MEASUREMENT_S)):
        revision = await _make_edit(cluster, number)
        accepted = loop.time()
        await _waiting.wait_until(
            functools.partial(_all_have_revision, nodes, revision),
            START_TIMEOUT_S,
            f'revision {revision} on all nodes',
            POLL_INTERVAL_S,
        )
        slowest_s = max(slowest_s, loop.time() - accepted)
        next_at = started + (number + 1) / rate
        await asyncio.sleep(max(0.0, next_at - loop.time()))
    return slowest_s


def _all_have_revision(nodes: list[_nodes.SyncNode], revision: int) -> bool:
    return all(node.counts.revision >= revision for node in nodes)


async def _make_edit(cluster: _cluster.Cluster, number: int) -> int:
    row = wire.Pool(
        name=ids.PoolName('capacity'), queue_limit=1 + number % 1_000
    )
    result = await cluster.operator.put_rows([row])
    return result.revision


async def measure_replay() -> list[_series.Series]:
    """Measure the start time of a member at each length of its log."""
    plan = _plan.make_plan(
        controls=1,
        entries_per_region=0,
        targets_per_region=0,
        control_options={'snapshot_every': NO_SNAPSHOT_EVERY},
    )
    points = []
    written = 0
    async with _cluster.Cluster(plan) as cluster:
        process = cluster.processes['c0']
        for length in REPLAY_LENGTHS:
            for number in range(written, length):
                await _make_edit(cluster, number)
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
            points.append(_series.Point(length, time.monotonic() - started))
    return [
        _series.Series(
            name='replay_start_s',
            x_unit='log entries',
            y_unit='s',
            points=points,
        )
    ]

"""Measures the control traffic and load of real processes."""

import asyncio
import contextlib
from typing import NamedTuple

from fulmarseam.bench import _cluster
from fulmarseam.bench import _plan
from fulmarseam.bench import _processes
from fulmarseam.bench.capacity import _nodes
from fulmarseam.bench.capacity import _series

NODE_COUNTS = (8, 32, 128)
SETTLE_S = 3.0
MEASUREMENT_S = 6.0
REGIONS = ('ost', 'west', 'sued')
DOMAINS_PER_REGION = 2
CURRENT_ENTRY_COUNT = 7
CURRENT_CONTROL_COUNT = 5
CURRENT_POOLS = (
    ('listview', 20, 5),
    ('listedit', 12, 4),
    ('orderdesk', 12, 3),
)
CONTROL_BYTES_METRIC = 'fulmarseam_control_bytes_total'


class Usage(NamedTuple):
    """The resources that a process used during a measurement.

    `core_share` is CPU time divided by elapsed time, `resident_mb` the
    resident memory at the end.
    """

    core_share: float
    resident_mb: float


class Meter:
    """Measures the CPU time of a process from the creation of the meter."""

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self._start_cpu_s = _processes.read_cpu_s(pid)
        self._started_at = asyncio.get_running_loop().time()

    def read(self) -> Usage:
        """Return the usage since the creation of the meter."""
        elapsed_s = asyncio.get_running_loop().time() - self._started_at
        cpu_s = _processes.read_cpu_s(self._pid) - self._start_cpu_s
        return Usage(cpu_s / elapsed_s, read_resident_mb(self._pid))


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    with open(f'/proc/{pid}/status', encoding='ascii') as lines:
        for line in lines:
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * 1024 / 1e6
    raise ValueError(f'found no VmRSS line in /proc/{pid}/status')


async def measure_sync() -> list[_series.Series]:
    """Measure the idle load of the leader at each number of nodes."""
    points: dict[str, list[_series.Point]] = {
        'sync_leader_core_share': [],
        'sync_leader_resident_mb': [],
        'sync_node_bytes_per_s': [],
    }
    units = dict.fromkeys(points, 'share of a core')
    units['sync_leader_resident_mb'] = 'MB'
    units['sync_node_bytes_per_s'] = 'bytes/s'
    for count in NODE_COUNTS:
        usage, node_bytes = await _measure_nodes(count)
        values = (usage.core_share, usage.resident_mb, node_bytes)
        for name, value in zip(points, values, strict=True):
            points[name].append(_series.Point(count, value))
    return [
        _series.Series(
            name=name, x_unit='nodes', y_unit=units[name], points=measured
        )
        for name, measured in points.items()
    ]


async def _measure_nodes(count: int) -> tuple[Usage, float]:
    plan = _plan.make_plan(
        regions=REGIONS, entries_per_region=0, targets_per_region=0
    )
    async with contextlib.AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(_cluster.Cluster(plan))
        leader = await cluster.wait_leader(SETTLE_S)
        nodes = [
            await stack.enter_async_context(
                make_node(number, cluster.addresses[leader].listen)
            )
            for number in range(count)
        ]
        await asyncio.sleep(SETTLE_S)
        pid = cluster.processes[leader].pid
        assert pid is not None
        meter = Meter(pid)
        bytes_before = sum_bytes(nodes)
        await asyncio.sleep(MEASUREMENT_S)
        usage = meter.read()
        transferred = sum_bytes(nodes) - bytes_before
    return usage, transferred / count / MEASUREMENT_S


def make_node(number: int, address: str) -> _nodes.SyncNode:
    """Return a stand-in node; its number selects the region and domain."""
    region = REGIONS[number % len(REGIONS)]
    domain = number // len(REGIONS) % DOMAINS_PER_REGION
    return _nodes.SyncNode(number, address, region, f'{region}-{domain}')


def sum_bytes(nodes: list[_nodes.SyncNode]) -> int:
    """Return the bytes that all nodes sent and received."""
    return sum(
        node.counts.bytes_sent + node.counts.bytes_received for node in nodes
    )


async def measure_idle() -> dict[str, float]:
    """Measure an idle cluster of the size of the larger deployment.

    The cluster has 5 control members, 7 entries and 44 targets. Each figure
    is that of the busiest process, the follower's that of the least busy.
    """
    async with _cluster.Cluster(make_current_plan()) as cluster:
        await asyncio.sleep(SETTLE_S)
        entries = [entry.name for entry in cluster.plan.entries]
        controls = [control.name for control in cluster.plan.controls]
        entry_meters = {name: _make_meter(cluster, name) for name in entries}
        control_meters = {
            name: _make_meter(cluster, name) for name in controls
        }
        before = {
            name: await _read_control_bytes(cluster, name) for name in entries
        }
        await asyncio.sleep(MEASUREMENT_S)
        entry_usages = [meter.read() for meter in entry_meters.values()]
        control_usages = [meter.read() for meter in control_meters.values()]
        after = {
            name: await _read_control_bytes(cluster, name) for name in entries
        }
    rates = [(after[name] - before[name]) / MEASUREMENT_S for name in entries]
    return {
        'entry_core_share': max(usage.core_share for usage in entry_usages),
        'entry_resident_mb': max(usage.resident_mb for usage in entry_usages),
        'entry_bytes_per_s': max(rates),
        'leader_core_share': max(usage.core_share for usage in control_usages),
        'follower_core_share': min(
            usage.core_share for usage in control_usages
        ),
        'control_resident_mb': max(
            usage.resident_mb for usage in control_usages
        ),
    }


def make_current_plan() -> _plan.Plan:
    """Return a plan of the size of the larger deployment."""
    places = [
        (region, f'{region}-{domain}')
        for region in REGIONS
        for domain in range(DOMAINS_PER_REGION)
    ]
    entries = [
        _plan.EntryPlan(f'e{number}', *places[number % len(places)])
        for number in range(CURRENT_ENTRY_COUNT)
    ]
    targets = [
        _plan.TargetPlan(f't-{pool}-{number}', pool, *place, slots)
        for pool, count, slots in CURRENT_POOLS
        for number in range(count)
        for place in [places[number % len(places)]]
    ]
    controls = [
        _plan.ControlPlan(f'c{number}', REGIONS[number % len(REGIONS)])
        for number in range(CURRENT_CONTROL_COUNT)
    ]
    rows = _plan.make_rows([pool for pool, _, _ in CURRENT_POOLS])
    return _plan.Plan(controls, entries, targets, rows)


def _make_meter(cluster: _cluster.Cluster, name: str) -> Meter:
    pid = cluster.processes[name].pid
    assert pid is not None
    return Meter(pid)


async def _read_control_bytes(cluster: _cluster.Cluster, name: str) -> float:
    page = await cluster.read_metrics(name)
    return page[CONTROL_BYTES_METRIC]

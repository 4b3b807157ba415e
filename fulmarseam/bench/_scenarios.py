"""The scenarios: each puts a cluster under load and disturbs it.

Loads last `DURATION_S`. Rates are shares of what the targets can serve.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import time
from typing import Any
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import standin
from fulmarseam import wire
from fulmarseam.bench import _plan
from fulmarseam.bench import _run

DURATION_S = 12.0
DISTURBANCE_AT_S = 3.0
DEFAULT_LOAD_SHARE = 0.5
MEAN_SERVICE_MS = 20.0
LINK_BYTES_PER_S = 280_000_000 // 8
REGIONS = ('ost', 'west', 'sued')
POOL = 'katalog'

Disturbance = Callable[[_run.ScenarioRun], Awaitable[None]]


class Scenario(NamedTuple):
    """The load and the disturbance of a scenario.

    `share` is the load of each region as a share of what its targets can
    serve. `surge` is the share of the first region after the disturbance.
    """

    disturb: Disturbance
    share: float = DEFAULT_LOAD_SHARE
    surge: float | None = None
    faulty: bool = False
    target_options: dict[str, Any] = {}


async def do_nothing(run: _run.ScenarioRun) -> None:
    """Run without a disturbance."""


async def lose_pool(run: _run.ScenarioRun) -> None:
    """Kill all targets of the pool in the first region."""
    for target in run.cluster.plan.targets:
        if target.region == REGIONS[0]:
            run.kill_target(target.name)


async def lose_region(run: _run.ScenarioRun) -> None:
    """Kill all processes of the last region."""
    targets = {target.name for target in run.cluster.plan.targets}
    for name in sorted(run.cluster.list_region(REGIONS[-1])):
        if name in targets:
            run.kill_target(name)
        else:
            run.cluster.processes[name].kill()


async def shift_traffic(run: _run.ScenarioRun) -> None:
    """Shift up to 30% of the pool from the first region to the second."""
    now = time.time()
    await run.put_rows(
        wire.Shift(
            name='bench-shift',
            pool=ids.PoolName(POOL),
            from_region=ids.RegionName(REGIONS[0]),
            to_region=ids.RegionName(REGIONS[1]),
            cap_percent=30.0,
            start=now,
            end=now + 3_600,
            ramp_s=2.0,
        )
    )


async def restart_cold(run: _run.ScenarioRun) -> None:
    """Kill the targets of the first region and start them again, cold."""
    for target in run.cluster.plan.targets:
        if target.region == REGIONS[0]:
            run.kill_target(target.name)
            run.cluster.processes[target.name].start()


async def stop_reports(run: _run.ScenarioRun) -> None:
    """Stop the load reports of all targets, which continue to serve."""
    for target in run.cluster.plan.targets:
        await run.cluster.command_target(
            target.name, standin.TargetCommand(reports='stop')
        )


async def partition_leader(run: _run.ScenarioRun) -> None:
    """Partition the control leader for 4 s by holding its bytes back."""
    leader = await run.cluster.wait_leader(5.0)
    await run.cluster.isolate({leader})
    await _run.wait_until_offset(run, DISTURBANCE_AT_S + 4.0)
    await run.cluster.links.heal()


async def kill_entry(run: _run.ScenarioRun) -> None:
    """Kill one entry and start it again 3 s later."""
    process = run.cluster.processes[run.cluster.plan.entries[0].name]
    process.kill()
    await _run.wait_until_offset(run, DISTURBANCE_AT_S + 3.0)
    process.start()


async def drain_rolling(run: _run.ScenarioRun) -> None:
    """Stop and restart the targets of the first region one by one."""
    for target in run.cluster.plan.targets:
        if target.region == REGIONS[0]:
            await run.cluster.stop(target.name)
            run.cluster.processes[target.name].start()
            await run.cluster.wait_ready(10.0)


_COLD_START = {'cold_s': 4.0, 'cold_multiplier': 4.0}

SCENARIOS: dict[str, Scenario] = {
    'steady': Scenario(do_nothing),
    'pool-lost': Scenario(lose_pool),
    'region-lost': Scenario(lose_region),
    'shift': Scenario(shift_traffic),
    'surge-cold': Scenario(
        restart_cold, surge=0.9, target_options=_COLD_START
    ),
    'reports-stopped': Scenario(stop_reports),
    'leader-partitioned': Scenario(partition_leader, faulty=True),
    'entry-killed': Scenario(kill_entry),
    'rolling-drain': Scenario(drain_rolling),
}


def make_plan(scenario: Scenario) -> _plan.Plan:
    """Return the plan of a scenario."""
    service_time = {
        'distribution': 'lognormal',
        'mean_ms': MEAN_SERVICE_MS,
        'sigma': 0.5,
        **scenario.target_options,
    }
    return _plan.make_plan(
        regions=REGIONS,
        entries_per_region=2,
        targets_per_region=2,
        slots=3,
        pools=[POOL],
        more_rows=_make_links(),
        target_options={'service': service_time},
        faulty=scenario.faulty,
        # The fault proxy is too slow for the requests of the load.
        proxy_requests=False,
    )


def _make_links() -> list[wire.Row]:
    """Return the links of the smaller deployment, 280 Mbit/s each way."""
    return [
        wire.Link(
            name=f'{source}>{destination}',
            from_region=ids.RegionName(source),
            to_region=ids.RegionName(destination),
            bytes_per_s=LINK_BYTES_PER_S,
        )
        for source, destination in itertools.permutations(REGIONS, 2)
    ]


def compute_rate_per_s(plan: _plan.Plan, region: str, share: float) -> float:
    """Return the arrival rate that keeps a share of a region's slots busy."""
    slots = sum(
        target.slots for target in plan.targets if target.region == region
    )
    return share * slots / (MEAN_SERVICE_MS / 1_000)


async def run_scenario(
    run: _run.ScenarioRun, scenario: Scenario, policy: str
) -> None:
    """Run the loads of a scenario and apply its disturbance."""
    routes = [
        _run.make_route_load(POOL, weight=3.0),
        _run.make_route_load(POOL, once=True),
    ]
    for region in REGIONS:
        first_rate = compute_rate_per_s(
            run.cluster.plan, region, scenario.share
        )
        second_rate = first_rate
        if scenario.surge is not None and region == REGIONS[0]:
            second_rate = compute_rate_per_s(
                run.cluster.plan, region, scenario.surge
            )
        phases = [
            (first_rate, DISTURBANCE_AT_S),
            (second_rate, DURATION_S - DISTURBANCE_AT_S),
        ]
        run.start_load(region, routes, phases, policy)
    await _run.wait_until_offset(run, DISTURBANCE_AT_S)
    await scenario.disturb(run)
    await run.wait_loads(DURATION_S)

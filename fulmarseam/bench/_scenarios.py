"""The scenarios: each makes a run, disturbs it and leaves its history.

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
DISTURB_AT_S = 3.0
HALF = 0.5
MEAN_SERVICE_MS = 20.0
LINK_BYTES_PER_S = 280_000_000 // 8
REGIONS = ('ost', 'west', 'sued')
POOL = 'katalog'

Disturb = Callable[[_run.ScenarioRun], Awaitable[None]]


class Scenario(NamedTuple):
    """A plan, the load of each region as a share, and a disturbance.

    `surge` is the share after `DISTURB_AT_S`.
    """

    disturb: Disturb
    share: float = HALF
    surge: float | None = None
    faulty: bool = False
    target_options: dict[str, Any] = {}


async def leave_alone(run: _run.ScenarioRun) -> None:
    """Disturb nothing."""


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
    """Replace the targets of the first region by cold ones."""
    for target in run.cluster.plan.targets:
        if target.region == REGIONS[0]:
            run.kill_target(target.name)
            run.cluster.processes[target.name].start()


async def stop_reports(run: _run.ScenarioRun) -> None:
    """Stop the load reports of all targets; they serve on."""
    for target in run.cluster.plan.targets:
        await run.cluster.command_target(
            target.name, standin.TargetCommand(reports='stop')
        )


async def partition_leader(run: _run.ScenarioRun) -> None:
    """Separate the control leader silently for 4 s, then heal."""
    leader = await run.cluster.wait_leader(5.0)
    await run.cluster.isolate({leader})
    await _run.wait_until_offset(run, DISTURB_AT_S + 4.0)
    await run.cluster.links.heal()


async def kill_entry(run: _run.ScenarioRun) -> None:
    """Kill one entry and start it again after 3 s."""
    process = run.cluster.processes[run.cluster.plan.entries[0].name]
    process.kill()
    await _run.wait_until_offset(run, DISTURB_AT_S + 3.0)
    process.start()


async def drain_rolling(run: _run.ScenarioRun) -> None:
    """Stop and restart the targets of the first region one by one."""
    for target in run.cluster.plan.targets:
        if target.region == REGIONS[0]:
            await run.cluster.stop(target.name)
            run.cluster.processes[target.name].start()
            await run.cluster.wait_ready(10.0)


_COLD = {'cold_s': 4.0, 'cold_multiplier': 4.0}

SCENARIOS: dict[str, Scenario] = {
    'steady': Scenario(leave_alone),
    'pool-lost': Scenario(lose_pool),
    'region-lost': Scenario(lose_region),
    'shift': Scenario(shift_traffic),
    'surge-cold': Scenario(restart_cold, surge=0.9, target_options=_COLD),
    'reports-stopped': Scenario(stop_reports),
    'leader-partitioned': Scenario(partition_leader, faulty=True),
    'entry-killed': Scenario(kill_entry),
    'rolling-drain': Scenario(drain_rolling),
}


def make_plan(scenario: Scenario) -> _plan.Plan:
    """Return the group of a scenario."""
    service = {
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
        target_options={'service': service},
        faulty=scenario.faulty,
        # The proxy is too slow for the requests of the bench.
        proxy_requests=False,
    )


def _make_links() -> list[wire.Row]:
    """Return the links of the smaller deployment, 280 Mbit/s each way."""
    return [
        wire.Link(
            name=f'{near}>{far}',
            from_region=ids.RegionName(near),
            to_region=ids.RegionName(far),
            bytes_per_s=LINK_BYTES_PER_S,
        )
        for near, far in itertools.permutations(REGIONS, 2)
    ]


def find_rate_per_s(plan: _plan.Plan, region: str, share: float) -> float:
    """Return the arrivals that keep a share of a region's slots busy."""
    slots = sum(
        target.slots for target in plan.targets if target.region == region
    )
    return share * slots / (MEAN_SERVICE_MS / 1_000)


async def run_scenario(
    run: _run.ScenarioRun, scenario: Scenario, policy: str
) -> None:
    """Run the loads of a scenario and disturb them."""
    routes = [
        _run.make_route_load(POOL, weight=3.0),
        _run.make_route_load(POOL, once=True),
    ]
    for region in REGIONS:
        base = find_rate_per_s(run.cluster.plan, region, scenario.share)
        late = base
        if scenario.surge is not None and region == REGIONS[0]:
            late = find_rate_per_s(run.cluster.plan, region, scenario.surge)
        phases = [(base, DISTURB_AT_S), (late, DURATION_S - DISTURB_AT_S)]
        run.start_load(region, routes, phases, policy)
    await _run.wait_until_offset(run, DISTURB_AT_S)
    await scenario.disturb(run)
    await run.wait_loads(DURATION_S)

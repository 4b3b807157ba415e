"""The demonstration: an edit, a drain and mixed load on a small cluster."""

import time

from fulmarseam import ids
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.bench import _checker
from fulmarseam.bench import _plan
from fulmarseam.bench import _results
from fulmarseam.bench import _run

LOAD_S = 12.0
EDIT_AT_S = 2.0
DRAIN_AT_S = 4.0
LEAVE_AT_S = 5.0
RATE_PER_S = 60.0
REGIONS = ('ost', 'west')
POOLS = ('katalog', 'reservierung')
HEADINGS = ('route', 'good', 'not-run', 'unknown', 'p50', 'p99', 'p99.9')


def print_table(history: _checker.History) -> None:
    """Print the outcomes and latencies of each route."""
    print('{:<20}{:>8}{:>9}{:>9}{:>9}{:>9}{:>9}'.format(*HEADINGS))
    for route in sorted({call.route for call in history.calls}):
        calls = [call for call in history.calls if call.route == route]
        latencies = _results.Latencies(calls)
        not_run = sum(call.outcome == 'not-run' for call in calls)
        unknown = sum(call.outcome == 'unknown' for call in calls)
        figures = [
            latencies.get_percentile_ms(percentile)
            for percentile in (50, 99, 99.9)
        ]
        print(
            f'{route:<20}{latencies.count:>8}{not_run:>9}{unknown:>9}'
            + ''.join(f'{figure:>9.1f}' for figure in figures)
        )


async def add_route(run: _run.ScenarioRun) -> None:
    """Add a route and print the time until it is in force on all entries."""
    start = time.monotonic()
    result = await run.put_rows(
        wire.Route(
            name=ids.RouteName('prospekt'),
            host='prospekt.example',
            path_prefix='/',
            pool=ids.PoolName(POOLS[0]),
            deadline_ms=_plan.MAX_DEADLINE_MS,
        )
    )
    accepted = time.monotonic()
    await run.cluster.wait_in_force(result.revision, 5.0)
    print(
        telemetry.format_event(
            'edit',
            revision=result.revision,
            accepted_s=accepted - start,
            in_force_s=time.monotonic() - accepted,
        )
    )


async def run_demo() -> int:
    """Run the demonstration; return the number of violated promises."""
    plan = _plan.make_plan(
        controls=3,
        regions=REGIONS,
        entries_per_region=2,
        targets_per_region=2,
        pools=POOLS,
    )
    routes = [
        _run.make_route_load(POOLS[0], weight=3.0),
        _run.make_route_load(POOLS[1], once=True),
    ]
    async with _run.ScenarioRun(plan) as run:
        print(f'started {len(run.cluster.processes)} processes')
        for region in REGIONS:
            run.start_load(region, routes, [(RATE_PER_S, LOAD_S)])
        await _run.wait_until_offset(run, EDIT_AT_S)
        await add_route(run)
        await _run.wait_until_offset(run, DRAIN_AT_S)
        await run.drain_target(plan.targets[0].name)
        print(f'drain of {plan.targets[0].name} active')
        await _run.wait_until_offset(run, LEAVE_AT_S)
        stop_s = await run.cluster.stop(plan.targets[-1].name)
        print(f'{plan.targets[-1].name} left and exited after {stop_s:.3f} s')
        await run.wait_loads(LOAD_S)
        history = run.collect_history()
    print_table(history)
    drain_times = _results.measure_drain_times(history.runs)
    print(f'drain_s={max(drain_times, default=0.0):.3f}')
    violations = _checker.find_violations(history)
    for violation in violations:
        print(f'broken: {violation.promise} {violation.detail}')
    print(f'broken_promises={len(violations)}')
    return len(violations)

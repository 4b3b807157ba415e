"""Base of the integration tests."""

import asyncio
from typing import Any
import unittest

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.bench import _checker
from fulmarseam.bench import _cluster
from fulmarseam.bench import _plan
from fulmarseam.bench import _run

POOL = 'katalog'
REGIONS = ('ost', 'west')


def make_control_plan(count: int, faulty: bool = False) -> _plan.Plan:
    """Return a control group without entries and targets."""
    controls = [
        _plan.ControlPlan(f'c{number}', f'r{number}')
        for number in range(count)
    ]
    return _plan.Plan(
        controls,
        [],
        [],
        _plan.make_rows([POOL]),
        faulty,
        control_options={'snapshot_every': 50},
    )


def make_plan(**options: Any) -> _plan.Plan:
    """Return a group with entries and targets in the regions."""
    options.setdefault('regions', REGIONS)
    options.setdefault('pools', [POOL])
    options.setdefault('target_options', {'service': {'mean_ms': 10.0}})
    return _plan.make_plan(**options)


def make_route(name: str, **changes: object) -> wire.Route:
    """Return a route to the pool of the tests."""
    values: dict[str, object] = {
        'name': ids.RouteName(name),
        'host': f'{name}.example',
        'path_prefix': '/',
        'pool': ids.PoolName(POOL),
        'deadline_ms': _plan.MAX_DEADLINE_MS,
        **changes,
    }
    return wire.Route(**values)  # type: ignore[arg-type]


class ClusterCase(unittest.IsolatedAsyncioTestCase):
    """Starts groups of real processes and ends them after each test."""

    async def asyncSetUp(self) -> None:
        # Callers, targets and the links of all processes run in this loop.
        asyncio.get_running_loop().set_debug(False)

    async def start_cluster(self, plan: _plan.Plan) -> _cluster.Cluster:
        """Start a group."""
        return await self.enterAsyncContext(_cluster.Cluster(plan))

    async def start_run(self, plan: _plan.Plan) -> _run.ScenarioRun:
        """Start a group whose entries have all answered once."""
        return await self.enterAsyncContext(_run.ScenarioRun(plan))

    def check(
        self, run: _run.ScenarioRun, least_good: int
    ) -> _checker.History:
        """Fail on a violated guarantee, or on too few good responses."""
        history = run.collect_history()
        self.assertEqual([], _checker.find_violations(history))
        good = sum(
            call.outcome == 'answered' and call.status == 200
            for call in history.calls
        )
        self.assertGreaterEqual(good, least_good)
        return history

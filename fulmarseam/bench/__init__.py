"""Runs scenarios on real processes, checks the promises and plots figures."""

from collections.abc import Sequence
import pathlib

from fulmarseam.bench import _checker
from fulmarseam.bench import _demo
from fulmarseam.bench import _results
from fulmarseam.bench import _run
from fulmarseam.bench import _scenarios
from fulmarseam.bench import capacity

DEMO = 'demo'
ALL = 'all'
MAX_PRINTED_VIOLATIONS = 10
SCENARIO_NAMES = (DEMO, ALL, *_scenarios.SCENARIOS, *capacity.SCENARIO_NAMES)
POLICIES = (_run.SYSTEM_POLICY, 'random', 'least-outstanding')


async def run_scenarios(
    name: str, policies: Sequence[str], plots: pathlib.Path | None
) -> int:
    """Run scenarios and print their figures.

    Returns the number of violated promises, without those of the baselines,
    which make no promises. With `plots` PNG files are written to that folder.
    """
    if name == DEMO:
        return await _demo.run_demo()
    if name in capacity.SCENARIO_NAMES:
        await capacity.run_scenario(name)
        return 0
    names = list(_scenarios.SCENARIOS) if name == ALL else [name]
    broken_promises = 0
    for scenario in names:
        for policy in policies:
            figures = await _run_scenario(scenario, policy, plots)
            if policy == _run.SYSTEM_POLICY:
                broken_promises += figures.broken_promises
    return broken_promises


async def _run_scenario(
    name: str, policy: str, plots: pathlib.Path | None
) -> _results.Figures:
    scenario = _scenarios.SCENARIOS[name]
    plan = _scenarios.make_plan(scenario)
    async with _run.ScenarioRun(plan) as run:
        await _scenarios.run_scenario(run, scenario, policy)
        history = run.collect_history()
    figures = _results.compute_figures(name, policy, history)
    print(figures.format(), flush=True)
    for violation in _checker.find_violations(history)[
        :MAX_PRINTED_VIOLATIONS
    ]:
        print(f'broken: {violation.promise} {violation.detail}')
    if plots is not None:
        # Importing matplotlib takes a second, and only plots need it.
        from fulmarseam.bench import _plots

        _plots.plot_run(f'{name}-{policy}', history, plots)
    return figures


__all__ = ['ALL', 'DEMO', 'SCENARIO_NAMES', 'POLICIES', 'run_scenarios']

"""Scenarios of requests for objects, played in virtual time.

`python -m tests.object_scenarios` prints the table of the design note.
"""

import dataclasses
import math

from tests import load_simulation

WARM_UP_S = 15.0
DURATION_S = 51.0
WAVE_PERIOD_S = 36.0
# A run without knowledge of the object, and the latency objective.
UNKNOWN_RUN_S = 0.8
OBJECTIVE_S = 0.523
TARGETS = (4, 18, 18)
SLOTS = 6


def make_rate(
    ratio: float, wave: float = 0.0, burst: float = 1.0
) -> load_simulation.Rate:
    """Return a load that needs `ratio` of all slots with unknown objects.

    Each region sends a third of it, with waves a third of a period apart. A
    burst multiplies it from 25 to 28 s.
    """
    total = ratio * sum(TARGETS) * SLOTS / UNKNOWN_RUN_S

    def rate(region: str, now: float) -> float:
        phase = load_simulation.REGIONS.index(region) / 3
        angle = 2 * math.pi * (now / WAVE_PERIOD_S + phase)
        factor = burst if 25.0 <= now < 28.0 else 1.0
        return total / 3 * (1 + wave * math.sin(angle)) * factor

    return rate


def make_scenario(
    ratio: float = 1.2, wave: float = 0.0, burst: float = 1.0
) -> load_simulation.Scenario:
    """Return 40 targets behind 15 entries, which know 1.5 x all objects."""
    return load_simulation.Scenario(
        targets=TARGETS,
        entries=15,
        objects=300,
        rate=make_rate(ratio, wave, burst),
        duration_s=DURATION_S,
        slots=SLOTS,
        queue=12,
        cache_size=12,
        uncached_s=UNKNOWN_RUN_S,
        cached_share=0.35,
        timeout_s=2.0,
        skew=0.4,
        are_objects_shared=True,
        long_share=0.03,
        objective_s=OBJECTIVE_S,
    )


def make_simulation(
    name: str, placement: str, seed: int = 1, **fields: object
) -> load_simulation.Simulation:
    """Return a simulation by the name of its scenario."""
    scenario = make_scenario()
    if name == 'wave':
        scenario = make_scenario(wave=0.55)
    if name == 'burst':
        scenario = make_scenario(wave=0.55, burst=2.4)
    if name == 'own objects':
        scenario = dataclasses.replace(
            make_scenario(wave=0.55), objects=100, are_objects_shared=False
        )
    simulation = load_simulation.Simulation(
        dataclasses.replace(
            scenario, object_placement=placement, seed=seed, **fields
        )
    )
    if name == 'popular object':
        simulation.at(20.0, simulation.make_popular, '7', 0.12)
    if name == 'lost targets':
        for target in list(simulation.targets)[5:40:10]:
            simulation.at(25.0, simulation.darken_target, target)
            simulation.at(28.0, simulation.remove_target, target)
    return simulation


SCENARIOS = (
    'uniform',
    'popular object',
    'lost targets',
    'wave',
    'burst',
    'own objects',
)


def print_table(**fields: object) -> None:
    """Print the figures of all scenarios."""
    print(
        '| load | placement | known | p50 s | p95 s | in time | '
        'refused or late | busiest | other region |'
    )
    print('| --- ' * 9 + '|')
    for name in SCENARIOS:
        for placement in ('fixed', 'regional', 'adaptive'):
            outcomes = make_simulation(name, placement, **fields).run(
                WARM_UP_S
            )
            crossing = outcomes.crossing / outcomes.runs.total()
            print(
                f'| {name} | {placement} | {outcomes.share_known():.3f} | '
                f'{outcomes.find_quantile(0.5):.2f} | '
                f'{outcomes.find_quantile(0.95):.2f} | '
                f'{outcomes.share_in_time(OBJECTIVE_S):.3f} | '
                f'{1 - outcomes.share("served"):.3f} | '
                f'{outcomes.compare_busiest():.2f} | {crossing:.2f} |',
                flush=True,
            )


if __name__ == '__main__':
    print_table()

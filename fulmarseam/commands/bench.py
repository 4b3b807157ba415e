"""The program `fulmarseam-bench`."""

import asyncio
import pathlib

from absl import flags

from fulmarseam import bench
from fulmarseam import errors
from fulmarseam.commands import _launcher

_SCENARIO = flags.DEFINE_enum(
    'scenario', bench.DEMO, list(bench.SCENARIO_NAMES), 'The scenario to run.'
)
_POLICY = flags.DEFINE_enum(
    'policy',
    bench.POLICIES[0],
    [*bench.POLICIES, bench.ALL],
    'How entries choose targets.',
)
_PLOT = flags.DEFINE_string(
    'plot', None, 'The directory for plots as PNG files.'
)


def run(arguments: list[str]) -> int:
    """Run the chosen scenario; return 1 if a promise was broken, else 0."""
    if arguments:
        raise errors.UsageError(
            f'found argument {arguments[0]!r}, expected only flags'
        )
    policies = [_POLICY.value]
    if _POLICY.value == bench.ALL:
        policies = list(bench.POLICIES)
    plots = pathlib.Path(_PLOT.value) if _PLOT.value else None
    broken = asyncio.run(bench.run_scenarios(_SCENARIO.value, policies, plots))
    return 1 if broken else 0


def main() -> None:
    _launcher.launch(run)

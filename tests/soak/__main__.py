"""Runs soaks by hand: `python -m tests.soak --seeds 1-50 --jobs 3`."""

import concurrent.futures
import multiprocessing
import sys
import time

from absl import app
from absl import flags

from tests.soak import _soak

SEEDS = flags.DEFINE_string(
    'seeds', '', 'first and last seed, like 1-50; a new one if empty'
)
JOBS = flags.DEFINE_integer('jobs', 3, 'soaks side by side', lower_bound=1)
SECONDS = flags.DEFINE_float(
    'seconds', 20.0, 'time with faults of each soak, in seconds'
)
LOGS = flags.DEFINE_string(
    'logs', '/tmp/fulmarseam-soak', 'directory of the logs of all seeds'
)
FINDINGS_SHOWN = 10


def main(arguments: list[str]) -> int:
    """Run all seeds; return 1 if any violated a guarantee."""
    del arguments
    failed = 0
    # Each soak picks its ports in a separate process.
    with concurrent.futures.ProcessPoolExecutor(
        JOBS.value,
        multiprocessing.get_context('spawn'),
        max_tasks_per_child=1,
    ) as pool:
        futures = {
            seed: pool.submit(_soak.run_seed, seed, SECONDS.value, LOGS.value)
            for seed in list_seeds()
        }
        for seed, future in futures.items():
            findings = future.result()
            failed += bool(findings)
            print(f'seed {seed}: {len(findings)} findings', flush=True)
            for line in findings[:FINDINGS_SHOWN]:
                print(f'  {line}', flush=True)
    print(f'{len(futures) - failed} passed, {failed} failed')
    return 1 if failed else 0


def list_seeds() -> list[int]:
    """Return the seeds that the flags name."""
    if not SEEDS.value:
        return [int(time.time())]
    first, _, last = SEEDS.value.partition('-')
    return list(range(int(first), int(last or first) + 1))


if __name__ == '__main__':
    sys.exit(app.run(main))

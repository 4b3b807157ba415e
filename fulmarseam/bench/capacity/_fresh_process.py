"""Runs measurements in fresh processes.

The operating system counts the memory of a whole process, so each size is
measured in a process of its own::

    figures = run_measurement('fulmarseam.bench.capacity._blocks', 10_000)
"""

import os
import pathlib
import subprocess
import sys

import msgspec

MEASUREMENT_TIMEOUT_S = 120.0
BYTES_PER_MB = 1_000_000
ROOT = pathlib.Path(__file__).resolve().parents[3]


def read_resident_bytes() -> int:
    """Return the resident memory of this process."""
    fields = pathlib.Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * os.sysconf('SC_PAGE_SIZE')


def run_measurement(module: str, size: int) -> dict[str, float]:
    """Measure a size with a module in a fresh process; return the figures."""
    output = run_main(module, str(size))
    return msgspec.json.decode(output, type=dict[str, float])


def run_main(module: str, *arguments: str) -> bytes:
    """Run `main` of a module in a fresh process; return its standard output.

    Raises `subprocess.CalledProcessError` if the process fails.
    """
    finished = subprocess.run(
        [
            sys.executable,
            '-c',
            f'import {module} as measured; measured.main()',
            *arguments,
        ],
        check=True,
        stdout=subprocess.PIPE,
        cwd=ROOT,
        timeout=MEASUREMENT_TIMEOUT_S,
    )
    return finished.stdout


def print_figures(figures: dict[str, float]) -> None:
    """Write figures to standard output for `run_measurement` to read."""
    sys.stdout.buffer.write(msgspec.json.encode(figures))

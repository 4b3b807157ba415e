"""Measurements that run in a process of their own.

Memory is what the operating system counts for the whole process, so each
size needs a fresh process::

    result = run_probe('fulmarseam.bench.capacity._blocks', 10_000)
"""

import os
import pathlib
import subprocess
import sys

import msgspec

PROBE_TIMEOUT_S = 120.0
BYTES_PER_MB = 1_000_000
ROOT = pathlib.Path(__file__).resolve().parents[3]


def read_resident_bytes() -> int:
    """Return the memory of this process as the operating system counts it."""
    fields = pathlib.Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * os.sysconf('SC_PAGE_SIZE')


def run_probe(module: str, size: int) -> dict[str, float]:
    """Run a module with a size and return the figures that it prints."""
    output = read_output(module, str(size))
    return msgspec.json.decode(output, type=dict[str, float])


def read_output(module: str, *arguments: str) -> bytes:
    """Run `main` of a module; return what it writes to standard output.

    Raises `subprocess.CalledProcessError` when it fails.
    """
    finished = subprocess.run(
        [
            sys.executable,
            '-c',
            f'import {module} as probe; probe.main()',
            *arguments,
        ],
        check=True,
        stdout=subprocess.PIPE,
        cwd=ROOT,
        timeout=PROBE_TIMEOUT_S,
    )
    return finished.stdout


def print_figures(figures: dict[str, float]) -> None:
    """Print figures for `run_probe`."""
    sys.stdout.buffer.write(msgspec.json.encode(figures))

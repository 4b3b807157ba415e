"""Runs a program by its name: `python -m fulmarseam.commands NAME`."""

import importlib
import sys

PROGRAMS = (
    'control',
    'entry',
    'ctl',
    'target',
    'load',
    'faultproxy',
    'bench',
)


def run_program(name: str) -> None:
    """Run the program with the given short name."""
    module = importlib.import_module(f'fulmarseam.commands.{name}')
    module.main()


def run_control() -> None:
    run_program('control')


def run_entry() -> None:
    run_program('entry')


def run_ctl() -> None:
    run_program('ctl')


def run_target() -> None:
    run_program('target')


def run_load() -> None:
    run_program('load')


def run_faultproxy() -> None:
    run_program('faultproxy')


def run_bench() -> None:
    run_program('bench')


def main() -> None:
    """Run the program named by the first argument."""
    if len(sys.argv) < 2 or sys.argv[1] not in PROGRAMS:
        print(
            f'usage: python -m fulmarseam.commands {{{",".join(PROGRAMS)}}}',
            file=sys.stderr,
        )
        sys.exit(2)
    name = sys.argv.pop(1)
    sys.argv[0] = f'fulmarseam-{name}'
    run_program(name)


if __name__ == '__main__':
    main()

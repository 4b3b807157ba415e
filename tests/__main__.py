"""Runs the tests: `python -m tests [NAME ...]`.

Without names all tests run. Tests listed in KNOWN-RED.txt are run and
printed but do not decide the verdict.
"""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


def read_known_red() -> set[str]:
    """Return the ids of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


def load_tests_by_name(names: list[str]) -> unittest.TestSuite:
    """Return the named tests, or all tests."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))


def main() -> int:
    """Run the tests and return the exit code."""
    suite = load_tests_by_name(sys.argv[1:])
    runner = unittest.TextTestRunner(verbosity=2)
    result = runner.run(suite)
    known = read_known_red()
    failed = [test.id() for test, _ in result.failures + result.errors]
    failed += [test.id() for test in result.unexpectedSuccesses]
    unexpected = [name for name in failed if name not in known]
    for name in failed:
        if name in known:
            print(f'known red: {name}')
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f'{passed} passed, {len(unexpected)} failed, {skipped} skipped')
    return 1 if unexpected or not result.testsRun else 0


if __name__ == '__main__':
    sys.exit(main())

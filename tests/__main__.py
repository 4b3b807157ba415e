"""Runs the tests: `python -m tests [NAME ...]`.

Without names all tests run. Tests listed in KNOWN-RED.txt are run and
printed but do not decide the verdict.
"""

import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


SLOWEST_SHOWN = 10


class TimedResult(unittest.TextTestResult):
    """A result that knows how long each test took, in seconds."""

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)  # type: ignore[arg-type]
        self.seconds: dict[str, float] = {}
        self._started = 0.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Note when a test starts."""
        self._started = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Note how long a test took."""
        self.seconds[test.id()] = time.monotonic() - self._started
        super().stopTest(test)

    def list_slowest(self) -> list[tuple[float, str]]:
        """Return the slowest tests with their times."""
        times = ((taken, name) for name, taken in self.seconds.items())
        return sorted(times, reverse=True)[:SLOWEST_SHOWN]


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
    runner = unittest.TextTestRunner(verbosity=2, resultclass=TimedResult)
    result = runner.run(suite)
    assert isinstance(result, TimedResult)
    for taken, name in result.list_slowest():
        print(f'{taken:7.2f} s {name}')
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

"""Tests that replace the processes of the previous release under traffic."""

import asyncio
import pathlib
import tempfile
import unittest

from tests.soak import _builds
from tests.soak import _plan

# The previous release.
OLD_COMMIT = '684e4b2d7c1e'
MEMBERS = [f'core-{number}' for number in range(1, _plan.MEMBERS + 1)]
ENTRIES = [f'edge-{number}' for number in range(1, _plan.ENTRIES + 1)]


class UpgradeTest(unittest.TestCase):
    """Guards against builds that break a guarantee side by side."""

    def play(self, seed: int, steps: list[_builds.Replacement]) -> None:
        """Replace processes of the old build; check all guarantees."""
        with tempfile.TemporaryDirectory() as name:
            directory = pathlib.Path(name)
            old = _builds.extract_build(OLD_COMMIT, directory)
            if old is None:
                self.skipTest(f'the history does not have {OLD_COMMIT}')
            findings = asyncio.run(
                _builds.run_replacements(seed, old, steps, directory)
            )
        self.assertEqual([], findings)

    def test_members_are_replaced_first(self) -> None:
        self.play(1, [_builds.Replacement(name) for name in MEMBERS + ENTRIES])

    def test_entries_are_replaced_first_by_kills(self) -> None:
        self.play(
            2,
            [
                _builds.Replacement(name, is_kill=True)
                for name in ENTRIES + MEMBERS
            ],
        )

    def test_a_mixed_upgrade_and_the_way_back(self) -> None:
        names = [
            *(MEMBERS[:2] + ENTRIES[:1]),
            *(MEMBERS[2:3] + ENTRIES[1:2] + MEMBERS[3:4]),
        ]
        steps = [
            _builds.Replacement(name, is_kill=number % 2 == 0)
            for number, name in enumerate(names)
        ]
        self.play(3, steps + [step._replace(is_new=False) for step in steps])

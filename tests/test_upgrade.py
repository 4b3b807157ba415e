"""Tests that replace the processes of the previous release under traffic."""

import asyncio
import pathlib
import shutil
import tempfile
import unittest

from fulmarseam import control
from fulmarseam import ids
from fulmarseam import settings
from tests import catalog_fixtures as fixtures
from tests.soak import _builds
from tests.soak import _plan

FIXTURES = pathlib.Path(__file__).parent / 'fixtures'
# The address that the stored group has.
MEMBER_HOST = '127.0.8.77'
MEMBER_PORT = 17541
START_TIMEOUT_S = 15.0
# The previous release.
OLD_COMMIT = '684e4b2d7c1e'
MEMBERS = [f'core-{number}' for number in range(1, _plan.MEMBERS + 1)]
ENTRIES = [f'edge-{number}' for number in range(1, _plan.ENTRIES + 1)]


class StoredFormatTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a release that cannot read what an earlier one wrote."""

    # Written by 7d49f32: one pool, one route and one target.
    async def test_a_member_loads_the_disk_of_an_earlier_release(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            shutil.copytree(
                FIXTURES / 'catalog-member-7d49f32', name, dirs_exist_ok=True
            )
            options = settings.CatalogSettings(
                host=ids.HostId('core-1'),
                region=fixtures.region('ost'),
                failure_domain=fixtures.domain('ost-wien'),
                domains={},
                data_dir=name,
                listen=f'{MEMBER_HOST}:{MEMBER_PORT}',
                api=f'{MEMBER_HOST}:1',
                lookups=f'{MEMBER_HOST}:2',
                seeds=[f'{MEMBER_HOST}:1'],
                peer_port=MEMBER_PORT,
                first_start=False,
                tolerated_hosts=0,
                heartbeat=20.0,
            )
            async with (
                asyncio.timeout(START_TIMEOUT_S),
                control.CatalogMember(options) as member,
            ):
                await member.wait_until_current()
                changes = member.catalog.list_changes(0, 0)
        text = repr(changes)
        for name in ('katalog', "'r'", 't0'):
            self.assertIn(name, text)


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

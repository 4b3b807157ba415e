"""Tests of announcements that another writer sends."""

import asyncio
from typing import Any

from fulmarseam import wire
from tests import catalog_fixtures as fixtures
from tests import catalog_member_case


class ForeignAnnouncementTest(catalog_member_case.CatalogMemberCase):
    """Guards against another writer that takes targets out of service.

    Its announcement named a pool that no item has, and the address of a
    target, whose incarnation it ended for good.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        member = self.members()[0]
        for name in ('katalog', 'zustellung'):
            await self.put(member, fixtures.make_pool(name, 1))
            await self.wait_for_item(name)
        self.sequence = 0
        await self.announce_all()

    async def announce_all(self) -> None:
        """Announce both targets as they do themselves."""
        self.sequence += 1
        for name, pool in (('a', 'katalog'), ('b', 'zustellung')):
            await self.members()[1].announce(
                fixtures.make_record(
                    name, pool=pool, born_ms=7, sequence=self.sequence
                )
            )

    async def check_targets(self) -> None:
        """Check that both targets are in use after a foreign announcement."""
        await self.announce_all()
        await self.members()[2].wait_until_current()
        for name, pool in (('a', 'katalog'), ('b', 'zustellung')):
            record = self.members()[2].catalog.targets.get(
                fixtures.target_id(name)
            )
            assert record is not None, name
            self.assertEqual(
                (record.pool, record.address, record.phase),
                (pool, f'{name}:1', wire.TargetPhase.READY),
            )

    async def announce_foreign(self, target: str, **fields: Any) -> None:
        """Announce a target of a pool that is not in force."""
        values = {'pool': 'batch', 'born_ms': 9, 'sequence': 1_000}
        record = fixtures.make_record(target, **(values | fields))
        for member in self.members()[:2]:
            await member.announce(record)

    async def test_at_the_address_of_a_target(self) -> None:
        for target in ('x', 'y', 'x'):
            await self.announce_foreign(target, address='a:1')
        await self.check_targets()

    async def test_at_two_members_at_once(self) -> None:
        await asyncio.gather(
            self.announce_foreign('x', address='a:1'),
            self.announce_foreign('y', address='b:1'),
            self.announce_all(),
        )
        await self.check_targets()

    async def test_under_the_id_of_a_target(self) -> None:
        await self.announce_foreign('a', address='a:1')
        await self.announce_foreign('a', address='a:2')
        await self.announce_foreign('a', address='b:1')
        await self.announce_foreign('b', phase=wire.TargetPhase.DRAINING)
        await self.check_targets()

    async def test_before_the_target_at_its_address(self) -> None:
        await self.announce_foreign('x', address='c:1')
        await self.members()[0].announce(fixtures.make_record('c', born_ms=7))
        await self.announce_foreign('x', address='c:1')
        await self.members()[2].wait_until_current()
        found = self.members()[2].catalog.targets
        self.assertIsNotNone(found.get(fixtures.target_id('c')))
        self.assertIsNone(found.get(fixtures.target_id('x')))

    async def test_a_target_may_come_before_its_pool(self) -> None:
        record = fixtures.make_record('d', pool='later', born_ms=7)
        await self.members()[0].announce(record)
        await self.put(self.members()[0], fixtures.make_pool('later', 1))
        await self.members()[2].wait_until_current()
        found = self.members()[2].catalog.targets
        self.assertIsNotNone(found.get(record.target))

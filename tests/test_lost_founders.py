"""Tests of groups whose founder loses its disk before it has founded them."""

import asyncio
import unittest

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _discovery
from tests import catalog_fixtures as fixtures
from tests import catalog_member_case

# No group is founded before this time has passed.
BEFORE_FOUNDING_S = 0.3
DOWN_S = 0.5


class LostFounderTest(catalog_member_case.CatalogMemberCase):
    """Guards against a system that waits for a founder for ever."""

    async def wait_for_voters(self, count: int, *hosts: str) -> None:
        """Do not wait in the set-up."""
        if self.is_set_up:
            await super().wait_for_voters(count, *hosts)

    async def asyncSetUp(self) -> None:
        self.is_set_up = False
        await super().asyncSetUp()
        self.is_set_up = True
        await asyncio.sleep(BEFORE_FOUNDING_S)

    async def lose(self, *numbers: int) -> None:
        """Let hosts lose their disks and come back."""
        for number in numbers:
            await self.hosts[number].wipe()
        await asyncio.sleep(DOWN_S)
        for number in numbers:
            await self.hosts[number].start()

    async def check_group(self) -> None:
        """Check that the hosts have one group, which takes commands."""
        await self.wait_for_voters(self.founders)
        await self.put(self.members()[0], fixtures.make_pool('p', 1))
        await self.wait_for_item('p')

    # Only the member at the first seed could found the group.
    async def test_the_member_at_the_next_seed_takes_over(self) -> None:
        await self.lose(0)
        await self.check_group()

    async def test_a_founder_that_keeps_its_disk_founds_the_group(
        self,
    ) -> None:
        await self.hosts[0].stop()
        await asyncio.sleep(DOWN_S)
        await self.hosts[0].start()
        await self.check_group()


class TakeoverTest(unittest.TestCase):
    """Guards against two groups, each with a majority of its members."""

    SEEDS = ('a:1', 'b:1')

    def may_take_over(
        self,
        hosts: str,
        without_disk: str,
        unchanged_s: float = 60.0,
        earlier_seeds: tuple[str, ...] = SEEDS[:1],
    ) -> bool:
        candidates = [
            wire.MemberInfo(
                member=ids.MemberId(f'{host}.s'),
                address=f'{host}:1',
                region=fixtures.region('ost'),
                host=ids.HostId(host),
                store='s',
            )
            for host in hosts
        ]
        return _discovery.may_take_over(
            unchanged_s,
            candidates,
            [info for info in candidates if info.host in without_disk],
            earlier_seeds,
            5,
        )

    def test_only_the_earlier_founders_may_be_new(self) -> None:
        self.assertTrue(self.may_take_over('abcde', 'a'))
        self.assertTrue(
            self.may_take_over('abcde', 'ab', earlier_seeds=self.SEEDS)
        )
        self.assertFalse(self.may_take_over('abcde', 'ad'))

    def test_a_host_that_joins_replaces_no_missing_one(self) -> None:
        # The missing one may be in a group of the former founder.
        self.assertFalse(self.may_take_over('abcds', 'as'))
        self.assertFalse(self.may_take_over('abcd', 'a'))
        self.assertFalse(self.may_take_over('abcdes', 'as'))

    def test_records_on_the_way_have_time_to_arrive(self) -> None:
        self.assertFalse(self.may_take_over('abcde', 'a', unchanged_s=1.5))

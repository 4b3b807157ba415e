"""Tests of catalog members that discover each other by seeds."""

import asyncio
import dataclasses
import os
import pathlib
from typing import Any
from unittest import mock

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _storage
from tests import catalog_fixtures as fixtures
from tests import catalog_member_case


class FoundingTest(catalog_member_case.CatalogMemberCase):
    """Guards against a group that does not form or does not agree."""

    async def test_a_command_at_any_member_reaches_all(self) -> None:
        for number, member in enumerate(self.members()):
            name = f'pool-{number}'
            await self.put(member, fixtures.make_pool(name, 1))
            await self.wait_for_item(name)

    async def test_a_refused_command_names_every_problem(self) -> None:
        result = await self.put(
            self.members()[0], fixtures.make_route('r', 1, pool='nowhere')
        )
        self.assertIn('nowhere', result.problems[0])

    async def test_a_pool_that_a_route_names_cannot_be_removed(self) -> None:
        first, second, third = self.members()
        pool = fixtures.make_pool('katalog', 1)
        await self.put(first, pool, fixtures.make_route('r', 1))
        removal = fixtures.make_pool_removal('katalog', 2)
        for member in (first, second, third):
            result = await self.put(member, removal)
            self.assertIn('katalog', ''.join(result.problems))
        drop = fixtures.make_route_removal('r', 2)
        for member in (first, second, third):
            result = await self.put(member, drop, removal)
            self.assertEqual([], result.problems)

    async def test_reading_waits_for_accepted_commands(self) -> None:
        first, second, third = self.members()
        await self.put(first, fixtures.make_pool('katalog', 1))
        for member in (first, second, third):
            await member.wait_until_current()
            self.assertEqual(len(member.catalog.items.list_live()), 1)


class RepairTest(catalog_member_case.CatalogMemberCase):
    """Guards against lost members that are not replaced.

    Members lose their disk, are gone for good, come back after they were
    replaced, or cannot write.
    """

    async def test_a_wiped_member_is_a_voter_again_within_four_seconds(
        self,
    ) -> None:
        await self.put(self.members()[1], fixtures.make_pool('katalog', 1))
        for number in (2, 0, 1):
            host = self.hosts[number]
            await host.wipe()
            await host.start()
            async with asyncio.timeout(4.0):
                await self.wait_for_voters(3, f'core-{number}')
                await self.wait_for_item('katalog')

    async def test_a_new_host_replaces_one_that_is_gone(self) -> None:
        # Number 7 is in the failure domain of number 2.
        await self.put(self.members()[1], fixtures.make_pool('katalog', 1))
        await self.hosts[2].stop()
        self.hosts.append(self.make_host(7))
        await self.hosts[3].start()
        await self.wait_for_voters(3, 'core-0', 'core-1', 'core-7')
        await self.wait_for_item('katalog')

    async def test_a_member_that_was_replaced_comes_back_as_a_new_one(
        self,
    ) -> None:
        former = self.hosts[2].get_member().status().member_id
        await self.hosts[2].stop()
        self.hosts.append(self.make_host(7))
        await self.hosts[3].start()
        await self.wait_for_members('core-0', 'core-1', 'core-7')
        await self.hosts[2].start()
        await self.wait_for_members(
            'core-0', 'core-1', 'core-2', 'core-7', replaced=('core-2',)
        )
        await self.wait_for_voters(3, 'core-7')
        returned = self.hosts[2].get_member().status().member_id
        self.assertNotEqual(former, returned)

    async def test_all_restart_with_stale_seeds(self) -> None:
        await self.put(self.members()[0], fixtures.make_pool('katalog', 1))
        for host in self.hosts:
            await host.stop()
        for host in self.hosts:
            host.options = dataclasses.replace(
                host.options, seeds=['127.0.7.99:1']
            )
            await host.start()
        await self.wait_for_voters(3)
        await self.wait_for_item('katalog')

    # Guards against a search that goes on at seeds that no longer exist.
    async def test_seeds_change_during_the_search(self) -> None:
        host = self.make_host(7)
        host.options = dataclasses.replace(
            host.options, seeds=['127.0.7.99:1']
        )
        self.hosts.append(host)
        await host.start()
        await asyncio.sleep(1.0)
        self.assertEqual(host.get_member().status().group, '')
        host.get_member().update_seeds((self.hosts[0].options.listen,))
        await self.wait_for_voters(3, 'core-7')

    async def test_a_full_disk_ends_no_process(self) -> None:
        full = mock.patch.object(
            _storage.os, 'fdatasync', side_effect=OSError(28, 'no space')
        )
        with full:
            with self.assertRaises(errors.FulmarseamError):
                await self.members()[0].submit(
                    catalog.EvacuateDomain(
                        failure_domain=fixtures.domain('ost'), active=True
                    )
                )
        await self.wait_for_voters(3)
        await self.put(self.members()[0], fixtures.make_pool('katalog', 1))
        await self.wait_for_item('katalog')

    async def test_an_error_at_the_lock_file_keeps_the_files(self) -> None:
        await self.put(self.members()[1], fixtures.make_pool('katalog', 1))
        await self.wait_for_item('katalog')
        host = self.hosts[2]
        await host.stop()
        directory = pathlib.Path(host.options.data_dir)
        identity = (directory / 'identity').read_bytes()
        real_open = os.open
        refused = 0

        def refuse(path: Any, *args: Any, **fields: Any) -> int:
            nonlocal refused
            if str(path) == str(directory / 'lock') and refused < 3:
                refused += 1
                raise OSError(24, 'Too many open files')
            return real_open(path, *args, **fields)

        with mock.patch.object(_storage.os, 'open', refuse):
            await host.start()
            await asyncio.sleep(2.0)
        self.assertEqual(3, refused)
        self.assertEqual(identity, (directory / 'identity').read_bytes())
        await self.wait_for_voters(3, 'core-2')
        await self.wait_for_item('katalog')


class TargetTest(catalog_member_case.CatalogMemberCase):
    """Guards against targets that are dropped too early or too late."""

    async def _wait_for_targets(self, expected: set[str]) -> None:
        async with asyncio.timeout(catalog_member_case.WAIT_S):
            while True:
                found = [
                    {item.target for item in member.catalog.targets.all()}
                    for member in self.members()
                ]
                if all(targets == expected for targets in found):
                    return
                await asyncio.sleep(0.05)

    async def test_a_leave_reaches_all_members_through_any(self) -> None:
        first, second, third = self.members()
        await first.announce(fixtures.make_record('a', born_ms=7))
        await second.announce(fixtures.make_record('b', born_ms=7))
        await self._wait_for_targets({'a', 'b'})
        await third.leave(fixtures.target_id('a'), 0)
        await first.announce(fixtures.make_record('a', born_ms=7, sequence=99))
        await self._wait_for_targets({'b'})

    async def test_a_silent_target_is_dropped_and_a_live_one_kept(
        self,
    ) -> None:
        first, second, _ = self.members()
        for name in 'abc':
            await first.announce(fixtures.make_record(name, born_ms=7))
        # A follower that does not have all three yet would end the loop.
        await self._wait_for_targets(set('abc'))
        async with asyncio.timeout(catalog_member_case.WAIT_S):
            sequence = 1
            while len(second.catalog.targets.all()) != 2:
                sequence += 1
                for name in 'bc':
                    await second.announce(
                        fixtures.make_record(
                            name, born_ms=7, sequence=sequence
                        )
                    )
                await asyncio.sleep(0.3)
        await self._wait_for_targets({'b', 'c'})

    async def test_a_target_that_left_is_confirmed_by_any_two_members(
        self,
    ) -> None:
        first, second, third = self.members()
        await first.announce(fixtures.make_record('a', born_ms=7))
        await second.leave(fixtures.target_id('a'), 0)
        await asyncio.sleep(catalog_member_case.MAX_DELAY_S)
        await third.announce(fixtures.make_record('a', born_ms=8))
        await self._wait_for_targets(set())
        await asyncio.sleep(0.3)
        await first.announce(fixtures.make_record('a', born_ms=8, sequence=2))
        await self._wait_for_targets({'a'})

    async def test_a_member_without_a_leader_refuses_announcements(
        self,
    ) -> None:
        for host in self.hosts[1:]:
            await host.stop()
        member = self.members()[0]
        async with asyncio.timeout(catalog_member_case.WAIT_S):
            while True:
                if not member.has_leader():
                    break
                await asyncio.sleep(0.05)
        with self.assertRaises(errors.FulmarseamError):
            await member.announce(fixtures.make_record('a'))


class FormerIdentityTest(catalog_member_case.CatalogMemberCase):
    """Guards against a wiped member that stops asking to join.

    A message for its former identity bound such a member to the group, so
    it was never added, and the loss of a second disk took the majority.
    """

    async def test_a_message_for_the_former_identity_does_not_bind(
        self,
    ) -> None:
        host = self.hosts[2]
        former = next(
            info
            for info in self.members()[0].status().members
            if info.host == 'core-2'
        )
        group = self.members()[0].status().group
        # Without a leader, no member can add the wiped one meanwhile.
        await host.wipe()
        await self.hosts[1].stop()
        await host.start()
        assert host.member is not None
        message = wire.MemberRequest(
            group=group,
            sender=ids.MemberId('core-0.x'),
            store=former.store,
            body=wire.VoteRequest(
                term=9, last_index=9, last_term=9, pre_vote=False
            ),
        )
        # After 0.1 s the member has learned of the group by discovery.
        for _ in range(10):
            await asyncio.sleep(0.1)
            with self.assertRaises(errors.FulmarseamError):
                await host.member.handle(message)
        self.assertEqual(host.member.status().group, '')
        await self.hosts[1].start()
        await self.wait_for_voters(3, 'core-2')

    async def test_a_member_that_no_other_lists_joins_again(self) -> None:
        """Guards against a member whose addition was lost with the leader."""
        self.hosts.append(self.make_host(7))
        host = self.hosts[3]
        group = self.members()[0].status().group
        storage = _storage.Storage(
            host.options.data_dir, ids.MemberId('core-7.lost')
        )
        identity = storage.open('f' * 32)
        storage.bind(
            identity, wire.Founding(group=group, members=wire.GroupMembers())
        )
        storage.close()
        await host.start()
        # It replaces core-2, which keeps its vote for a moment only.
        await self.wait_for_members(
            'core-0', 'core-1', 'core-2', 'core-7', replaced=('core-2',)
        )
        await self.wait_for_voters(3, 'core-7')

"""Tests of catalog members that discover each other by seeds."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import shutil
import tempfile
from typing import Any
import unittest
from unittest import mock

from fulmarseam import catalog
from fulmarseam import control
from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import wire
from fulmarseam.consensus import _storage
from tests import catalog_fixtures as fixtures
from tests import fakes

WAIT_S = 12.0
HEARTBEAT_S = 0.3
# An announcement may arrive this long, two leases, after it was sent.
MAX_DELAY_S = 2 * (3 * HEARTBEAT_S + 1.0)
# Each member listens on its own address and the same port, like a host.
HOSTS = tuple(f'127.0.7.{number}' for number in range(1, 11))


class Host:
    """A host with its settings, data directory and running member."""

    def __init__(self, options: settings.CatalogSettings) -> None:
        self.options = options
        self.member: control.CatalogMember | None = None
        self._stack = contextlib.AsyncExitStack()

    async def start(self) -> None:
        """Start the member."""
        self._stack = contextlib.AsyncExitStack()
        self.member = await self._stack.enter_async_context(
            control.CatalogMember(self.options)
        )

    async def terminate(self) -> None:
        """End the member like the signal to stop."""
        assert self.member is not None
        await self.member.leave_group()
        await self.stop()

    async def stop(self) -> None:
        """Stop the member without telling the group."""
        self.member = None
        await self._stack.aclose()

    async def wipe(self) -> None:
        """Lose the disk, after which the platform unsets `first_start`."""
        await self.stop()
        shutil.rmtree(self.options.data_dir)
        self.options = dataclasses.replace(self.options, first_start=False)


class CatalogMemberCase(unittest.IsolatedAsyncioTestCase):
    """Runs a group that tolerates the loss of one member of three."""

    tolerated_hosts = 1

    @property
    def founders(self) -> int:
        """Return the number of members that found the group."""
        return 2 * self.tolerated_hosts + 1

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.port = int(fakes.find_free_address().rpartition(':')[2])
        self.hosts = [self.make_host(n) for n in range(self.founders)]
        # The founder starts last, since none may depend on it to listen.
        for host in reversed(self.hosts):
            await host.start()
        await self.wait_for_voters(self.founders)

    async def asyncTearDown(self) -> None:
        for host in self.hosts:
            await host.stop()

    def make_host(self, number: int) -> Host:
        """Return a host that knows the first two as seeds."""
        return Host(
            settings.CatalogSettings(
                host=ids.HostId(f'core-{number}'),
                region=fixtures.region('ost'),
                failure_domain=fixtures.domain(f'domain-{number % 5}'),
                domains={},
                data_dir=str(self.directory / str(number)),
                listen=f'{HOSTS[number]}:{self.port}',
                api=f'{HOSTS[number]}:1',
                lookups=f'{HOSTS[number]}:2',
                seeds=[f'{HOSTS[0]}:1', f'{HOSTS[1]}:1'],
                peer_port=self.port,
                first_start=number < self.founders,
                tolerated_hosts=self.tolerated_hosts,
                heartbeat=HEARTBEAT_S,
            )
        )

    def members(self) -> list[control.CatalogMember]:
        """Return the members that run."""
        return [host.member for host in self.hosts if host.member]

    def find_voters(self) -> set[str]:
        """Return the hosts of the voters, when all members list the same.

        A change that only the leader has may still be lost with it, so the
        new voter counts only once all members list it.
        """
        lists = []
        for member in self.members():
            try:
                members = member.status().members
            except errors.FulmarseamError:
                return set()
            lists.append({str(info.host) for info in members if info.voter})
        has_leader = any(member.is_leader() for member in self.members())
        is_agreed = all(voters == lists[0] for voters in lists)
        return lists[0] if has_leader and is_agreed else set()

    async def wait_for_voters(self, count: int, *hosts: str) -> None:
        """Wait for that many voters, including those of `hosts`."""
        async with asyncio.timeout(WAIT_S):
            while True:
                voters = self.find_voters()
                if len(voters) == count and voters.issuperset(hosts):
                    return
                await asyncio.sleep(0.05)

    async def put(
        self, member: control.CatalogMember, *items: wire.Item
    ) -> wire.CatalogResult:
        """Submit items, and retry as an operator does."""
        command = catalog.PutItems(
            items=list(items), digest=repr(items).encode()
        )
        async with asyncio.timeout(WAIT_S):
            while True:
                with contextlib.suppress(errors.FulmarseamError):
                    return await member.submit(command)

    async def wait_for_item(self, name: str) -> None:
        """Wait until all running members hold an item."""
        async with asyncio.timeout(WAIT_S):
            while True:
                names = [
                    {item.name for item in member.catalog.items.list_live()}
                    for member in self.members()
                ]
                if all(name in found for found in names):
                    return
                await asyncio.sleep(0.05)


class FoundingTest(CatalogMemberCase):
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


class RepairTest(CatalogMemberCase):
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
        await self.hosts[2].stop()
        self.hosts.append(self.make_host(7))
        await self.hosts[3].start()
        await self.wait_for_voters(3, 'core-7')
        await self.hosts[2].start()
        await self.wait_for_voters(4, 'core-2', 'core-7')

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


class OutdatedListTest(CatalogMemberCase):
    """Guards against a sound member that deletes its data.

    It had lost its disk while another member was down. After all had lost
    power, only that one answered it, with a list of before.
    """

    tolerated_hosts = 2

    async def test_an_older_list_does_not_end_a_member(self) -> None:
        first, second, third, absent, wiped = self.hosts
        await absent.stop()
        await wiped.wipe()
        await wiped.start()
        await self.wait_for_voters(5, 'core-4')
        former = self.find_member_id(wiped)
        await self.put(self.members()[0], fixtures.make_pool('katalog', 1))
        for host in (first, second, third, wiped):
            await host.stop()
        await wiped.start()
        await absent.start()
        # Five checks, of which each takes 0.7 s if a member does not answer.
        await asyncio.sleep(3.5)
        self.assertEqual(self.find_member_id(wiped), former)
        # The first host stays the seed that the others can find.
        for host in (second, third):
            await host.wipe()
        for host in (first, second, third):
            await host.start()
        await self.wait_for_voters(5)
        await self.wait_for_item('katalog')

    def find_member_id(self, host: Host) -> ids.MemberId:
        """Return the id of the running member of a host."""
        assert host.member is not None
        return host.member.status().member_id


class AbsentMemberTest(CatalogMemberCase):
    """Guards against a member without power that loses its vote."""

    tolerated_hosts = 2

    async def test_it_stays_a_voter_while_another_one_is_replaced(
        self,
    ) -> None:
        absent, replaced = self.hosts[3:]
        await absent.stop()
        # It has been silent for longer than the one that is to go.
        await asyncio.sleep(2.0)
        # Number 9 is in the failure domain of number 4.
        self.hosts.append(self.make_host(9))
        await self.hosts[5].start()
        await self.wait_for_voters(6, 'core-9')
        await asyncio.sleep(2.0)
        await replaced.stop()
        await self.wait_for_voters(5, 'core-3', 'core-9')


class ReplacedMemberTest(CatalogMemberCase):
    """Guards against a member that ended and counts as a voter.

    It was removed 1.5 s later, and until then the group could not bear the
    losses that it has to, although its successor had caught up.
    """

    async def replace(self, is_leader: bool) -> None:
        """Replace a member, then wipe another one at once."""
        await self.put(self.members()[0], fixtures.make_pool('katalog', 1))
        number = next(
            number
            for number, member in enumerate(self.members())
            if member.is_leader() == is_leader
        )
        replaced = self.hosts[number]
        # In the failure domain of the replaced one.
        self.hosts.append(self.make_host(number + 5))
        await self.hosts[3].start()
        await self.wait_for_voters(4)
        await replaced.terminate()
        remaining = [host for host in self.hosts if host is not replaced]
        # One host stays that the wiped one knows as a seed.
        await remaining[1].wipe()
        # Long enough for a leader without a majority to step down.
        await asyncio.sleep(1.5)
        await remaining[1].start()
        await self.wait_for_voters(3, f'core-{number + 5}')
        await self.wait_for_item('katalog')

    async def test_a_follower_leaves_before_it_ends(self) -> None:
        await self.replace(is_leader=False)

    async def test_a_leader_leaves_before_it_ends(self) -> None:
        await self.replace(is_leader=True)

    async def test_a_member_that_starts_again_stays(self) -> None:
        before = self.members()[0].status().members
        await self.hosts[2].terminate()
        await self.hosts[2].start()
        await self.wait_for_voters(3, 'core-2')
        self.assertEqual(self.members()[0].status().members, before)


class TargetTest(CatalogMemberCase):
    """Guards against targets that are dropped too early or too late."""

    async def _wait_for_targets(self, expected: set[str]) -> None:
        async with asyncio.timeout(WAIT_S):
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
        async with asyncio.timeout(WAIT_S):
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
        await asyncio.sleep(MAX_DELAY_S)
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
        async with asyncio.timeout(WAIT_S):
            while True:
                if not member.has_leader():
                    break
                await asyncio.sleep(0.05)
        with self.assertRaises(errors.FulmarseamError):
            await member.announce(fixtures.make_record('a'))


class ForeignAnnouncementTest(CatalogMemberCase):
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


class FormerIdentityTest(CatalogMemberCase):
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
        await self.wait_for_voters(4, 'core-7')

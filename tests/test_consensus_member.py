"""Tests of members that communicate over loopback."""

import asyncio
from collections.abc import Callable
import contextlib
import os
import pathlib
import shutil
import tempfile
import unittest
from unittest import mock

from fulmarseam import consensus
from fulmarseam import errors
from fulmarseam import settings
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.consensus import _core_founding
from fulmarseam.consensus import _runtime_driver
from fulmarseam.consensus import _runtime_peers
from fulmarseam.consensus import _storage
from tests import test_transport

WAIT_S = 10.0


class RecordingStateMachine:
    """Records the commands it has applied."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, command: bytes) -> bytes:
        if command == b'raise':
            raise ValueError('command failed')
        self.commands.append(command)
        return b'%d' % len(self.commands)

    def snapshot(self) -> bytes:
        return b'\n'.join(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = data.split(b'\n') if data else []


class Host:
    """A member with its RPC server."""

    def __init__(self, options: consensus.MemberSettings) -> None:
        self.options = options
        self.machine = RecordingStateMachine()
        self.member = consensus.Member(options, self.machine)
        self.exit = mock.Mock()
        self.member._exit = self.exit
        self._stack = contextlib.AsyncExitStack()
        self.is_running = False

    async def start(self) -> None:
        await self._stack.enter_async_context(self.member)
        await self._stack.enter_async_context(
            transport.RpcServer(self.options.address, self.member.handle)
        )
        self.is_running = True

    async def stop(self) -> None:
        self.is_running = False
        await self._stack.aclose()


class MemberTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs a group; a small `snapshot_every` makes members take snapshots."""

    size = 3

    async def asyncSetUp(self) -> None:
        # In debug mode of the event loop a proposal takes ten times as long.
        asyncio.get_running_loop().set_debug(False)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.members = {
            f'c{number}': settings.MemberAddress(
                address=test_transport.find_free_address(), region='r'
            )
            for number in range(self.size)
        }
        self.hosts: dict[str, Host] = {}

    async def asyncTearDown(self) -> None:
        for host in self.hosts.values():
            if host.is_running:
                await host.stop()

    async def start(self, name: str) -> Host:
        """Start a member; any other than an initial member joins the group."""
        initial = self.members.get(name)
        address = (
            initial.address if initial else test_transport.find_free_address()
        )
        host = Host(
            consensus.MemberSettings(
                member_id=name,
                region='r',
                address=address,
                data_dir=str(self.directory / name),
                members=self.members,
                join=initial is None,
                heartbeat_s=0.05,
                election_min_s=0.25,
                election_max_s=0.5,
                snapshot_every=50,
            )
        )
        self.hosts[name] = host
        await host.start()
        return host

    async def start_group(self) -> Host:
        for name in self.members:
            await self.start(name)
        return await self.find_leader()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while True:
                if condition():
                    return
                await asyncio.sleep(0.02)

    def list_leaders(self) -> list[Host]:
        return [
            host
            for host in self.hosts.values()
            if host.is_running and host.member.leadership_age() is not None
        ]

    async def find_leader(self) -> Host:
        await self.wait_until(lambda: bool(self.list_leaders()))
        return self.list_leaders()[0]

    async def wait_for_voters(self, leader: Host, *names: str) -> None:
        def has_voters() -> bool:
            members = leader.member.status().members
            voters = {info.member for info in members if info.voter}
            return voters == set(names)

        await self.wait_until(has_voters)

    def list_followers(self, leader: Host) -> list[Host]:
        return [host for host in self.hosts.values() if host is not leader]


class GroupTest(MemberTestCase):
    """Guards against a group that loses entries or stays without leader."""

    async def test_commands_reach_all_machines_in_order(self) -> None:
        leader = await self.start_group()
        results = await asyncio.gather(
            *(leader.member.propose(b'%d' % number) for number in range(200))
        )
        self.assertEqual([b'%d' % n for n in range(1, 201)], list(results))
        machines = [host.machine for host in self.hosts.values()]
        await self.wait_until(
            lambda: all(len(machine.commands) == 200 for machine in machines)
        )
        for machine in machines:
            self.assertEqual(leader.machine.commands, machine.commands)
        self.assertGreaterEqual(leader.member.status().snapshot_index, 50)

    async def test_follower_names_the_leader(self) -> None:
        leader = await self.start_group()
        follower = self.list_followers(leader)[0]
        with self.assertRaises(errors.NotLeaderError) as caught:
            await follower.member.propose(b'x')
        self.assertEqual(leader.options.member_id, caught.exception.leader)
        with self.assertRaises(errors.NotLeaderError):
            await follower.member.confirm_leadership()
        self.assertIsNone(follower.member.leadership_age())

    async def test_new_leader_has_every_accepted_command(self) -> None:
        old = await self.start_group()
        for number in range(20):
            await old.member.propose(b'%d' % number)
        await old.stop()
        self.assertIsNone(old.member.leading_term())
        new = await self.find_leader()
        self.assertEqual(20, len(new.machine.commands))
        await self.start(old.options.member_id)
        await new.member.propose(b'last')
        await new.member.confirm_leadership()

    async def test_leadership_changes_are_reported(self) -> None:
        leader = await self.start_group()
        term = await leader.member.wait_leadership_change(None)
        self.assertEqual(leader.member.status().term, term)
        for follower in self.list_followers(leader):
            await follower.stop()
        async with asyncio.timeout(WAIT_S):
            ended = await leader.member.wait_leadership_change(term)
        self.assertIsNone(ended)

    async def test_proposal_without_a_majority_is_uncertain(self) -> None:
        leader = await self.start_group()
        for follower in self.list_followers(leader):
            await follower.stop()
        confirmation = asyncio.create_task(leader.member.confirm_leadership())
        with self.assertRaises(errors.ProposalUncertainError):
            async with asyncio.timeout(WAIT_S):
                await leader.member.propose(b'x')
        with self.assertRaises(errors.NotLeaderError):
            await confirmation
        self.assertIsNone(leader.member.leadership_age())

    async def test_restarted_group_keeps_its_state(self) -> None:
        leader = await self.start_group()
        for number in range(70):
            await leader.member.propose(b'%d' % number)
        for host in self.hosts.values():
            await host.stop()
        leader = await self.start_group()
        self.assertEqual(70, len(leader.machine.commands))

    async def test_first_start_waits_for_all_initial_members(self) -> None:
        for name in ('c0', 'c1'):
            await self.start(name)
        await asyncio.sleep(1.0)
        self.assertEqual('', self.hosts['c0'].member.status().group)
        await self.start('c2')
        await self.find_leader()

    async def test_other_messages_are_refused(self) -> None:
        leader = await self.start_group()
        with self.assertRaises(errors.WireError):
            await leader.member.handle(wire.Ok())
        request = wire.MemberRequest(
            group='other',
            sender='c9',
            store='other',
            body=wire.VoteRequest(
                term=99, last_index=99, last_term=99, pre_vote=False
            ),
        )
        with self.assertRaises(errors.FulmarseamError):
            await leader.member.handle(request)
        self.assertLess(leader.member.status().term, 99)

    async def test_too_large_command_is_refused(self) -> None:
        leader = await self.start_group()
        with self.assertRaises(errors.FulmarseamError) as caught:
            await leader.member.propose(bytes(5 * 1024 * 1024))
        self.assertIs(errors.ErrorKind.BODY_TOO_LARGE, caught.exception.kind)


class ReplacementTest(MemberTestCase):
    """Guards against members that vote although they lost their state."""

    async def test_wiped_member_never_votes(self) -> None:
        leader = await self.start_group()
        first, second = self.list_followers(leader)
        await first.stop()
        await leader.member.propose(b'x')
        shutil.rmtree(first.options.data_dir)
        await second.stop()
        wiped = await self.start(first.options.member_id)
        with self.assertRaises(errors.DamagedDataError) as caught:
            async with asyncio.timeout(WAIT_S):
                await wiped.member.wait_failed()
        self.assertIn('new member_id', caught.exception.detail)
        await asyncio.sleep(1.5)
        self.assertIsNone(leader.member.leading_term())
        await self.start(second.options.member_id)
        self.assertIn(b'x', (await self.find_leader()).machine.commands)

    async def test_all_wiped_but_one_do_not_found_a_new_group(self) -> None:
        leader = await self.start_group()
        followers = self.list_followers(leader)
        for host in followers:
            await host.stop()
            shutil.rmtree(host.options.data_dir)
        for host in followers:
            wiped = await self.start(host.options.member_id)
            with self.assertRaises(errors.DamagedDataError):
                async with asyncio.timeout(WAIT_S):
                    await wiped.member.wait_failed()

    async def test_new_member_catches_up_by_snapshot_and_votes(self) -> None:
        leader = await self.start_group()
        for number in range(220):
            await leader.member.propose(b'%d' % number)
        removed = self.list_followers(leader)[0]
        await removed.stop()
        await leader.member.remove_member(removed.options.member_id)
        newcomer = await self.start('c3')
        await leader.member.add_member('c3', newcomer.options.address, 'r')
        remaining = set(self.members) - {removed.options.member_id}
        await self.wait_for_voters(leader, *remaining, 'c3')
        self.assertGreater(newcomer.member.status().first_index, 1)
        await leader.stop()
        new = await self.find_leader()
        self.assertEqual(220, len(new.machine.commands))
        await newcomer.stop()
        restarted = await self.start('c3')
        await self.wait_until(lambda: len(restarted.machine.commands) == 220)

    async def test_wrong_newcomers_are_refused(self) -> None:
        leader = await self.start_group()
        other = self.list_followers(leader)[0]
        newcomer = await self.start('c3')
        cases = (('c4', newcomer), ('c3', other))
        for name, host in cases:
            with self.subTest(name=name):
                with self.assertRaises(errors.FulmarseamError) as caught:
                    await leader.member.add_member(
                        name, host.options.address, 'r'
                    )
                self.assertIs(
                    errors.ErrorKind.INVALID_EDIT, caught.exception.kind
                )


class FoundingTest(unittest.TestCase):
    """Guards against a second group, and against wiped or removed members."""

    def setUp(self) -> None:
        self.initial = {
            f'c{number}': settings.MemberAddress(
                address=f'127.0.0.1:{7001 + number}', region='r'
            )
            for number in range(3)
        }
        self.founding = wire.Founding(
            group='g',
            members=wire.GroupMembers(
                [
                    self.make_info(name, f'store-{name}')
                    for name in self.initial
                ]
            ),
        )

    def make_info(self, name: str, store: str) -> wire.MemberInfo:
        return wire.MemberInfo(
            member=name, address='', region='r', store=store
        )

    def make_response(
        self,
        name: str,
        founding: wire.Founding | None = None,
        members: wire.GroupMembers | None = None,
    ) -> wire.IdentityResponse:
        initial_members = founding.members if founding else wire.GroupMembers()
        return wire.IdentityResponse(
            member=name,
            store=f'store-{name}',
            group=founding.group if founding else '',
            members=members or initial_members,
            founding=founding,
        )

    def decide(
        self,
        name: str,
        store: str,
        *answers: wire.IdentityResponse,
        join: bool = False,
    ) -> _core_founding.BindingDecision:
        identity = _core_founding.Identity(name, store)
        return _core_founding.decide_binding(
            identity, self.initial, join, answers, 'new'
        )

    def test_group_is_founded_once_by_all(self) -> None:
        first, second = self.make_response('c1'), self.make_response('c2')
        undecided = _core_founding.BindingDecision()
        self.assertEqual(undecided, self.decide('c0', 'store-c0', first))
        self.assertEqual(
            undecided,
            self.decide('c1', 'store-c1', self.make_response('c0'), second),
        )
        self.assertEqual(
            undecided, self.decide('c0', 'store-c0', first, second, join=True)
        )
        founded = self.decide('c0', 'store-c0', first, second).founding
        assert founded is not None
        self.assertEqual('new', founded.group)
        self.assertEqual(
            ['store-c0', 'store-c1', 'store-c2'],
            [info.store for info in founded.members.members],
        )

    def test_new_member_follows_a_founding_that_names_it(self) -> None:
        response = self.make_response('c0', self.founding)
        decision = self.decide('c1', 'store-c1', response)
        self.assertEqual(self.founding, decision.founding)

    def test_wiped_member_is_refused(self) -> None:
        response = self.make_response('c1', self.founding)
        for join in (False, True):
            decision = self.decide(
                'c0', 'other', response, self.make_response('c2'), join=join
            )
            self.assertIsNone(decision.founding)
            self.assertIn('new member_id', decision.refusal or '')

    def test_removed_member_is_refused(self) -> None:
        members = wire.GroupMembers([], ['c0'])
        response = self.make_response('c1', self.founding, members)
        decision = self.decide('c0', 'store-c0', response)
        self.assertIsNotNone(decision.refusal)


class AddresseeTest(MemberTestCase):
    """Guards against accepting messages meant for a lost directory."""

    async def test_new_directory_refuses_messages_for_another(self) -> None:
        for name in ('c0', 'c9'):
            with self.subTest(name=name):
                host = await self.start(name)
                request = wire.MemberRequest(
                    group='g',
                    sender='c1',
                    store='lost',
                    body=wire.VoteRequest(
                        term=1, last_index=0, last_term=0, pre_vote=False
                    ),
                )
                with self.assertRaises(errors.DamagedDataError):
                    await host.member.handle(request)
                with self.assertRaises(errors.DamagedDataError):
                    await host.member.wait_failed()


class PeersTest(unittest.IsolatedAsyncioTestCase):
    """Guards against keeping a connection that is dead after a partition."""

    async def test_silent_connection_is_replaced(self) -> None:
        connections = 0

        async def read_without_answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal connections
            connections += 1
            await reader.read()
            writer.close()

        server = await asyncio.start_server(
            read_without_answer, '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        peers = _runtime_peers.PeerClients(
            'c0', 0.05, lambda sender, body: None
        )
        body = wire.VoteRequest(
            term=1, last_index=0, last_term=0, pre_vote=True
        )
        with mock.patch.object(_runtime_peers, 'RECONNECT_AFTER_S', 0.2):
            peers.update({'c1': (f'127.0.0.1:{port}', 'store')})
            for _ in range(40):
                peers.send('group', 'c1', body)
                await asyncio.sleep(0.02)
        await peers.close()
        server.close()
        self.assertGreaterEqual(connections, 2)


class ProcessEndTest(MemberTestCase):
    """Guards against members that keep running after a failure."""

    size = 1

    async def test_failed_sync_ends_the_process(self) -> None:
        host = await self.start_group()
        failure = OSError(5, 'Input/output error')
        with mock.patch.object(os, 'fdatasync', side_effect=failure):
            with self.assertRaises(errors.FulmarseamError):
                await host.member.propose(b'x')
        host.exit.assert_called_once_with(1)
        self.assertEqual([], host.machine.commands)

    async def test_large_commands_are_compacted_early(self) -> None:
        """Without a byte limit, a log of few large entries grows unbounded."""
        host = await self.start_group()
        with mock.patch.object(
            _runtime_driver, 'MAX_BYTES_BEFORE_SNAPSHOT', 1_000
        ):
            for _ in range(3):
                await host.member.propose(bytes(600))
        self.assertGreater(host.member.status().snapshot_index, 0)

    async def test_fault_of_the_machine_ends_the_process(self) -> None:
        host = await self.start_group()
        with self.assertRaises(errors.FulmarseamError):
            await host.member.propose(b'raise')
        host.exit.assert_called_once_with(1)

    async def test_failed_first_write_ends_the_process(self) -> None:
        failure = OSError(28, 'No space left on device')
        with mock.patch.object(os, 'fsync', side_effect=failure):
            with self.assertRaises(_storage.StorageFailedError):
                await self.start('c0')
        self.hosts['c0'].exit.assert_called_once_with(1)

"""Tests of control daemons in one process, over loopback."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import tempfile
import time
import unittest
from unittest import mock

import msgspec

from fulmarseam import control
from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.commands import _ctl_client
from tests import control_fixtures as fixtures

START_TIMEOUT_S = 10.0


class GroupCase(unittest.IsolatedAsyncioTestCase):
    """A control group of daemons on one event loop."""

    count = 1

    async def asyncSetUp(self) -> None:
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        directory = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.clients: dict[str, transport.RpcClient] = {}
        self.daemons: dict[str, control.Daemon] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.options: dict[str, settings.ControlSettings] = {}
        for content in fixtures.make_group_settings(directory, self.count):
            options = fixtures.parse_control_settings(content)
            self.options[options.member_id] = options
            self.clients[
                options.member_id
            ] = await self.stack.enter_async_context(
                transport.RpcClient(options.listen)
            )
        self.stack.push_async_callback(self.stop_all)
        for member in self.options:
            self.start(member)
        self.leader = await self.find_leader()

    def start(self, member: str) -> None:
        daemon = control.Daemon(self.options[member])
        self.daemons[member] = daemon
        self.tasks[member] = asyncio.create_task(daemon.run())

    async def stop(self, member: str) -> None:
        self.daemons[member].stop()
        await self.tasks.pop(member)

    async def stop_all(self) -> None:
        for member in list(self.tasks):
            await self.stop(member)

    async def find_leader(self) -> str:
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            for member in self.tasks:
                if self.daemons[member].member.leadership_age() is not None:
                    return member
            await asyncio.sleep(0.02)
        raise AssertionError('no leader was elected')

    async def call(
        self, message: wire.Message, member: str | None = None
    ) -> wire.Message:
        return await self.clients[member or self.leader].call(message, 5.0)

    async def sync(self, request: wire.SyncRequest) -> wire.SyncResponse:
        answer = await self.call(request)
        assert isinstance(answer, wire.SyncResponse), answer
        return answer

    async def sync_until_unchanged(
        self, *targets: wire.TargetReport
    ) -> wire.SyncResponse:
        """Sync until two responses in a row bring no new revision."""
        answer = await self.sync(
            fixtures.make_request(announcements=targets, wait_ms=0)
        )
        quiet = 0
        while quiet < 2:
            previous = answer
            answer = await self.sync(fixtures.make_request(answer=answer))
            same = answer.revision == previous.revision
            quiet = quiet + 1 if same else 0
        return answer

    async def edit(self, edit_id: str, queue_limit: int = 1) -> wire.Message:
        pool = wire.Pool(
            name=ids.PoolName('katalog'),
            queue_limit=queue_limit,
            max_deadline_ms=100,
        )
        table = wire.TableName.POOLS
        found = await self.call(wire.TablesRequest(tables=[table]))
        assert isinstance(found, wire.TablesResponse), found
        return await self.call(
            wire.Edit(
                edit_id=ids.EditId(edit_id),
                base=found.versions,
                changes=[wire.Change(table, pool.name, pool)],
            )
        )


class SyncTest(GroupCase):
    """Guards against entries that get changes late, not at all or reverted.

    The leader holds sync requests until something changes, and it sends
    only the rows changed since the version that the entry reports.
    """

    async def test_entry_gets_tables_targets_and_grants(self) -> None:
        await self.edit('a')
        target = fixtures.make_target('t1', slots=4)
        first = await self.sync(
            fixtures.make_request(announcements=[target], wanted=2)
        )
        self.assertEqual((1, 1), (first.revision, len(first.changes)))
        self.assertEqual([target], [row.report for row in first.targets])
        self.assertEqual(['e1'], [row.info.entry for row in first.entries])
        answer = first
        end = time.monotonic() + 2 * first.grant_ttl_ms / 1_000
        while not sum(grant.slots for grant in answer.grants):
            # A new leader issues no grants until former ones have expired.
            self.assertLess(time.monotonic(), end)
            await asyncio.sleep(0.1)
            target = msgspec.structs.replace(
                target, sequence=target.sequence + 1
            )
            answer = await self.sync(
                fixtures.make_request(
                    answer=answer, announcements=[target], wanted=2
                )
            )
        self.assertEqual(['t1'], [grant.target for grant in answer.grants])
        self.assertLessEqual(answer.grants[0].slots, 4)

    async def test_response_is_held_until_something_changes(
        self,
    ) -> None:
        await self.edit('a')
        answer = await self.sync_until_unchanged()
        started = time.monotonic()
        held = await self.sync(fixtures.make_request(answer=answer))
        self.assertGreater(time.monotonic() - started, 0.3)
        self.assertEqual([], held.changes)
        poll = asyncio.create_task(
            self.sync(fixtures.make_request(answer=held))
        )
        await asyncio.sleep(0.05)
        started = time.monotonic()
        edited = await self.edit('b', queue_limit=2)
        woken = await poll
        assert isinstance(edited, wire.EditResult)
        self.assertEqual(edited.revision, woken.revision)
        self.assertEqual((False, 1), (woken.full, len(woken.changes)))
        self.assertLess(time.monotonic() - started, 0.3)

    async def test_entry_rows_are_sent_only_when_they_changed(self) -> None:
        answer = await self.sync_until_unchanged()
        self.assertEqual([], answer.entries)
        poll = asyncio.create_task(
            self.sync(fixtures.make_request(answer=answer))
        )
        await asyncio.sleep(0.05)
        await self.sync(
            fixtures.make_request(fixtures.make_info('e2'), wait_ms=0)
        )
        for changed in (
            await self.sync(fixtures.make_request(answer=answer)),
            await poll,
        ):
            self.assertFalse(changed.entries_full)
            self.assertEqual(
                ['e2'], [row.info.entry for row in changed.entries]
            )
        anew = await self.sync(fixtures.make_request(wait_ms=0))
        self.assertTrue(anew.entries_full)
        self.assertEqual(
            ['e1', 'e2'], [row.info.entry for row in anew.entries]
        )

    async def test_answer_carries_the_age_of_the_leadership(self) -> None:
        answer = await self.sync(fixtures.make_request(wait_ms=0))
        self.assertGreaterEqual(answer.leadership_age_ms, 0)
        self.assertLess(answer.leadership_age_ms, 600)

    async def test_older_incarnation_is_refused(self) -> None:
        await self.sync(
            fixtures.make_request(fixtures.make_info(incarnation=5), wait_ms=0)
        )
        answer = await self.call(
            fixtures.make_request(fixtures.make_info(incarnation=4), wait_ms=0)
        )
        assert isinstance(answer, wire.Failure)
        self.assertEqual('version_conflict', answer.kind)

    async def test_entry_ahead_gets_no_older_tables(self) -> None:
        await self.edit('a')
        answer = await self.sync(fixtures.make_request(revision=9, wait_ms=0))
        self.assertEqual((False, []), (answer.full, answer.changes))

    async def test_unexpected_message_is_refused(self) -> None:
        answer = await self.call(wire.Ok())
        assert isinstance(answer, wire.Failure)
        self.assertEqual('malformed_message', answer.kind)

    async def test_metrics_page_counts_edits(self) -> None:
        await self.edit('a')
        page = await self.fetch('/metrics')
        self.assertIn('fulmarseam_edits_total{kind="accepted"} 1', page)
        self.assertIn('fulmarseam_leading 1', page)
        self.assertIn('404', await self.fetch('/other'))

    async def fetch(self, path: str) -> str:
        host, _, port = self.options[self.leader].api.partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f'GET {path} HTTP/1.1\r\nhost: x\r\n'
            f'connection: close\r\n\r\n'.encode()
        )
        page = await reader.read()
        writer.close()
        return page.decode()

    async def test_fleet_shows_progress_of_entries(self) -> None:
        await self.edit('a')
        await self.sync(
            fixtures.make_request(
                uses=[fixtures.make_slot_use('t1', 2, 1)],
                announcements=[fixtures.make_target('t1')],
                wait_ms=0,
            )
        )
        fleet = await self.call(wire.FleetRequest())
        assert isinstance(fleet, wire.FleetResponse)
        self.assertEqual(
            (0, 1), (fleet.entries[0].revision, fleet.entries[0].in_flight)
        )
        self.assertEqual(
            (2, 1), (fleet.targets[0].granted, fleet.targets[0].in_flight)
        )


class LateRequestTest(GroupCase):
    """Guards against requests of operators that undo later ones.

    A restore that reached the leader only after its operator had given up
    replaced the edits that had been accepted meanwhile.
    """

    async def read_queue_limit(self) -> int:
        """Return the queue limit in force."""
        found = await self.call(
            wire.TablesRequest(tables=[wire.TableName.POOLS])
        )
        assert isinstance(found, wire.TablesResponse), found
        (change,) = found.changes
        assert isinstance(change.row, wire.Pool)
        return change.row.queue_limit

    async def make_restore(self) -> wire.Restore:
        """Return a restore of the tables in force."""
        found = await self.call(wire.TablesRequest())
        assert isinstance(found, wire.TablesResponse), found
        export = wire.Export(
            revision=found.revision,
            changes=found.changes,
            blocks=found.blocks,
        )
        return wire.Restore(edit_id=ids.EditId('restore'), export=export)

    @contextlib.asynccontextmanager
    async def open_client(self) -> AsyncIterator[_ctl_client.AdminClient]:
        """Open a client of the operator's tool that gives up early."""
        options = settings.CtlSettings(
            control={self.leader: self.options[self.leader].listen},
            timeout_ms=400,
            call_timeout_ms=300,
        )
        async with _ctl_client.AdminClient(options) as admin:
            yield admin

    async def test_a_restore_that_comes_late_is_refused(self) -> None:
        await self.edit('first', queue_limit=1)
        restore = await self.make_restore()
        held: list[wire.Message] = []
        real_call = transport.RpcClient.call

        async def hold(
            rpc_client: transport.RpcClient,
            message: wire.Message,
            timeout_s: float,
        ) -> wire.Message:
            if isinstance(message, wire.StatusRequest):
                return await real_call(rpc_client, message, timeout_s)
            held.append(message)
            await asyncio.sleep(timeout_s)
            raise errors.TransportError('no answer')

        async with self.open_client() as admin:
            with (
                mock.patch.object(transport.RpcClient, 'call', hold),
                self.assertRaises(errors.FulmarseamError),
            ):
                await admin.call(restore)
        await self.edit('second', queue_limit=2)
        self.assertTrue(held)
        for message in held:
            answer = await self.call(message)
            assert isinstance(answer, wire.Failure), answer
            self.assertEqual(errors.ErrorKind.UNAVAILABLE.value, answer.kind)
        self.assertEqual(2, await self.read_queue_limit())

    async def test_a_restore_in_time_is_carried_out(self) -> None:
        await self.edit('first', queue_limit=1)
        restore = await self.make_restore()
        await self.edit('second', queue_limit=2)
        async with self.open_client() as admin:
            answer = await admin.call(restore)
        assert isinstance(answer, wire.EditResult), answer
        self.assertIsNone(answer.kind)
        self.assertEqual(1, await self.read_queue_limit())

    async def test_a_request_of_an_earlier_term_is_refused(self) -> None:
        status = await self.call(wire.StatusRequest())
        assert isinstance(status, wire.StatusResponse), status
        answer = await self.call(
            wire.TimedRequest(
                term=status.term - 1,
                expires_ms=status.clock_ms + 60_000,
                request=wire.encode(wire.MemberRemove(member=self.leader)),
            )
        )
        assert isinstance(answer, wire.Failure), answer
        self.assertEqual(errors.ErrorKind.UNAVAILABLE.value, answer.kind)


class ThreeMembersTest(GroupCase):
    """Guards against answers of members that do not lead.

    They come from followers, from a stopped leader and from a new leader
    that takes over state of the former one.
    """

    count = 3

    async def test_followers_name_the_leader(self) -> None:
        follower = next(name for name in self.tasks if name != self.leader)
        for message in (
            fixtures.make_request(),
            wire.TablesRequest(),
            wire.FleetRequest(),
        ):
            with self.subTest(message=type(message).__name__):
                answer = await self.call(message, follower)
                assert isinstance(answer, wire.Failure)
                self.assertEqual(
                    (errors.ErrorKind.NOT_LEADER.value, self.leader),
                    (answer.kind, answer.leader),
                )

    async def test_new_leader_rebuilds_its_state(self) -> None:
        await self.edit('a')
        target = fixtures.make_target('t1')
        answer = await self.sync_until_unchanged(target)
        poll = asyncio.create_task(
            self.call(fixtures.make_request(answer=answer))
        )
        await asyncio.sleep(0.05)
        former = self.leader
        await self.stop(former)
        refused = await poll
        assert isinstance(refused, wire.Failure)
        self.assertEqual('not_leader', refused.kind)
        self.leader = await self.find_leader()
        self.assertNotEqual(former, self.leader)
        renewed = await self.sync(
            fixtures.make_request(answer=answer, wait_ms=0)
        )
        self.assertGreater(renewed.term, answer.term)
        self.assertTrue(renewed.targets_full)
        self.assertEqual([], renewed.targets)
        self.assertEqual(answer.revision, renewed.revision)
        self.assertEqual([], renewed.changes)

    async def test_edit_survives_a_restart_of_all_members(self) -> None:
        accepted = await self.edit('a', queue_limit=7)
        await self.stop_all()
        for member in self.options:
            self.start(member)
        self.leader = await self.find_leader()
        answer = await self.sync(fixtures.make_request(wait_ms=0))
        self.assertEqual(1, answer.revision)
        table = wire.TableName.POOLS
        pool = wire.Pool(
            name=ids.PoolName('katalog'), queue_limit=7, max_deadline_ms=100
        )
        resent = await self.call(
            wire.Edit(
                edit_id=ids.EditId('a'),
                base={table: 0},
                changes=[wire.Change(table, pool.name, pool)],
            )
        )
        self.assertEqual(accepted, resent)

"""Tests of lookups, announcements, sync and shutdown of an entry."""

import asyncio
from typing import Any
from typing import ClassVar

import msgspec

from fulmarseam import ids
from fulmarseam import membership
from fulmarseam import transport
from fulmarseam import wire
from tests import entry_case
from tests import fakes

OK = entry_case.OK


def make_entry_row(
    name: str, region: str = 'ost', domain: str = 'ost-b', **changes: Any
) -> wire.EntryRow:
    """Return the entry table row of another entry."""
    info = wire.EntryInfo(
        entry=ids.EntryId(name),
        incarnation=1,
        region=ids.RegionName(region),
        failure_domain=ids.DomainName(domain),
        listen=fakes.find_free_address(),
        api=fakes.find_free_address(),
        rpc=changes.pop('rpc', fakes.find_free_address()),
    )
    return wire.EntryRow(info=info, draining=False, alive=True, **changes)


class LookupTest(entry_case.EntryCase):
    """Guards against lookup answers that list dead or draining entries.

    Callers would send requests to entries that refuse or do not respond.
    """

    rows: ClassVar[list[wire.Row]] = [
        wire.Block(name='10.0.0.0/8', region=ids.RegionName('west')),
        wire.RecordGroup(
            name=ids.RegionName('ost'), generation=7, primary=ids.EntryId('e1')
        ),
    ]

    async def look_up(self, query: str) -> list[str]:
        _, content = await self.call_api('/v1/lookup?' + query)
        assert isinstance(content, dict)
        return [entry['entry'] for entry in content['entries']]

    async def test_own_region_comes_first(self) -> None:
        self.leader.entries['e2'] = make_entry_row('e2')
        self.leader.entries['w1'] = make_entry_row('w1', 'west', 'west-a')
        self.entry.synchronizer.request_now()
        await self.wait_until(lambda: len(self.entry.state.entries) == 3)
        entries = await self.look_up('region=ost')
        self.assertEqual({'e1', 'e2'}, set(entries[:2]))
        self.assertEqual('w1', entries[2])
        self.assertEqual('w1', (await self.look_up('address=10.1.2.3'))[0])
        self.assertNotEqual('w1', (await self.look_up('address=11.1.2.3'))[0])

    async def test_answer_can_be_cached_and_revalidated(self) -> None:
        answer, content = await self.call_api('/v1/lookup?region=ost')
        assert isinstance(content, dict)
        self.assertEqual('max-age=5', answer.headers['cache-control'])
        self.assertEqual(5_000, content['ttl_ms'])
        self.assertEqual(
            {'home': 'ost', 'generation': 7}, content['record_home']
        )
        tag = answer.headers['etag']
        revalidated, _ = await self.call_api(
            '/v1/lookup?region=ost', headers=f'If-None-Match: {tag}\r\n'
        )
        self.assertEqual((304, b''), (revalidated.status, revalidated.body))

    async def test_drained_and_dead_entries_are_left_out(self) -> None:
        for name in ('e2', 'e3', 'e4', 'e5'):
            self.leader.entries[name] = make_entry_row(name)
        self.leader.entries['e2'] = msgspec.structs.replace(
            make_entry_row('e2'), draining=True
        )
        self.leader.entries['e3'] = msgspec.structs.replace(
            make_entry_row('e3'), alive=False
        )
        self.leader.set_rows(
            [
                wire.Drain(
                    name='d1',
                    scope=wire.DrainScope.ENTRY,
                    subject='e4',
                    start=0.0,
                    state=wire.DrainState.ACTIVE,
                )
            ]
        )
        await self.wait_until(lambda: self.entry.state.tables.revision == 2)
        async with transport.RpcClient(self.options.rpc) as client:
            await client.call(
                wire.DrainNotice(entry=ids.EntryId('e5'), incarnation=1), 2.0
            )
        self.assertEqual(['e1'], await self.look_up('region=ost'))

    async def test_malformed_calls_are_refused(self) -> None:
        answer, _ = await self.call_api('/v1/lookup?address=x')
        self.assertEqual('malformed_request', answer.kind)
        answer, _ = await self.call_api('/v1/nothing')
        self.assertEqual('not_found', answer.kind)
        answer, _ = await self.call_api('/v1/lookup', content={})
        self.assertEqual('method_not_allowed', answer.kind)


class AnnouncementTest(entry_case.EntryCase):
    """Guards against announcements that are confirmed but lost (P6).

    An entry may confirm an announcement only once the leader has it.
    """

    async def test_confirmed_announcement_is_at_the_leader(self) -> None:
        target = await self.enterAsyncContext(
            fakes.FakeTarget(fakes.answer_always(OK))
        )
        answer, _ = await self.call_api('/v1/announce', target.make_report())
        self.assertEqual(200, answer.status)
        self.assertIsNotNone(self.leader.targets.get(ids.TargetId('t1')))
        await self.wait_until(lambda: self.is_usable('t1'))
        self.assertEqual(200, (await self.call()).status)

    async def test_unconfirmed_announcement_is_refused(self) -> None:
        self.leader.silent = True
        target = fakes.FakeTarget(fakes.answer_always(OK))
        answer, _ = await self.call_api('/v1/announce', target.make_report())
        self.assertEqual((503, 'unavailable'), (answer.status, answer.kind))

    async def test_malformed_announcement_is_refused(self) -> None:
        target = fakes.FakeTarget(fakes.answer_always(OK))
        report = target.make_report()
        for content in (
            {},
            [],
            msgspec.structs.replace(report, slots=0),
            msgspec.structs.replace(report, address='here'),
            msgspec.structs.replace(report, address='name:80'),
        ):
            answer, _ = await self.call_api('/v1/announce', content)
            self.assertEqual('malformed_message', answer.kind)
        self.assertEqual([], self.leader.targets.all())

    async def test_leave_stops_new_work_and_reaches_peers(self) -> None:
        received_notices: list[wire.Message] = []

        async def record_notice(message: wire.Message) -> wire.Message:
            received_notices.append(message)
            return wire.Ok()

        rpc = fakes.find_free_address()
        await self.enterAsyncContext(transport.RpcServer(rpc, record_notice))
        self.leader.entries['e2'] = make_entry_row('e2', rpc=rpc)
        target = await self.start_target(fakes.answer_always(OK))
        # The leader cannot be reached when the target leaves.
        self.leader.silent = True
        report = target.make_report(state=wire.TargetState.LEAVING, sequence=2)
        await self.call_api('/v1/announce', report)
        answer = await self.call(headers='Fulmarseam-Deadline-Ms: 100\r\n')
        self.assertEqual('not-run', answer.outcome)
        self.assertEqual(b'', target.received_bytes)
        await self.wait_until(lambda: received_notices)
        self.assertEqual([wire.LeaveNotice(report=report)], received_notices)

    async def test_leave_of_a_peer_stops_new_work(self) -> None:
        target = await self.start_target(fakes.answer_always(OK))
        report = target.make_report(state=wire.TargetState.LEAVING, sequence=2)
        async with transport.RpcClient(self.options.rpc) as client:
            answer = await client.call(wire.LeaveNotice(report=report), 2.0)
        self.assertEqual(wire.Ok(), answer)
        refused = await self.call(headers='Fulmarseam-Deadline-Ms: 100\r\n')
        self.assertEqual('not-run', refused.outcome)
        self.assertEqual(b'', target.received_bytes)

    # The table of a new leader is empty, so a late announcement of before the
    # leave would put the target back for entries without the notice.
    async def test_a_new_leader_is_told_of_leaves(self) -> None:
        target = await self.start_target(fakes.answer_always(OK))
        report = target.make_report(state=wire.TargetState.LEAVING, sequence=9)
        await self.call_api('/v1/announce', report)
        self.leader.targets = membership.TargetTable()
        self.leader.term += 1
        late = target.make_report(sequence=8)
        self.leader.targets.record(asyncio.get_running_loop().time(), late, 0)

        def has_left() -> bool:
            row = self.leader.targets.get(report.target)
            return row is not None and row.report == report

        await self.wait_until(has_left)

    async def test_unknown_call_of_a_peer_is_refused(self) -> None:
        async with transport.RpcClient(self.options.rpc) as client:
            answer = await client.call(wire.Ok(), 2.0)
        assert isinstance(answer, wire.Failure)
        self.assertEqual('malformed_message', answer.kind)


class LeaseTest(entry_case.EntryCase):
    """Guards against requests run under a stale configuration (P8).

    It is stale when no leader has confirmed it within the lease.
    """

    changes: ClassVar[dict[str, object]] = {'config_lease_ms': 700}

    async def test_unconfirmed_configuration_takes_no_work(self) -> None:
        target = await self.start_target(fakes.answer_always(OK))
        self.assertEqual(200, (await self.call()).status)
        received = target.received_bytes
        self.leader.silent = True
        await asyncio.sleep(0.75)
        answer = await self.call()
        self.assertEqual((503, 'config_stale', 'not-run'), answer.describe())
        self.assertEqual(received, target.received_bytes)

    async def test_isolated_leader_does_not_confirm(self) -> None:
        """The leader responds, but no majority has confirmed it recently."""
        await self.start_target(fakes.answer_always(OK))
        self.leader.age_ms = 800
        await asyncio.sleep(0.75)
        self.assertEqual('config_stale', (await self.call()).kind)

    async def test_older_term_and_revision_change_nothing(self) -> None:
        self.leader.term = 5
        self.leader.set_rows([entry_case.make_route(name='new')])
        await self.wait_until(lambda: self.entry.state.term == 5)
        self.leader.term = 4
        self.leader.revision = 1
        await asyncio.sleep(0.5)
        self.assertEqual(5, self.entry.state.term)
        self.assertEqual(2, self.entry.state.tables.revision)

    async def test_edit_is_applied_at_once(self) -> None:
        self.leader.set_rows(
            [wire.Pool(name=fakes.POOL), entry_case.make_route(retired=True)]
        )
        await self.wait_until(lambda: self.entry.state.tables.revision == 2)
        self.assertEqual('route_retired', (await self.call()).kind)


class LeaderSearchTest(entry_case.EntryCase):
    """Guards against an entry that keeps calling a member without lead."""

    async def test_leader_is_found_after_silence_and_a_hint(self) -> None:
        async def refuse(message: wire.Message) -> wire.Message:
            return wire.Failure('not_leader', leader='c3')

        follower = fakes.find_free_address()
        await self.enterAsyncContext(transport.RpcServer(follower, refuse))
        options = fakes.make_options(
            self.leader,
            entry_id='e9',
            control={
                'c1': fakes.find_free_address(),
                'c2': follower,
                'c3': self.leader.address,
            },
        )
        entry = self.start_entry(options)
        await self.wait_until(lambda: entry.state.term > 0)
        self.assertEqual('c3', entry.synchronizer.leader)

    async def test_refused_incarnation_is_raised(self) -> None:
        """The clock was set back since the previous start (F12)."""
        accepted_incarnation = self.entry.reporter.incarnation + 100_000

        async def refuse(message: wire.Message) -> wire.Message:
            assert isinstance(message, wire.SyncRequest)
            if message.info.incarnation < accepted_incarnation:
                return wire.Failure('version_conflict')
            return await self.leader.handle(message)

        address = fakes.find_free_address()
        await self.enterAsyncContext(transport.RpcServer(address, refuse))
        options = fakes.make_options(
            self.leader, entry_id='e9', control={'c1': address}
        )
        entry = self.start_entry(options)
        await self.wait_until(lambda: entry.state.term > 0)
        self.assertGreaterEqual(
            entry.reporter.incarnation, accepted_incarnation
        )


class DrainTest(entry_case.EntryCase):
    """Guards against requests interrupted by a graceful shutdown (P7).

    Callers use an entry until their cached lookup answers expire.
    """

    changes: ClassVar[dict[str, object]] = {'lookup_ttl_ms': 1_000}

    async def test_shutdown_serves_until_lookup_answers_expire(self) -> None:
        release = asyncio.Event()

        async def serve(
            target: fakes.FakeTarget,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            buffer = bytearray()
            while True:
                request = await fakes.read_request(target, reader, buffer)
                if b'/slow' in request:
                    await release.wait()
                writer.write(OK)

        await self.start_target(serve)
        idle_reader, _ = await self.connect(self.options.listen)
        persistent, writer = await self.connect(self.options.listen)
        slow_call = asyncio.create_task(self.call('/slow'))
        await self.wait_until(
            lambda: self.entry.caller_server.active_requests == 1
        )
        started = asyncio.get_running_loop().time()
        self.entry.stop_requested.set()
        await self.wait_until(lambda: self.leader.requests[-1].draining)
        _, content = await self.call_api('/v1/lookup?region=ost')
        assert isinstance(content, dict)
        self.assertEqual([], content['entries'])
        for _ in range(4):
            # Requests on a new and on a persistent connection are served.
            self.assertEqual(200, (await self.call()).status)
            if not persistent.at_eof():
                writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
                head = await persistent.readuntil(b'\r\n\r\n')
                self.assertIn(b' 200 ', head)
                await persistent.readexactly(2)
            await asyncio.sleep(0.45)
        self.assertEqual(b'', await idle_reader.read())
        with self.assertRaises(ConnectionError):
            await self.call()
        self.assertGreaterEqual(
            asyncio.get_running_loop().time() - started, 2.0
        )
        release.set()
        self.assertEqual(200, (await slow_call).status)

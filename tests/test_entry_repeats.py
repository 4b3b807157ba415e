"""Tests of retries, queues, quarantine and claims of an entry."""

import asyncio
from typing import Any
from typing import ClassVar
from unittest import mock

from fulmarseam import errors
from fulmarseam import records
from fulmarseam import wire
from tests import entry_case
from tests import fakes

OK = entry_case.OK
SHED = entry_case.SHED
KEY = 'Idempotency-Key: ost.1.0123456789\r\n'


async def crash(
    target: fakes.FakeTarget,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Respond to requests, but close on a path that contains "crash"."""
    buffer = bytearray()
    target.received.append(buffer)
    while True:
        request = await fakes.read_request(target, reader, buffer)
        if b'crash' in request:
            return
        writer.write(OK)


class RetryTest(entry_case.EntryCase):
    """Guards against retries that could run a request twice (P5)."""

    rows: ClassVar[list[wire.Row]] = [
        wire.Pool(name=fakes.POOL, retry_ratio=0.1),
        entry_case.make_route(),
        entry_case.make_route(
            name='once',
            path_prefix='/once',
            idempotent=False,
            request_id_required=False,
        ),
    ]

    def count_requests(self, *targets: fakes.FakeTarget) -> int:
        """Return how many requests the targets received."""
        return sum(
            target.received_bytes.count(b'HTTP/1.1') for target in targets
        )

    async def test_idempotent_request_is_sent_to_another_target(self) -> None:
        first = await self.start_target(crash, 't1')
        second = await self.start_target(crash, 't2')
        answer = await self.call('/crash', 'POST', b'abc')
        # Both targets fail, so the request is quarantined.
        self.assertEqual(422, answer.status)
        self.assertEqual(2, self.count_requests(first, second))
        self.assertEqual(
            2, (first.received_bytes + second.received_bytes).count(b'abc')
        )

    async def test_request_without_key_is_sent_once(self) -> None:
        targets = [
            await self.start_target(crash, 't1'),
            await self.start_target(crash, 't2'),
        ]
        answer = await self.call('/once/crash', 'POST', b'abc')
        self.assertEqual('target_failed', answer.kind)
        self.assertEqual('unknown', answer.outcome)
        self.assertEqual(1, self.count_requests(*targets))

    async def test_declared_not_run_without_key_is_not_retried(self) -> None:
        targets = [
            await self.start_target(fakes.answer_always(SHED), 't1'),
            await self.start_target(fakes.answer_always(SHED), 't2'),
        ]
        answer = await self.call('/once', 'POST', b'abc')
        self.assertEqual('target_shed', answer.kind)
        self.assertEqual(1, self.count_requests(*targets))

    async def test_declared_not_run_is_retried_within_the_budget(
        self,
    ) -> None:
        targets = [
            await self.start_target(fakes.answer_always(SHED), 't1'),
            await self.start_target(fakes.answer_always(SHED), 't2'),
        ]
        for number in range(20):
            answer = await self.call(f'/{number}')
            self.assertEqual('target_shed', answer.kind)
        retries = self.count_requests(*targets) - 20
        self.assertGreaterEqual(retries, 1)
        self.assertLessEqual(retries, 3)

    async def test_shed_request_is_answered_by_another_target(self) -> None:
        await self.start_target(fakes.answer_always(SHED), 't1')
        second = await self.start_target(fakes.answer_always(OK), 't2')
        for _ in range(4):
            answer = await self.call('/', 'POST', b'abc')
            if answer.status == 200 and self.entry.metrics.counter_value(
                'retries_total', pool=fakes.POOL
            ):
                break
        self.assertEqual((200, b'ok'), (answer.status, answer.body))
        self.assertIn(b'abc', second.received_bytes)


class QueueTest(entry_case.EntryCase):
    """Guards against more requests on a target than granted slots."""

    rows: ClassVar[list[wire.Row]] = [
        wire.Pool(name=fakes.POOL, queue_limit=2),
        entry_case.make_route(),
        entry_case.make_route(name='first', path_prefix='/first', priority=0),
    ]

    async def start_waiting_target(self, slots: int) -> asyncio.Event:
        """Start a target that responds once the returned event is set."""
        release = asyncio.Event()
        self.running = 0
        self.max_running = 0
        self.order: list[bytes] = []

        async def serve(
            target: fakes.FakeTarget,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            buffer = bytearray()
            while True:
                request = await fakes.read_request(target, reader, buffer)
                self.order.append(request.split()[1])
                self.running += 1
                self.max_running = max(self.max_running, self.running)
                await release.wait()
                self.running -= 1
                writer.write(OK)

        await self.start_target(serve, slots=slots)
        return release

    async def test_waiting_requests_are_bounded_and_ordered(self) -> None:
        release = await self.start_waiting_target(1)
        first = asyncio.create_task(self.call('/a'))
        await self.wait_until(lambda: self.running == 1)
        later = asyncio.create_task(self.call('/b'))
        await asyncio.sleep(0.05)
        urgent = asyncio.create_task(self.call('/first'))
        await asyncio.sleep(0.05)
        refused = await self.call('/c')
        self.assertEqual((503, 'queue_full', 'not-run'), refused.describe())
        release.set()
        answers = await asyncio.gather(first, later, urgent)
        self.assertEqual([200] * 3, [answer.status for answer in answers])
        self.assertEqual([b'/a', b'/first', b'/b'], self.order)
        self.assertEqual(1, self.max_running)

    async def test_deadline_in_the_queue_is_not_run(self) -> None:
        release = await self.start_waiting_target(1)
        first = asyncio.create_task(self.call('/a'))
        await self.wait_until(lambda: self.running == 1)
        answer = await self.call(
            '/b', headers='Fulmarseam-Deadline-Ms: 100\r\n'
        )
        self.assertEqual(
            (504, 'deadline_unreachable', 'not-run'), answer.describe()
        )
        release.set()
        await first
        self.assertEqual([b'/a'], self.order)

    async def test_caller_that_leaves_the_queue_takes_no_slot(self) -> None:
        release = await self.start_waiting_target(1)
        first = asyncio.create_task(self.call('/a'))
        await self.wait_until(lambda: self.running == 1)
        _, writer = await self.connect(self.options.listen)
        writer.write(b'GET /gone HTTP/1.1\r\nHost: a\r\n\r\n')
        await self.wait_until(
            lambda: self.entry.caller_server.active_requests == 2
        )
        writer.close()
        await self.wait_until(
            lambda: self.entry.caller_server.active_requests == 1
        )
        release.set()
        await first
        answer = await self.call('/b')
        self.assertEqual(200, answer.status)
        self.assertEqual([b'/a', b'/b'], self.order)

    async def test_queued_demand_is_reported_at_once(self) -> None:
        release = await self.start_waiting_target(1)
        first = asyncio.create_task(self.call('/a'))
        await self.wait_until(lambda: self.running == 1)
        second = asyncio.create_task(self.call('/b'))
        await self.wait_until(
            lambda: any(
                demand.wanted == 2
                for request in self.leader.requests
                for demand in request.demand
            )
        )
        self.leader.slots['t1'] = 2
        self.entry.synchronizer.request_now()
        await self.wait_until(lambda: self.running == 2)
        release.set()
        await asyncio.gather(first, second)


class QuarantineTest(entry_case.EntryCase):
    """Guards against a request that crashes target after target (F11)."""

    async def test_crash_request_reaches_two_targets_at_most(self) -> None:
        targets = [
            await self.start_target(crash, f't{number}') for number in range(4)
        ]
        answer = await self.call('/crash')
        self.assertEqual((422, 'quarantined', 'unknown'), answer.describe())
        for _ in range(3):
            answer = await self.call('/crash')
            self.assertEqual('quarantined', answer.kind)
        crashed_targets = [
            target for target in targets if b'crash' in target.received_bytes
        ]
        self.assertEqual(2, len(crashed_targets))
        other = await self.call('/other')
        self.assertEqual(200, other.status)

    async def test_lost_target_does_not_hold_up_the_others(self) -> None:
        """All requests have one fingerprint, so one failure marks them all."""
        release = asyncio.Event()

        async def fail(
            target: fakes.FakeTarget,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await fakes.read_request(target, reader, bytearray())
            await release.wait()

        await self.start_target(fail, 't1', slots=2)
        waiting = [asyncio.create_task(self.call('/same')) for _ in range(2)]
        await self.wait_until(
            lambda: self.entry.state.slots.total_in_flight() == 2
        )
        # More requests wait in the queue when the target fails.
        waiting += [asyncio.create_task(self.call('/same')) for _ in range(9)]
        await self.wait_until(
            lambda: self.entry.caller_server.active_requests == 11
        )
        self.leader.slots['t1'] = 0
        await self.start_target(crash, 't2', slots=2)
        release.set()
        async with asyncio.timeout(2.0):
            answers = await asyncio.gather(*waiting)
        served = [answer for answer in answers if answer.status == 200]
        self.assertGreaterEqual(len(served), 9)
        self.assertEqual([], self.entry.crash_guard.list_rows())

    async def test_waiting_suspect_does_not_hold_up_others(self) -> None:
        release = asyncio.Event()

        async def serve(
            target: fakes.FakeTarget,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            while True:
                request = await fakes.read_request(target, reader, bytearray())
                if b'/held' in request:
                    await release.wait()
                writer.write(OK)

        await self.start_target(serve, 't1', slots=3)
        await self.start_target(serve, 't2', slots=3)
        held_fingerprint = entry_case.compute_fingerprint('GET', 'a', '/held')
        await self.strike(held_fingerprint, 't9')
        held = [asyncio.create_task(self.call('/held')) for _ in range(2)]
        await self.wait_until(
            lambda: self.entry.caller_server.active_requests == 2
        )
        await asyncio.sleep(0.05)
        self.assertEqual(1, self.entry.state.slots.total_in_flight())
        answer = await self.call('/other')
        self.assertEqual(200, answer.status)
        release.set()
        answers = await asyncio.gather(*held)
        self.assertEqual([200, 200], [answer.status for answer in answers])

    async def test_crash_request_is_recognized_under_another_address(
        self,
    ) -> None:
        for number in range(3):
            await self.start_target(crash, f't{number}')
        for host in (b'10.0.0.1', b'10.0.0.2:80'):
            answer = await self.exchange(
                b'GET /crash HTTP/1.1\r\nConnection: close\r\nHost: '
                + host
                + b'\r\n\r\n'
            )
        self.assertEqual('quarantined', answer.kind)
        self.assertEqual(1, len(self.entry.crash_guard.list_rows()))

    async def test_strike_of_a_peer_counts(self) -> None:
        targets = [
            await self.start_target(crash, f't{number}') for number in range(3)
        ]
        # The fingerprint of the request, as a peer computes it.
        await self.call('/other')
        crash_fingerprint = entry_case.compute_fingerprint(
            'GET', 'a', '/crash'
        )
        await self.strike(crash_fingerprint, 't9')
        answer = await self.call('/crash')
        self.assertEqual('quarantined', answer.kind)
        crashed_targets = [
            target for target in targets if b'crash' in target.received_bytes
        ]
        self.assertEqual(1, len(crashed_targets))


class FakeRecordClient:
    """A record client with scripted verdicts that records its calls."""

    def __init__(self) -> None:
        self.verdict: wire.RecordVerdict | errors.FulmarseamError = (
            wire.RecordVerdict(verdict=wire.Verdict.FRESH)
        )
        self.calls: list[tuple[str, object]] = []
        self.fingerprints: list[str] = []

    async def claim(
        self, key: str, fingerprint: str, attempt: str, timeout_s: float
    ) -> wire.RecordVerdict:
        self.calls.append(('claim', key))
        self.fingerprints.append(fingerprint)
        if isinstance(self.verdict, errors.FulmarseamError):
            raise self.verdict
        return self.verdict

    async def finish(
        self, key: str, attempt: str, answer: wire.StoredAnswer | None
    ) -> None:
        self.calls.append(('finish', answer))

    async def release(self, key: str, attempt: str) -> None:
        self.calls.append(('release', key))


class ClaimTest(entry_case.EntryCase):
    """Guards against at-most-once requests that run twice.

    Also guards against claims that are not released when nothing ran.
    """

    rows: ClassVar[list[wire.Row]] = [
        wire.Pool(name=fakes.POOL),
        entry_case.make_route(idempotent=False),
    ]

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.record_client = FakeRecordClient()
        self.entry.claims.record_client = self.record_client

    async def post(
        self, headers: str = KEY, path: str = '/'
    ) -> entry_case.Answer:
        answer = await self.call(path, 'POST', b'abc', headers)
        await self.entry.claims.flush(1.0)
        return answer

    async def test_missing_or_foreign_key_is_refused(self) -> None:
        target = await self.start_target(fakes.answer_always(OK))
        for headers in ('', 'Idempotency-Key: abc\r\n', KEY + KEY):
            answer = await self.post(headers)
            self.assertEqual((400, 'not-run'), (answer.status, answer.outcome))
        self.assertEqual(b'', target.received_bytes)
        self.assertEqual([], self.record_client.calls)

    async def test_answer_is_stored(self) -> None:
        await self.start_target(fakes.answer_always(OK))
        answer = await self.post()
        self.assertEqual(200, answer.status)
        self.assertEqual(
            ('claim', 'ost.1.0123456789'), self.record_client.calls[0]
        )
        name, stored = self.record_client.calls[1]
        assert isinstance(stored, wire.StoredAnswer)
        self.assertEqual(('finish', b'ok'), (name, stored.body))

    async def test_large_answer_is_marked_as_not_kept(self) -> None:
        body = b'a' * (records.MAX_STORED_BODY_BYTES + 1)
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        await self.start_target(fakes.answer_always(head + body))
        answer = await self.post()
        self.assertEqual(body, answer.body)
        _, stored = self.record_client.calls[1]
        assert isinstance(stored, wire.StoredAnswer)
        self.assertIsNone(stored.body)

    async def test_repeats_do_not_run(self) -> None:
        target = await self.start_target(fakes.answer_always(OK))
        stored = wire.StoredAnswer(201, [(b'x-a', b'1')], b'kept')
        verdict = wire.Verdict
        cases = [
            (
                verdict.IN_PROGRESS,
                None,
                (409, 'request_in_progress', 'unknown'),
            ),
            (verdict.UNKNOWN, None, (409, 'outcome_unknown', 'unknown')),
            (verdict.CONFLICT, None, (422, 'request_id_conflict', 'not-run')),
            (
                verdict.DONE,
                wire.StoredAnswer(201, [], None),
                (409, 'outcome_not_kept', 'answered'),
            ),
            (verdict.DONE, stored, (201, '', 'answered')),
        ]
        for found, answer, expected in cases:
            with self.subTest(found):
                self.record_client.verdict = wire.RecordVerdict(
                    verdict=found, answer=answer
                )
                received = await self.post()
                self.assertEqual(expected, received.describe())
        self.assertEqual(b'kept', received.body)
        self.assertEqual(b'', target.received_bytes)
        self.assertEqual(
            {'claim'}, {name for name, _ in self.record_client.calls}
        )

    async def test_repeat_through_another_address_is_the_same(self) -> None:
        """A caller that uses addresses sends another Host each time."""
        await self.start_target(fakes.answer_always(OK))
        cases = [
            (b'10.0.0.1:8000', b'abc'),
            (b'10.0.0.2:8000', b'abc'),
            (b'[::1]:80', b'abc'),
            (b'10.0.0.1:8000', b'abd'),
            (b'name:80', b'abc'),
        ]
        for host, body in cases:
            await self.exchange(
                b'POST /x HTTP/1.1\r\nConnection: close\r\nHost: '
                + host
                + b'\r\n'
                + KEY.encode()
                + b'Content-Length: 3\r\n\r\n'
                + body
            )
        fingerprints = self.record_client.fingerprints
        self.assertEqual(5, len(fingerprints))
        self.assertEqual(1, len(set(fingerprints[:3])))
        self.assertEqual(3, len(set(fingerprints)))

    async def test_claim_without_a_response_is_released(self) -> None:
        target = await self.start_target(fakes.answer_always(OK))
        self.record_client.verdict = errors.FulmarseamError(
            errors.ErrorKind.RECORD_UNAVAILABLE
        )
        answer = await self.post()
        self.assertEqual(
            (503, 'record_unavailable', 'unknown'), answer.describe()
        )
        self.assertEqual('release', self.record_client.calls[-1][0])
        self.assertEqual(b'', target.received_bytes)

    async def test_silent_holder_occupies_no_slot(self) -> None:
        await self.start_target(fakes.answer_always(OK), slots=1)
        claim = self.record_client.claim

        async def claim_late(*arguments: Any) -> wire.RecordVerdict:
            await asyncio.sleep(0.5)
            return await claim(*arguments)

        with mock.patch.object(self.record_client, 'claim', claim_late):
            waiting = asyncio.create_task(self.post())
            await self.wait_until(
                lambda: self.entry.caller_server.active_requests == 1
            )
            await asyncio.sleep(0.1)
            self.assertEqual(0, self.entry.state.slots.total_in_flight())
            self.assertEqual(200, (await waiting).status)

    async def test_stop_does_not_wait_for_a_silent_holder(self) -> None:
        async def finish_late(key: str, attempt: str, answer: object) -> None:
            await asyncio.sleep(60)

        await self.start_target(fakes.answer_always(OK))
        with mock.patch.object(self.record_client, 'finish', finish_late):
            await self.call('/', 'POST', b'abc', KEY)
            async with asyncio.timeout(1.0):
                self.assertEqual(1, await self.entry.claims.flush(0.05))

    async def test_request_that_was_not_sent_is_released(self) -> None:
        target = fakes.FakeTarget(crash)
        self.announce(target.make_report())
        await self.wait_until(lambda: self.is_usable('t1'))
        answer = await self.post()
        self.assertEqual('no_target', answer.kind)
        names = [name for name, _ in self.record_client.calls]
        self.assertEqual(['claim', 'release'], names)

    async def test_declared_not_run_is_released(self) -> None:
        await self.start_target(fakes.answer_always(SHED))
        answer = await self.post()
        self.assertEqual('target_shed', answer.kind)
        names = [name for name, _ in self.record_client.calls]
        self.assertEqual(['claim', 'release'], names)

    async def test_broken_request_stays_unknown_and_is_not_repeated(
        self,
    ) -> None:
        targets = [
            await self.start_target(crash, 't1'),
            await self.start_target(crash, 't2'),
        ]
        answer = await self.post(path='/crash')
        self.assertEqual('target_failed', answer.kind)
        self.assertEqual(
            [('claim', 'ost.1.0123456789'), ('finish', None)],
            self.record_client.calls,
        )
        received = b''.join(target.received_bytes for target in targets)
        self.assertEqual(1, received.count(b'POST'))

    async def test_caller_that_leaves_makes_the_outcome_unknown(self) -> None:
        async def hold(
            target: fakes.FakeTarget,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            buffer = bytearray()
            target.received.append(buffer)
            await fakes.read_request(target, reader, buffer)
            await reader.read()

        target = await self.start_target(hold)
        _, writer = await self.connect(self.options.listen)
        writer.write(
            b'POST / HTTP/1.1\r\nHost: a\r\n' + KEY.encode() + b'\r\n'
        )
        await self.wait_until(lambda: target.received_bytes)
        writer.close()
        await self.wait_until(lambda: len(self.record_client.calls) == 2)
        self.assertEqual(('finish', None), self.record_client.calls[1])

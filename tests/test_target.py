"""Tests of the stand-in target."""

import asyncio
import os
import pathlib
import random
import tempfile
import unittest

from fulmarseam import client
from fulmarseam import errors
from fulmarseam import settings
from fulmarseam import standin
from fulmarseam import wire
from fulmarseam.bench import _waiting
from fulmarseam.standin import _server
from fulmarseam.standin import _target
from fulmarseam.standin import _worker
from tests import _loopback


class TargetTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a journal that misses what happened to a request."""

    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.journal = str(pathlib.Path(directory.name) / 'journal')
        self.entry = _loopback.find_free_address()
        self.announced: list[bytes] = []
        server = _server.Server(self.entry, self.handle_announcement)
        await self.enterAsyncContext(server)
        self.options = settings.TargetSettings(
            target_id='t1',
            pool='katalog',
            region='ost',
            failure_domain='ost-a',
            listen=_loopback.find_free_address(),
            entries=[self.entry],
            slots=1,
            queue_limit=1,
            service=settings.ServiceTime('fixed', 1.0),
            journal=self.journal,
        )
        self.stop = asyncio.Event()
        target = _target.Target(self.options)
        self.running = asyncio.create_task(target.run(self.stop))
        self.http_client = client.HttpClient()
        self.addCleanup(self.http_client.close)
        await _waiting.wait_until(lambda: self.announced, 2, 'announced')

    async def asyncTearDown(self) -> None:
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)

    async def handle_announcement(
        self, request: _server.ServerRequest
    ) -> _server.ServerResponse:
        self.announced.append(request.body)
        return _server.ServerResponse(200, {})

    async def send(
        self, mark: str, timeout_s: float = 2.0, **headers: str
    ) -> client.Reply:
        request_headers = {
            name.replace('_', '-'): value for name, value in headers.items()
        }
        request_headers['Standin-Mark'] = mark
        request = client.Request('GET', 'shop.example', '/', request_headers)
        return await self.http_client.send(
            self.options.listen, request, timeout_s
        )

    def read_events(self, mark: str) -> list[str]:
        records = standin.read_journal(self.journal, standin.RunRecord)
        return [
            record.result.value if record.result else record.event.value
            for record in records
            if record.mark == mark
        ]

    async def wait_for(self, mark: str, events: list[str]) -> None:
        await _waiting.wait_until(
            lambda: self.read_events(mark) == events, 2, f'{mark} {events}'
        )

    async def test_run_is_recorded_and_answered(self) -> None:
        reply = await self.send('m1', Standin_Response_Bytes='10')
        self.assertEqual('m1', reply.headers['standin-mark'])
        self.assertEqual(b'x' * 10, reply.body)
        self.assertEqual(['start', 'answered'], self.read_events('m1'))

    async def test_requests_beyond_slots_and_queue_are_shed(self) -> None:
        slow_requests = [
            asyncio.create_task(self.send(mark, Standin_Service_Ms='300'))
            for mark in ('m1', 'm2')
        ]
        await self.wait_for('m1', ['start'])
        async with asyncio.timeout(2):
            while (
                await self.send('m3', Standin_Service_Ms='0')
            ).status == 200:
                pass
        reply = await self.send('m4')
        self.assertEqual(errors.Outcome.NOT_RUN, client.read_outcome(reply))
        self.assertEqual(['shed'], self.read_events('m4'))
        await asyncio.gather(*slow_requests)

    async def test_closed_connection_cancels_the_request(self) -> None:
        with self.assertRaises(client.ExchangeError):
            await self.send('m1', 0.1, Standin_Service_Ms='60000')
        await self.wait_for('m1', ['start', 'cancelled'])
        self.assertEqual(200, (await self.send('m2')).status)

    async def test_deadline_stops_the_request(self) -> None:
        reply = await self.send(
            'm1', Standin_Service_Ms='60000', Fulmarseam_Deadline_Ms='50'
        )
        self.assertEqual(504, reply.status)
        self.assertEqual(['start', 'deadline'], self.read_events('m1'))

    async def test_truncated_answer_is_recorded(self) -> None:
        with self.assertRaises(client.ExchangeError) as caught:
            await self.send('m1', Standin_Action='truncate')
        self.assertTrue(caught.exception.started)
        self.assertEqual(['start', 'truncated'], self.read_events('m1'))

    async def test_leave_is_announced_and_open_requests_finish(self) -> None:
        slow_request = asyncio.create_task(
            self.send('m1', Standin_Service_Ms='500')
        )
        await self.wait_for('m1', ['start'])
        self.stop.set()
        self.assertEqual(200, (await slow_request).status)
        async with asyncio.timeout(_target.LEAVE_GRACE_S + 2):
            await self.running
        self.assertIn(b'"leaving"', self.announced[-1])
        events = [
            record.event
            for record in standin.read_journal(self.journal, standin.RunRecord)
        ]
        self.assertIn(standin.RunEvent.LEAVING, events)
        self.assertEqual(standin.RunEvent.DOWN, events[-1])


class JournalTest(unittest.TestCase):
    """Guards against a killed target that leaves an unreadable journal."""

    def test_partial_last_line_is_skipped(self) -> None:
        record = standin.RunRecord(
            time=1.0,
            event=standin.RunEvent.START,
            target='t1',
            pool='p',
            region='ost',
            incarnation=1,
            slots=1,
            busy=1,
        )
        with tempfile.TemporaryDirectory() as directory:
            path = os.path.join(directory, 'journal')
            journal = standin.Journal(path)
            journal.append(record)
            journal.append(record)
            journal.close()
            os.truncate(path, os.path.getsize(path) - 5)
            found = list(standin.read_journal(path, standin.RunRecord))
        self.assertEqual([record], found)


class LoadReporterTest(unittest.TestCase):
    """Guards against modes that report another load than documented."""

    def report(self, mode: str) -> list[wire.TargetLoad | None]:
        reporter = standin.LoadReporter(mode, lag_s=2.0, slots=4)
        return [
            reporter.report(float(now), wire.TargetLoad(busy_slots=now))
            for now in range(5)
        ]

    def read_busy_slots(self, mode: str) -> list[int | None]:
        return [load and load.busy_slots for load in self.report(mode)]

    def test_modes(self) -> None:
        self.assertEqual([0, 1, 2, 3, 4], self.read_busy_slots('true'))
        self.assertEqual([0, 0, 0, 1, 2], self.read_busy_slots('lag'))
        self.assertEqual([0, 0, 0, 0, 0], self.read_busy_slots('low'))
        self.assertEqual([4, 4, 4, 4, 4], self.read_busy_slots('high'))
        self.assertEqual([0, 0, 0, 0, 0], self.read_busy_slots('stuck'))
        self.assertEqual([None] * 5, self.report('stop'))


class ServiceTimeTest(unittest.TestCase):
    """Guards against service times that deviate from the settings."""

    def test_mean_of_each_distribution(self) -> None:
        for name in ('fixed', 'exponential', 'lognormal'):
            service = settings.ServiceTime(name, 10.0, 0.5)
            rng = random.Random(1)
            service_times = [
                _worker.draw_service_time_s(service, rng, 0.0)
                for _ in range(20_000)
            ]
            self.assertAlmostEqual(
                0.010, sum(service_times) / 20_000, delta=0.0005
            )

    def test_cold_target_is_slower_until_warm(self) -> None:
        service = settings.ServiceTime('fixed', 10.0, 0.0, 10.0, 5.0)
        rng = random.Random(1)
        service_times = [
            round(_worker.draw_service_time_s(service, rng, age), 4)
            for age in (0.0, 5.0, 10.0)
        ]
        self.assertEqual([0.05, 0.03, 0.01], service_times)

"""Tests of fulmarseam-ctl with a real control process."""

import asyncio
from concurrent import futures
import json
import pathlib
import subprocess
from typing import Any
import unittest

import msgspec

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import quarantine
from fulmarseam import steering
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.commands import _ctl_output
from fulmarseam.commands import _ctl_tables
from tests import control_fixtures as fixtures
from tests import control_processes

PARALLEL_RUNS = 4

TABLES = """
pools:
  katalog: {latency_weight: 0.9}
routes:
  katalog: {host: katalog.example, path_prefix: /, pool: katalog}
links:
  ost>west: {bytes_per_s: 500000000}
  west>ost: {bytes_per_s: 500000000}
blocks:
  10.0.0.0/8: ost
"""


class CtlTest(unittest.TestCase):
    """Guards against edits that are lost, applied twice or misreported.

    The tests share one control process, so each uses its own rows.
    """

    group: control_processes.ControlGroup

    @classmethod
    def setUpClass(cls) -> None:
        cls.group = control_processes.ControlGroup(1)
        cls.enterClassContext(cls.group)

    def check_error(
        self,
        done: subprocess.CompletedProcess[str],
        code: int,
        *parts: str,
    ) -> None:
        self.assertEqual(code, done.returncode, done.stderr)
        self.assertTrue(done.stderr.startswith('error: '), done.stderr)
        self.assertNotIn('Traceback', done.stderr)
        for part in parts:
            self.assertIn(part, done.stderr)

    def apply(self, content: str, *flags: str) -> str:
        path = self.group.write('tables.yaml', content)
        done = self.group.ctl('apply', path, *flags)
        self.assertEqual(0, done.returncode, done.stderr)
        return done.stdout

    def read_edit_id(self, output: str) -> str:
        return next(
            line.partition(': ')[2]
            for line in output.splitlines()
            if line.startswith('edit_id: ')
        )

    def test_file_is_applied_shown_and_compared(self) -> None:
        output = self.apply(TABLES, '--wait')
        self.assertIn('+ pools.katalog: latency_weight=0.9', output)
        self.assertIn('accepted: revision', output)
        [route] = self.group.read('show', 'routes')
        self.assertEqual('katalog.example', route['host'])
        self.assertNotIn('type', route)
        [block] = self.group.read('show', 'blocks')
        self.assertEqual(('10.0.0.0/8', 'ost'), tuple(block.values()))
        changed = self.group.write(
            'changed.yaml', 'pools: {katalog: {latency_weight: 0.5}}\n'
        )
        diff = self.group.ctl('diff', changed).stdout
        self.assertEqual(
            '~ pools.katalog: latency_weight: 0.9 -> 0.5', diff.strip()
        )
        self.assertEqual('no changes\n', self.apply(TABLES)[:11])

    def test_file_is_checked_before_it_is_applied(self) -> None:
        self.apply(TABLES)
        same = self.group.write('same.yaml', TABLES)
        done = self.group.ctl('check', same)
        self.assertEqual((0, '(none)\n'), (done.returncode, done.stdout))
        changed = self.group.write(
            'changed.yaml', 'pools: {katalog: {}, idle: {}}\n'
        )
        for arguments in ((), (f'--against={same}',)):
            done = self.group.ctl(
                'check', changed, '--output=json', *arguments
            )
            self.assertEqual(1, done.returncode, done.stderr)
            findings = [
                (record['finding'], record['item'])
                for record in json.loads(done.stdout)
            ]
            self.assertEqual(
                [
                    ('unused', 'pools.idle'),
                    ('difference', 'pools.katalog.latency_weight'),
                    ('difference', 'pools.idle'),
                ],
                findings,
            )
        wrong = self.group.write(
            'wrong.yaml', 'pools: {a: {queue: 1}}\nroutes: 3\n'
        )
        done = self.group.ctl('check', wrong, '--output=json')
        self.assertEqual(2, done.returncode, done.stderr)
        self.assertLessEqual(
            {
                ('pools.a.queue', 'no such field'),
                ('routes', '3'),
                ('routes.katalog.pool', "'katalog'"),
            },
            {
                (record['item'], record['found'])
                for record in json.loads(done.stdout)
                if record['finding'] == 'error'
            },
        )
        [pool] = self.group.read('show', 'pools')
        self.assertEqual('katalog', pool['name'])

    def test_many_blocks_are_applied_and_compared(self) -> None:
        rows = ''.join(
            f'  10.{number >> 8}.{number & 255}.0/24: ost\n'
            for number in range(3_000)
        )
        self.apply(f'blocks:\n{rows}')
        self.assertEqual(3_000, len(self.group.read('show', 'blocks')))
        self.assertTrue(self.apply(f'blocks:\n{rows}').startswith('no c'))
        self.apply('blocks: {10.0.0.0/8: ost}\n')
        self.assertEqual(1, len(self.group.read('show', 'blocks')))

    def test_invalid_block_among_many_is_reported(self) -> None:
        rows = ''.join(
            f'  10.{number >> 8}.{number & 255}.0/24: ost\n'
            for number in range(2_100)
        )
        path = self.group.write('bad.yaml', f'blocks:\n{rows}  zz: ost\n')
        self.check_error(
            self.group.ctl('apply', path), 22, "blocks.zz.name: found 'zz'"
        )
        done = self.group.ctl('check', path)
        self.assertEqual(2, done.returncode, done.stderr)
        self.assertIn('blocks.zz.name', done.stdout)

    def test_resent_edit_gives_the_first_result(self) -> None:
        self.apply(TABLES)
        first = self.apply(TABLES + '  11.0.0.0/8: west\n')
        edit_id = self.read_edit_id(first)
        self.apply(TABLES)
        again = self.apply(
            TABLES + '  11.0.0.0/8: west\n', f'--edit_id={edit_id}'
        )
        self.assertEqual(first.splitlines()[-1], again.splitlines()[-1])
        names = [row['name'] for row in self.group.read('show', 'blocks')]
        self.assertNotIn('11.0.0.0/8', names)
        path = self.group.write('tables.yaml', TABLES + '  12.0.0.0/8: ost\n')
        self.check_error(
            self.group.ctl('apply', path, f'--edit_id={edit_id}'),
            21,
            'with other content than its first use',
        )

    def test_problems_of_a_file_are_reported_together(self) -> None:
        path = self.group.write(
            'bad.yaml',
            'pools:\n  a: {queue: 1}\n  b: {queue_limit: x}\n'
            'zones: {}\nroutes: 3\n',
        )
        self.check_error(
            self.group.ctl('apply', path),
            22,
            'pools.a: queue: found no such field',
            'pools.b: Expected `int`, got `str`',
            'zones: found no such table',
            'routes: found 3, expected a mapping',
        )

    def test_problems_of_the_tables_are_reported_together(self) -> None:
        path = self.group.write(
            'bad.yaml',
            'links: {ost>west: {bytes_per_s: 0}}\n'
            'routes: {x: {host: h, path_prefix: x, pool: gone}}\n',
        )
        self.check_error(
            self.group.ctl('apply', path),
            22,
            "routes.x.path_prefix: found 'x'",
            "routes.x.pool: found 'gone', expected a known pool",
            'links.ost>west.bytes_per_s: found 0',
        )

    def test_invalid_arguments_are_reported_in_one_line(self) -> None:
        twice = self.group.write('twice.yaml', 'pools: {a: {}, a: {}}\n')
        broken = self.group.write('broken.yaml', 'pools: {\n')
        cases = [
            ([], 'found nothing, expected a command'),
            (['shw', 'routes'], 'found shw routes, expected a command'),
            (['show', 'zones'], "found table 'zones', expected one of"),
            (['show'], 'found 0 arguments, expected: show TABLE'),
            (['apply', '/nowhere.yaml'], 'cannot be read'),
            (['apply', twice], "found key 'a' twice"),
            (['diff', broken], 'is not valid YAML'),
            (['status', '--color'], 'Unknown command line flag'),
            (['wait', 'x'], 'REVISION: found'),
            (['drain', 'announce', 'rack', 'r1'], "found scope 'rack'"),
            (
                ['drain', 'announce', 'region', 'r', '--start=tomorrow'],
                "--start: found 'tomorrow', expected a time",
            ),
            (
                ['shift', 'announce', 'katalog', 'ost', 'west', '10'],
                '--end: found nothing',
            ),
            (['members', 'add', 'c9', 'localhost:1', 'r9'], 'ADDRESS: found'),
            (['snapshot', 'restore', broken], 'is not an exported snapshot'),
        ]
        with futures.ThreadPoolExecutor(PARALLEL_RUNS) as executor:
            runs = list(
                executor.map(lambda case: self.group.ctl(*case[0]), cases)
            )
        for (arguments, text), done in zip(cases, runs, strict=True):
            with self.subTest(arguments=arguments):
                self.check_error(done, 2, text)
                self.assertEqual(1, len(done.stderr.splitlines()))

    def test_settings_are_required_and_checked(self) -> None:
        self.group.write('other.yaml', 'control: {c1: localhost}\n')
        done = self.group.ctl('status', config='other.yaml')
        self.check_error(done, 2, 'control.c1: found', 'expected IP:PORT')

    def test_unreachable_group_is_reported_in_time(self) -> None:
        self.group.write(
            'nobody.yaml',
            "control: {c1: '127.0.0.1:1'}\n"
            'call_timeout_ms: 200\ntimeout_ms: 500\n',
        )
        done = self.group.ctl('show', 'routes', config='nobody.yaml')
        self.check_error(done, 27, 'c1: 127.0.0.1:1: no answer within')

    def test_drain_is_announced_listed_and_cancelled(self) -> None:
        done = self.group.ctl(
            'drain', 'announce', 'target', 't9', '--start=+3600', '--name=d9'
        )
        self.assertEqual(0, done.returncode, done.stderr)
        [drain] = self.group.read('drain', 'list')
        self.assertEqual(
            ('d9', 'planned', 0),
            (drain['name'], drain['state'], drain['in_flight']),
        )
        again = self.group.ctl(
            'drain', 'announce', 'target', 't9', '--name=d9'
        )
        self.check_error(again, 22, 'drains.d9: exists')
        self.group.ctl('drain', 'cancel', 'd9')
        [drain] = self.group.read('drain', 'list')
        self.assertEqual('cancelled', drain['state'])
        self.check_error(
            self.group.ctl('drain', 'cancel', 'd8'),
            23,
            'drains.d8: not found, expected one of: d9',
        )

    def test_shift_is_announced_and_cancelled(self) -> None:
        self.apply(TABLES)
        arguments = ['shift', 'announce', 'katalog', 'ost', 'west']
        done = self.group.ctl(*arguments, '120', '--end=+60')
        self.check_error(done, 22, 'cap_percent: found 120.0')
        done = self.group.ctl(
            *arguments, '20', '--start=+600', '--end=+900', '--name=s9'
        )
        self.assertEqual(0, done.returncode, done.stderr)
        other = self.group.ctl(*arguments, '20', '--start=+700', '--end=+950')
        self.check_error(other, 22, 'shifts.s9: overlaps with')
        self.assertEqual(0, self.group.ctl('shift', 'cancel', 's9').returncode)
        [shift] = self.group.read('shift', 'list')
        self.assertEqual('cancelled', shift['state'])

    def test_snapshot_is_restored_as_a_new_edit(self) -> None:
        self.apply(TABLES)
        path = str(self.group.directory / 'tables.json')
        self.group.ctl('snapshot', 'export', path)
        exported = json.loads(pathlib.Path(path).read_text())
        self.apply('routes: {}\n')
        self.assertEqual([], self.group.read('show', 'routes'))
        done = self.group.ctl('snapshot', 'restore', path)
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertEqual(1, len(self.group.read('show', 'routes')))
        [status] = self.group.read('status')
        self.assertGreater(status['revision'], exported['revision'])

    def test_member_state_is_shown(self) -> None:
        [member] = self.group.read('members', 'list')
        self.assertEqual(('c0', True), (member['member'], member['leader']))
        self.assertEqual([], self.group.read('targets', 'list'))

    def test_quarantine_of_an_entry_is_listed(self) -> None:
        rows = asyncio.run(self.list_quarantine())
        self.assertEqual(
            [('e1', 'quarantined', ['t1', 't2'])],
            [(row['entry'], row['state'], row['targets']) for row in rows],
        )

    async def list_quarantine(self) -> Any:
        """Return the quarantine that ctl lists for an entry."""
        registry = quarantine.SuspectRegistry()
        now = asyncio.get_running_loop().time()

        async def report(
            report: wire.SuspectReport, timeout_s: float
        ) -> wire.TrialResponse:
            return registry.answer(now, 1, report)

        guard = quarantine.CrashGuard(report)
        fingerprint = steering.compute_fingerprint('GET', 'h', '/', b'', b'')
        for target, was_trial in (('t1', False), ('t2', True)):
            await guard.note_broken(
                fingerprint, ids.TargetId(target), 1, was_trial
            )

        async def handle(message: wire.Message) -> wire.Message:
            self.assertIsInstance(message, wire.QuarantineRequest)
            return wire.QuarantineResponse(rows=guard.list_rows())

        [port] = fixtures.find_free_ports(1)
        address = f'127.0.0.1:{port}'
        info = msgspec.structs.replace(fixtures.make_info(), rpc=address)
        [leader] = self.group.addresses.values()
        async with (
            transport.RpcServer(address, handle),
            transport.RpcClient(leader) as client,
        ):
            await client.call(fixtures.make_request(info, wait_ms=0), 5.0)
            renewal = asyncio.create_task(self.renew(client, info))
            rows = await asyncio.to_thread(
                self.group.read, 'quarantine', 'list'
            )
            renewal.cancel()
            return rows

    async def renew(
        self, client: transport.RpcClient, info: wire.EntryInfo
    ) -> None:
        """Renew the lease of an entry while ctl starts on a busy host."""
        while True:
            await asyncio.sleep(0.5)
            await client.call(fixtures.make_request(info, wait_ms=0), 5.0)

    def test_wait_for_a_future_revision_ends_with_an_error(
        self,
    ) -> None:
        done = self.group.ctl('wait', '1000000', '--wait_s=0.3')
        self.assertEqual(27, done.returncode)
        self.assertIn('revision 1000000 in force on 0 of', done.stderr)


class OutputTest(unittest.TestCase):
    """Guards against unreadable output and misread files of tables."""

    def test_table_is_aligned(self) -> None:
        text = _ctl_output.render(
            [
                {'name': 'a', 'share': 0.5, 'on': True},
                {'name': 'longer', 'share': None, 'on': False},
            ],
            'table',
        )
        self.assertEqual(
            'NAME    SHARE  ON\na       0.5    yes\nlonger  -      no', text
        )

    def test_empty_outputs(self) -> None:
        self.assertEqual('(none)', _ctl_output.render([], 'table'))
        self.assertEqual('[]', _ctl_output.render([], 'json'))

    def test_times_need_an_offset(self) -> None:
        self.assertEqual(
            3_600.0, _ctl_tables.parse_time('1970-01-01T02:00:00+01:00')
        )
        self.assertEqual(15.0, _ctl_tables.parse_time('+5', now=10.0))
        for value in ('1970-01-01T00:00:00', 'soon', '+5', True):
            with self.subTest(value=value), self.assertRaises(ValueError):
                _ctl_tables.parse_time(value)

    def test_file_keeps_the_state_of_an_active_drain(self) -> None:
        row = _ctl_tables.convert_row(
            wire.TableName.DRAINS,
            'd',
            {'scope': 'region', 'subject': 'ost', 'start': 1},
        )
        active_row = _ctl_tables.convert_row(
            wire.TableName.DRAINS,
            'd',
            {
                'scope': 'region',
                'subject': 'ost',
                'start': 1,
                'state': 'active',
            },
        )
        table = wire.TableName.DRAINS
        self.assertEqual(
            [],
            _ctl_tables.find_changes(
                {table: {'d': row}}, [wire.Change(table, 'd', active_row)]
            ),
        )

    def test_unreadable_file_is_a_usage_error(self) -> None:
        with self.assertRaises(errors.UsageError):
            _ctl_tables.read_tables('/nowhere')

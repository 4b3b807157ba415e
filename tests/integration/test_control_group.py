"""Tests of groups of real control processes."""

import json
import time
import unittest

from tests import control_fixtures as fixtures
from tests import control_processes

POOLS = 'pools: {{katalog: {{queue_limit: {0}}}}}\n'
CATCH_UP_S = 15.0
ACCEPT_S = 10.0


class ControlGroupTest(unittest.TestCase):
    """Guards against accepted edits that are lost by a fault."""

    def start(self, count: int) -> control_processes.ControlGroup:
        return self.enterContext(control_processes.ControlGroup(count))

    def apply(
        self,
        group: control_processes.ControlGroup,
        queue_limit: int,
        *flags: str,
    ) -> int:
        path = group.write('tables.yaml', POOLS.format(queue_limit))
        done = group.ctl('apply', path, '--format=json', *flags)
        self.assertEqual(0, done.returncode, done.stderr)
        return int(json.loads(done.stdout)[0]['revision'])

    def read_limit(self, group: control_processes.ControlGroup) -> int:
        [pool] = group.read('show', 'pools')
        return int(pool['queue_limit'])

    def test_edit_survives_the_death_of_leaders(self) -> None:
        group = self.start(5)
        for number in (1, 2):
            self.apply(group, number)
            killed = group.wait_for_leader()
            group.kill(killed)
            started = time.monotonic()
            self.assertEqual(number, self.read_limit(group))
            self.assertLess(time.monotonic() - started, ACCEPT_S)
        self.assertEqual(3, self.apply(group, 3))

    def test_resent_edit_has_its_first_result_under_a_new_leader(self) -> None:
        group = self.start(3)
        first = self.apply(group, 1, '--edit_id=e1')
        self.apply(group, 2)
        group.kill(group.wait_for_leader())
        self.assertEqual(first, self.apply(group, 1, '--edit_id=e1'))
        self.assertEqual(2, self.read_limit(group))

    def test_no_majority_accepts_nothing(self) -> None:
        group = self.start(3)
        self.apply(group, 1)
        for member in list(group.processes)[:2]:
            group.kill(member)
        path = group.write('tables.yaml', POOLS.format(9))
        done = group.ctl('apply', path)
        self.assertIn(done.returncode, {24, 25, 27}, done.stderr)
        self.assertNotIn('Traceback', done.stderr)

    def test_members_stop_gracefully(self) -> None:
        group = self.start(3)
        for member in list(group.processes):
            self.assertEqual(0, group.stop(member))

    def test_host_is_replaced(self) -> None:
        group = self.start(3)
        self.apply(group, 1)
        lost = next(
            member
            for member in group.processes
            if member != group.wait_for_leader()
        )
        group.kill(lost)
        rpc, api = fixtures.find_free_ports(2)
        address = f'127.0.0.1:{rpc}'
        content = group.config_path(lost).read_text()
        lines = [
            line
            for line in content.splitlines()
            if line.partition(':')[0]
            not in {'member_id', 'data_dir', 'listen', 'api'}
        ]
        lines += [
            'member_id: c9',
            f'data_dir: {group.directory / "c9"}',
            f"listen: '{address}'",
            f"api: '127.0.0.1:{api}'",
            'join: true',
        ]
        group.config_path('c9').write_text('\n'.join(lines))
        group.start('c9')
        region = f'r{lost[1:]}'
        for arguments in (
            ('members', 'add', 'c9', address, region),
            ('members', 'remove', lost),
        ):
            done = self.run_until_accepted(group, *arguments)
            self.assertEqual(0, done, arguments)
        end = time.monotonic() + CATCH_UP_S
        while True:
            members = {
                row['member']: row for row in group.read('members', 'list')
            }
            if members.get('c9', {}).get('voter'):
                break
            self.assertLess(time.monotonic(), end, members)
            time.sleep(0.1)
        self.assertNotIn(lost, members)
        group.kill(group.wait_for_leader())
        self.assertEqual(1, self.read_limit(group))
        self.assertEqual(2, self.apply(group, 2))

    def run_until_accepted(
        self, group: control_processes.ControlGroup, *arguments: str
    ) -> int:
        """Run a change of members until no other one is in progress."""
        end = time.monotonic() + CATCH_UP_S
        while True:
            done = group.ctl(*arguments)
            if done.returncode == 0 or time.monotonic() > end:
                return done.returncode
            time.sleep(0.1)

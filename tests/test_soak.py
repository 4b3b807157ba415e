"""Tests of the fault soak: a short run, failed seeds and its checks."""

import asyncio
import os
import pathlib
import subprocess
import tempfile
import unittest

from tests.soak import _callers
from tests.soak import _checks
from tests.soak import _operator
from tests.soak import _plan
from tests.soak import _record
from tests.soak import _soak
from tests.soak import _system

SEED = 1
FAULTS_S = 8.0


class ShortSoakTest(unittest.TestCase):
    """Guards against violated guarantees under a series of faults."""

    def test_a_short_soak_keeps_all_promises(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            findings = asyncio.run(
                _soak.run_soak(SEED, FAULTS_S, pathlib.Path(directory))
            )
        self.assertEqual([], findings)


class ExitTest(unittest.TestCase):
    """Guards against a timely exit that counts as late, or the reverse."""

    def test_a_program_that_called_exit_has_ended(self) -> None:
        with subprocess.Popen(['sleep', '60']) as process:
            self.assertFalse(_system.is_exiting(process.pid))
            process.kill()
            # Waits without reaping: the process stays a zombie.
            os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
            self.assertTrue(_system.is_exiting(process.pid))


class PlanTest(unittest.TestCase):
    """Guards against plans that vary or exceed what the group tolerates."""

    def test_a_seed_gives_one_plan(self) -> None:
        self.assertEqual(_plan.draw_plan(5, 20.0), _plan.draw_plan(5, 20.0))
        self.assertNotEqual(_plan.draw_plan(5, 20.0), _plan.draw_plan(6, 20.0))

    def test_no_more_members_are_lost_than_the_group_bears(self) -> None:
        for seed in range(50):
            lost: list[tuple[float, float]] = []
            for fault in _plan.draw_plan(seed, 30.0):
                if not fault.subject.startswith('core-'):
                    continue
                present = [end for start, end in lost if end > fault.at_s]
                self.assertLess(len(present), _plan.TOLERATED_MEMBERS)
                end = fault.at_s + fault.for_s + _plan.CATCH_UP_S
                lost.append((fault.at_s, end))


def make_record() -> _record.Record:
    """Return a record without violations: a write and a moved read."""
    record = _record.Record()
    record.moves = [
        _record.Move(version, _operator.find_pool(version), float(version))
        for version in (7, 8)
    ]
    record.acknowledged = {7: 7.1, 8: 8.1}
    record.read_back = {
        'move': _operator.make_route(
            'move', _callers.MOVE_PATH, _operator.find_pool(8), 8
        )
    }
    record.faults_ended_at = 0.0
    add_call(record, 'w', _callers.WRITE_PATH, 100.0, 'beta')
    add_call(record, 'm', _callers.MOVE_PATH, 101.0, _operator.find_pool(8))
    return record


def add_call(
    record: _record.Record,
    request: str,
    path: str,
    at: float,
    pool: str,
    status: int = 200,
    was_cut: bool = False,
) -> None:
    """Add a request that ran on a target of a pool."""
    record.calls.append(
        _record.Call(
            request,
            'edge-1',
            path,
            path != _callers.WRITE_PATH,
            at,
            at + 0.1,
            status,
            f'{pool}-1' if status == 200 else '',
            was_cut=was_cut,
        )
    )
    add_run(record, request, at, pool)


def add_run(
    record: _record.Record, request: str, at: float, pool: str
) -> None:
    """Add one run of a request."""
    record.runs.append(
        _record.Run(request, f'{pool}-1', pool, 'z1', at + 0.01)
    )


class ChecksTest(unittest.TestCase):
    """Guards against checks that miss violations."""

    def setUp(self) -> None:
        self.record = make_record()

    def assert_found(self, text: str) -> None:
        """Check that there is one finding and that it contains a text."""
        findings = _checks.check_record(self.record)
        self.assertEqual(1, len(findings), findings)
        self.assertIn(text, findings[0])

    def test_a_sound_record_has_no_findings(self) -> None:
        self.assertEqual([], _checks.check_record(self.record))

    def test_a_proper_request_that_is_denied(self) -> None:
        add_call(
            self.record, 'r', _callers.READ_PATH, 102.0, 'alpha', status=404
        )
        self.record.calls += [self.record.calls[0]] * 40
        self.assert_found('denied')

    def test_a_write_that_ran_twice(self) -> None:
        add_run(self.record, 'w', 100.0, 'beta')
        self.assert_found('ran 2 times')

    def test_a_refused_write_that_ran(self) -> None:
        add_call(
            self.record, 'w2', _callers.WRITE_PATH, 102.0, 'beta', status=503
        )
        add_call(self.record, 'r', _callers.READ_PATH, 102.0, 'alpha')
        self.record.calls += [self.record.calls[-1]] * 40
        self.assert_found('was refused and ran')

    def test_work_for_a_target_that_left(self) -> None:
        self.record.left['beta-1'] = 100.0 - _checks.DRAIN_S
        self.assert_found('after the leave')

    def test_work_for_an_evacuated_domain(self) -> None:
        started = 100.5 - _checks.EVACUATE_S
        self.record.evacuations.append(('z1', started, 110.0))
        self.assert_found('during the evacuation')

    def test_a_target_that_is_shut_out_after_a_restart(self) -> None:
        self.record.restarted['beta-9'] = _record.Restart('z1', 90.0)
        self.assert_found('beta-9 got no request')

    def test_a_target_that_is_used_after_a_restart(self) -> None:
        self.record.restarted['beta-9'] = _record.Restart('z1', 90.0)
        self.record.arrivals.append(_record.Arrival('beta-9', 96.0))
        self.assertEqual([], _checks.check_record(self.record))

    def test_a_version_that_is_not_in_force_in_time(self) -> None:
        add_call(
            self.record, 'm2', _callers.MOVE_PATH, 90.0, _operator.find_pool(7)
        )
        self.assert_found('version 8 was due')

    def test_no_time_bound_holds_beside_a_fault(self) -> None:
        add_call(
            self.record, 'm2', _callers.MOVE_PATH, 90.0, _operator.find_pool(7)
        )
        self.record.disturbances.append(
            _record.Disturbance('core-1', 'pause', 86.0, 88.0)
        )
        self.assertEqual([], _checks.check_record(self.record))

    def test_a_version_that_reverts_also_beside_a_fault(self) -> None:
        add_call(
            self.record,
            'm2',
            _callers.MOVE_PATH,
            102.0,
            _operator.find_pool(7),
        )
        self.record.disturbances.append(
            _record.Disturbance('core-1', 'pause', 101.5, 101.9)
        )
        self.assert_found('older than version 8')

    def test_a_request_cut_by_a_graceful_stop(self) -> None:
        add_call(
            self.record,
            'r',
            _callers.READ_PATH,
            102.0,
            'alpha',
            status=0,
            was_cut=True,
        )
        self.record.calls += [self.record.calls[0]] * 40
        self.record.disturbances.append(
            _record.Disturbance('edge-1', 'stop', 101.9, 105.0, True)
        )
        found = _checks.check_record(self.record)
        self.assertTrue(any('graceful stop' in line for line in found), found)

    def add_arrivals(self, count: int) -> None:
        """Add a limit of 2 requests/s, and requests 0.1 s apart."""
        self.record.limits.append(
            _record.Limit('beta-1', 'target-2', 2.0, 100.0, 110.0)
        )
        self.record.arrivals += [
            _record.Arrival('beta-1', 103.5 + number / 10)
            for number in range(count)
        ]

    def test_a_target_that_gets_more_than_its_limit(self) -> None:
        self.add_arrivals(18)
        self.assert_found('got 18 requests')

    def test_a_target_that_gets_what_its_limit_allows(self) -> None:
        self.add_arrivals(17)
        self.assertEqual([], _checks.check_record(self.record))

    def test_requests_that_a_link_held_back_are_no_excess(self) -> None:
        self.add_arrivals(18)
        self.record.disturbances.append(
            _record.Disturbance('target-2', 'hold', 101.0, 102.0)
        )
        self.assertEqual([], _checks.check_record(self.record))

    def add_notice(self, pause_s: float, after_s: float) -> None:
        """Add a notice, and three requests some seconds later."""
        self.record.notices.append(
            _record.Notice('r0', 'beta-1', 'target-2', 100.0, pause_s)
        )
        for number in range(4):
            at = 100.0 + (after_s if number else 0.0)
            add_call(self.record, f'r{number}', _callers.READ_PATH, at, 'beta')
            self.record.arrivals.append(
                _record.Arrival('beta-1', at + 0.01, f'r{number}')
            )

    def test_requests_to_a_target_that_said_it_leaves(self) -> None:
        self.add_notice(0.0, 2.6)
        self.assert_found('3 requests through edge-1')

    def test_requests_to_a_target_that_wants_none(self) -> None:
        self.add_notice(2.0, 1.0)
        self.assert_found('3 requests through edge-1')

    def test_requests_that_another_entry_relayed(self) -> None:
        self.add_notice(0.0, 2.6)
        self.record.relayed = {'r1', 'r2', 'r3'}
        self.assertEqual([], _checks.check_record(self.record))

    def test_notices_that_the_entry_never_got(self) -> None:
        self.add_notice(2.0, 1.0)
        notice = self.record.notices[0]
        self.record.notices[0] = notice._replace(at=100.3)
        self.assertEqual([], _checks.check_record(self.record))

    def test_requests_after_a_pause_or_a_restart_of_the_entry(self) -> None:
        self.add_notice(2.0, 2.1)
        self.add_notice(0.0, 4.0)
        self.record.disturbances.append(
            _record.Disturbance('edge-1', 'kill', 101.0, 102.0)
        )
        self.assertEqual([], _checks.check_record(self.record))

    def test_a_lethal_request_that_ends_many_targets(self) -> None:
        self.record.lethal_ends = [1.0, 2.0, 3.0]
        self.record.lethal_arrivals = [7.0, 8.0, 9.0, 10.0]
        self.assert_found('came 4 times more')

    def test_an_acknowledged_version_that_is_gone(self) -> None:
        self.record.read_back = {}
        self.assert_found('expected one of')

    def test_no_service_after_the_recovery(self) -> None:
        self.record.faults_ended_at = 200.0
        self.assert_found('served after the recovery')


if __name__ == '__main__':
    unittest.main()

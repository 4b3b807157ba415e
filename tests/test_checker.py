"""Tests of the checks of the promises P1 to P8."""

import unittest

from fulmarseam import standin
from fulmarseam.bench import _checker

ENTRY = '127.0.0.1:1'


def make_call(mark: str, **changes: object) -> standin.CallRecord:
    """Return the record of a call that got a good response."""
    attempt = standin.AttemptRecord(
        entry=ENTRY, sent=10.0, ended=10.1, outcome='answered', status=200
    )
    values: dict[str, object] = {
        'mark': mark,
        'caller': 'load',
        'route': 'list',
        'region': 'ost',
        'once': True,
        'intended': 10.0,
        'ended': 10.1,
        'outcome': 'answered',
        'status': 200,
        'mark_seen': mark,
        'body_bytes': 5,
        'body_expected': 5,
        'attempts': [attempt],
        **changes,
    }
    return standin.CallRecord(**values)  # type: ignore[arg-type]


def make_run(
    event: standin.RunEvent, mark: str, time: float, **changes: object
) -> standin.RunRecord:
    """Return one record of the journal of a target."""
    values: dict[str, object] = {
        'time': time,
        'event': event,
        'target': 't1',
        'pool': 'katalog',
        'region': 'ost',
        'incarnation': 1,
        'slots': 2,
        'busy': 1,
        'mark': mark,
        **changes,
    }
    return standin.RunRecord(**values)  # type: ignore[arg-type]


def make_runs(
    mark: str, time: float = 10.0, **changes: object
) -> list[standin.RunRecord]:
    """Return the journal records of a request that was answered."""
    ended: dict[str, object] = {
        'result': standin.RunResult.ANSWERED,
        **changes,
    }
    return [
        make_run(standin.RunEvent.START, mark, time, **changes),
        make_run(standin.RunEvent.END, mark, time + 0.1, **ended),
    ]


class CheckerTest(unittest.TestCase):
    """Guards against a checker that misses a violation of a promise.

    It must not report a history that keeps the promises either.
    """

    def find_promises(self, history: _checker.History) -> list[str]:
        return [
            violation.promise
            for violation in _checker.find_violations(history)
        ]

    def check(
        self,
        calls: list[standin.CallRecord],
        runs: list[standin.RunRecord],
        **changes: object,
    ) -> list[str]:
        history = _checker.History(
            calls,
            runs,
            entry_regions={ENTRY: 'ost'},
            route_pools={'list': 'katalog'},
            **changes,  # type: ignore[arg-type]
        )
        return self.find_promises(history)

    def test_good_run_has_no_violations(self) -> None:
        calls = [make_call('m1'), make_call('m2', outcome='not-run', status=0)]
        self.assertEqual([], self.check(calls, make_runs('m1')))

    def test_shift_over_its_cap(self) -> None:
        calls = [make_call(f'm{number}') for number in range(10)]
        runs = [
            run
            for number in range(4)
            for run in make_runs(f'm{number}', 11.0 + number, region='west')
        ]
        for cap, expected in ((40.0, []), (35.0, ['P1'])):
            shift = _checker.ShiftCap('katalog', 'ost', 'west', cap, 9.0, 20.0)
            promises = self.check(calls, runs, shifts=[shift])
            promises = [name for name in promises if name == 'P1']
            self.assertEqual(expected, promises)

    def test_shift_over_its_cap_temporarily(self) -> None:
        attempt = make_call('m0').attempts[0]
        late = standin.AttemptRecord(
            entry=ENTRY, sent=19.0, ended=19.1, outcome='answered', status=200
        )
        calls = [make_call('m0', attempts=[attempt])]
        calls += [make_call(f'm{n}', attempts=[late]) for n in range(1, 10)]
        shift = _checker.ShiftCap('katalog', 'ost', 'west', 50.0, 9.0, 20.0)
        runs = make_runs('m0', 11.0, region='west')
        self.assertIn('P1', self.check(calls, runs, shifts=[shift]))

    def test_more_requests_than_slots_of_a_region(self) -> None:
        runs = [
            make_run(standin.RunEvent.START, f'm{n}', 10.0 + n, busy=n + 1)
            for n in range(3)
        ]
        self.assertIn('P2', self.check([], runs))
        self.assertNotIn('P2', self.check([], runs[:2]))
        self.assertEqual(1, _checker.count_slot_overruns(runs))

    def test_slots_of_all_targets_of_a_region_add_up(self) -> None:
        other = make_run(standin.RunEvent.UP, '', 9.0, target='t2', busy=0)
        runs = [other] + [
            make_run(standin.RunEvent.START, f'm{n}', 10.0 + n, busy=n + 1)
            for n in range(3)
        ]
        self.assertNotIn('P2', self.check([], runs))

    def test_late_cancellation_is_not_over_slots(self) -> None:
        starts = [
            make_run(standin.RunEvent.START, f'm{n}', 10.0 + n, busy=n + 1)
            for n in range(3)
        ]
        for delay, expected in ((0.01, False), (0.2, True)):
            end = make_run(
                standin.RunEvent.END,
                'm0',
                12.0 + delay,
                busy=3,
                result=standin.RunResult.CANCELLED,
            )
            promises = self.check([], [*starts, end])
            self.assertEqual(expected, 'P2' in promises)

    def test_link_over_its_rate(self) -> None:
        runs = make_runs('m1', region='west', sent_bytes=2_000)
        calls = [make_call('m1')]
        for limit, expected in ((1_000, True), (3_000, False)):
            promises = self.check(
                calls, runs, link_bytes_per_s={'west>ost': limit}
            )
            self.assertEqual(expected, 'P2' in promises)

    def test_response_to_another_request(self) -> None:
        calls = [make_call('m1', mark_seen='m2')]
        self.assertEqual(['P3'], self.check(calls, make_runs('m1')))

    def test_truncated_response_taken_as_complete(self) -> None:
        calls = [make_call('m1', body_bytes=4)]
        self.assertEqual(['P3'], self.check(calls, make_runs('m1')))
        calls = [make_call('m1', action='truncate')]
        self.assertEqual(['P3'], self.check(calls, make_runs('m1')))

    def test_response_without_a_run(self) -> None:
        self.assertEqual(['P3'], self.check([make_call('m1')], []))

    def test_not_run_that_ran(self) -> None:
        calls = [make_call('m1', outcome='not-run', status=503)]
        self.assertEqual(['P4'], self.check(calls, make_runs('m1')))

    def test_run_twice(self) -> None:
        runs = make_runs('m1') + make_runs('m1', 12.0, target='t2')
        self.assertEqual(['P5'], self.check([make_call('m1')], runs))
        repeatable = make_call('m1', once=False)
        self.assertEqual([], self.check([repeatable], runs))

    def test_request_after_leaving(self) -> None:
        leave = make_run(standin.RunEvent.LEAVING, '', 10.0, busy=0)
        for time, expected in ((12.9, []), (13.1, ['P6'])):
            runs = [leave, *make_runs('m1', time)]
            self.assertEqual(expected, self.check([make_call('m1')], runs))

    def test_request_of_a_new_incarnation_after_leaving(self) -> None:
        leave = make_run(standin.RunEvent.LEAVING, '', 10.0, busy=0)
        runs = [leave, *make_runs('m1', 20.0, incarnation=2)]
        self.assertEqual([], self.check([make_call('m1')], runs))

    def check_stop(self, **changes: object) -> list[str]:
        values: dict[str, object] = {
            'entry': ENTRY,
            'sent': 10.0,
            'ended': 11.0,
            'outcome': 'unknown',
            'status': 0,
            **changes,
        }
        attempt = standin.AttemptRecord(**values)  # type: ignore[arg-type]
        call = make_call('m1', outcome='unknown', status=0, attempts=[attempt])
        stop = _checker.GracefulStop(ENTRY, 10.5, 17.0)
        return self.check([call], [], stops=[stop])

    def test_graceful_stop_that_breaks_a_call(self) -> None:
        self.assertEqual(['P7'], self.check_stop())
        self.assertEqual([], self.check_stop(ended=10.2))
        self.assertEqual([], self.check_stop(status=502))

    def test_graceful_stop_that_refuses_cached_lookups(self) -> None:
        refused = {'opened': False, 'outcome': 'not-run'}
        self.assertEqual(['P7'], self.check_stop(sent=14.0, **refused))
        self.assertEqual([], self.check_stop(sent=16.0, **refused))

    def test_outdated_configuration_in_force(self) -> None:
        retired = _checker.Retirement('list', 10.0)
        drained = _checker.TargetDrain('t1', 10.0)
        for time, expected in ((14.9, []), (15.1, ['P8'])):
            calls, runs = [make_call('m1')], make_runs('m1', time)
            promises = self.check(calls, runs, retirements=[retired])
            self.assertEqual(expected, promises)
            promises = self.check(calls, runs, drains=[drained])
            self.assertEqual(expected, promises)

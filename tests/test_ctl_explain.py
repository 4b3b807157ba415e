"""Tests of the command that explains a request from log lines."""

import contextlib
import io
import pathlib
import subprocess
import sys
import tempfile
import tracemalloc
import unittest

from fulmarseam import errors
from fulmarseam import telemetry
from fulmarseam.commands import _ctl_explain

TIME = '2026-03-26T11:25:'
ENTRY_LOG = '\n'.join(
    (
        f'time={TIME}00.100000Z level=INFO logger=gateway event=started '
        'host=edge-1',
        f'time={TIME}05.200000Z level=INFO logger=gateway '
        'event=target_ejected target=t-1 address=10.1.0.1:80 failures=1',
        f'time={TIME}05.300000Z level=INFO logger=gateway '
        'event=target_ejected target=t-9 address=10.1.0.9:80 failures=1',
        'Traceback (most recent call last):',
        f'time={TIME}05.900000Z level=INFO logger=request '
        'event=request_ended id=q1 outcome=target_failed route=r pool=p '
        'object=2 targets=t-1:target_failed,t-2:target_failed status=0 '
        'elapsed_s=0.981 time_left_s=0.705 revision=41 '
        'detail="answered \\"500\\""',
    )
)
CONTROL_LOG = '\n'.join(
    (
        f'time={TIME}04.000000Z level=INFO logger=control event=target_state '
        'target=t-2 phase=draining',
        f'time={TIME}05.000000Z level=INFO logger=control '
        'event=targets_dropped targets=t-1,t-7',
        f'time={TIME}05.100000Z level=INFO logger=control event=target_state '
        'target=t-8 phase=ready',
        f'time={TIME}05.150000Z level=INFO logger=control '
        'event=announcement_ignored target=t-2 phase=ready reason=ended',
        f'time={TIME}05.160000Z level=INFO logger=control '
        'event=announcement_ignored target=t-8 phase=ready reason=older',
        f'time={TIME}40.000000Z level=INFO logger=control '
        'event=leadership_ended member=core-1 term=2',
    )
)


class ExplainTest(unittest.TestCase):
    """Guards against an explanation that lacks related log lines."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.paths = []
        for name, text in (
            ('edge-1.log', ENTRY_LOG),
            ('core-1.log', CONTROL_LOG),
        ):
            path = pathlib.Path(directory.name) / name
            path.write_text(text, encoding='utf-8')
            self.paths.append(str(path))

    def explain(self) -> list[str]:
        """Return the lines of the explanation of request q1."""
        return _ctl_explain.explain('q1', self.paths).splitlines()

    def test_the_outcome_and_each_attempt_are_shown(self) -> None:
        lines = self.explain()
        self.assertIn('target_failed', lines[0])
        self.assertIn('may have run', lines[1])
        self.assertIn('answered "500"', lines[2])
        self.assertIn('attempt 1: t-1: target_failed', lines[3])
        self.assertIn('attempt 2: t-2: target_failed', lines[4])

    def test_only_related_events_follow_in_order(self) -> None:
        found = [
            (line.split()[0], line.split('event=')[1].split()[0])
            for line in self.explain()[5:]
        ]
        self.assertEqual(
            [
                ('-5.800', 'started'),
                ('-1.900', 'target_state'),
                ('-0.900', 'targets_dropped'),
                ('-0.750', 'announcement_ignored'),
                ('-0.700', 'target_ejected'),
            ],
            found,
        )

    def test_an_unknown_request_id_is_an_error(self) -> None:
        with self.assertRaises(errors.FulmarseamError) as caught:
            _ctl_explain.explain('q2', self.paths)
        self.assertIs(errors.ErrorKind.NOT_FOUND, caught.exception.kind)
        self.assertIn('requests_omitted', caught.exception.detail)

    def test_a_missing_file_is_named(self) -> None:
        with self.assertRaises(errors.UsageError) as caught:
            _ctl_explain.explain('q1', ['/nowhere/edge.log'])
        self.assertIn('/nowhere/edge.log', caught.exception.detail)

    def test_the_program_reads_standard_input(self) -> None:
        done = subprocess.run(
            [
                sys.executable,
                '-m',
                'fulmarseam.commands',
                'ctl',
                'explain',
                'q1',
                '-',
            ],
            input=ENTRY_LOG,
            capture_output=True,
            text=True,
            timeout=30.0,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertIn('attempt 2: t-2', done.stdout)

    def test_the_inputs_of_each_placement_are_shown(self) -> None:
        self.write_request('target_timeout', 'first_choice:queue=0.50')
        lines = self.explain()
        self.assertIn('first_choice, queue=0.50', lines[2])

    def write_request(self, outcome: str, inputs: str) -> None:
        """Replace the log of the entry by one request."""
        line = (
            f'time={TIME}05.900000Z level=INFO logger=request '
            f'event=request_ended id=q1 outcome={outcome} route=r pool=p '
            f'targets=t-1:{outcome} inputs={inputs} status=0 '
            'elapsed_s=1.981 time_left_s=0.000'
        )
        pathlib.Path(self.paths[0]).write_text(line, encoding='utf-8')

    def test_the_likely_cause_is_told(self) -> None:
        for inputs, expected in (
            ('cold:queue=0.00:expected_s=1.0:age_s=0.1', 'it was cold'),
            ('first_choice:queue=0.50:age_s=0.1', 'waited in the queue'),
            ('other:queue=0.00:age_s=0.1', 'object cached'),
            ('first_choice:queue=0.00:age_s=5.0', 'busier than'),
            ('first_choice:queue=0.00:expected_s=0.6:age_s=0.1', '0.6 s exp'),
            ('nonsense', 'took longer'),
        ):
            with self.subTest(inputs=inputs):
                self.write_request('target_timeout', inputs)
                self.assertIn(expected, ' '.join(self.explain()))

    def test_a_caller_that_left_early_is_told_from_a_slow_run(self) -> None:
        self.write_request(
            'caller_gone', 'first_choice:queue=0.00:expected_s=2.50:age_s=0.1'
        )
        self.assertIn(
            'left before the response was expected', ' '.join(self.explain())
        )

    def test_only_the_catalog_in_force_at_the_arrival_is_shown(self) -> None:
        """Hundreds of targets join and leave within seconds."""
        self.write_request('target_timeout', 'cold:queue=0.00')
        with pathlib.Path(self.paths[0]).open('a', encoding='utf-8') as file:
            for second in ('01.0', '02.0', '03.0', '05.0'):
                file.write(
                    f'\ntime={TIME}{second}00000Z event=catalog_in_force '
                    f'revision={second[:2]}'
                )
        found = [line for line in self.explain() if 'catalog' in line]
        self.assertEqual(2, len(found))
        self.assertIn('revision=03', found[0])
        self.assertIn('revision=05', found[1])

    def test_a_target_that_several_entries_ejected_is_the_cause(self) -> None:
        self.write_request('target_failed', 'first_choice:queue=0.50')
        for name in ('edge-2.log', 'edge-3.log'):
            path = pathlib.Path(self.paths[0]).with_name(name)
            path.write_text(
                f'time={TIME}05.600000Z event=target_ejected target=t-1\n',
                encoding='utf-8',
            )
            self.paths.append(str(path))
        self.assertIn('2 entries ejected it', ' '.join(self.explain()))

    def test_memory_is_bounded_whatever_the_size_of_the_logs(self) -> None:
        """Guards against a tool that fails on the logs of a whole day."""
        path = pathlib.Path(self.paths[1])
        with path.open('a', encoding='utf-8') as file:
            for number in range(60_000):
                file.write(
                    f'time=2026-03-26T12:00:00.000000Z event=request_ended '
                    f'id=x{number} outcome=answered targets=t-1 '
                    'elapsed_s=0.1\n'
                )
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.explain()
        self.assertLess(tracemalloc.get_traced_memory()[1], 2 * 1024 * 1024)


class QuotingTest(unittest.TestCase):
    """Guards against log values that change when written and read back."""

    def test_values_are_read_as_they_were_written(self) -> None:
        for text in ('plain', '', 'two words', 'a"b', 'a\\nb', 'a\nb', '\\'):
            with self.subTest(text=text):
                line = telemetry.format_event('x', value=text)
                line = f'time={TIME}00.000000Z {line}'
                with contextlib.closing(io.StringIO(line)) as lines:
                    (event,) = _ctl_explain.read_events('log', lines)
                self.assertEqual(text, event.fields['value'])


if __name__ == '__main__':
    unittest.main()

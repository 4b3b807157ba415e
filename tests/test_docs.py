"""Tests that the documentation matches the code."""

import pathlib
import re
import unittest

from fulmarseam import errors
from fulmarseam import settings
from fulmarseam.bench import capacity

ROOT = pathlib.Path(__file__).resolve().parent.parent
ERROR_ROW = re.compile(r'^\| `(\w+)` \| (\d+) \| ([a-z-]+) \|', re.MULTILINE)
EXIT_ROW = re.compile(r'^\| `(\w+)` \| (\d+) \| ', re.MULTILINE)


class ErrorPageTest(unittest.TestCase):
    """Guards against an error page that contradicts the code."""

    def test_page_lists_every_kind_with_its_answer(self) -> None:
        page = (ROOT / 'docs' / 'errors.md').read_text(encoding='utf-8')
        callers, operators = page.split('## Kinds that operators see')
        seen = set()
        for name, status, outcome in ERROR_ROW.findall(callers):
            answer = errors.ANSWERS[errors.ErrorKind(name)]
            self.assertEqual(int(status), answer.status, name)
            self.assertEqual(outcome, answer.outcome.value, name)
            seen.add(name)
        for name, exit_code in EXIT_ROW.findall(operators):
            answer = errors.ANSWERS[errors.ErrorKind(name)]
            self.assertEqual(int(exit_code), answer.exit_code, name)
            seen.add(name)
        self.assertEqual({kind.value for kind in errors.ErrorKind}, seen)


class EventPageTest(unittest.TestCase):
    """Guards against log events that the operations page does not list."""

    PACKAGES = ('catalog', 'gateway', 'platform')
    MODULES = (
        'control/_catalog.py',
        'control/_rate_limits.py',
        'telemetry/_request_log.py',
    )
    EVENT = re.compile(r"format_event\(\s*'(\w+)'")

    def test_every_event_is_listed(self) -> None:
        page = (ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')
        source = ROOT / 'fulmarseam'
        paths = [source / name for name in self.MODULES]
        for package in self.PACKAGES:
            paths.extend(sorted((source / package).glob('*.py')))
        for path in paths:
            for event in self.EVENT.findall(path.read_text('utf-8')):
                with self.subTest(path=path.name, event=event):
                    self.assertIn(f'`{event}`', page)


class CapacityPageTest(unittest.TestCase):
    """Guards against a capacity page that differs from its results."""

    def test_tables_are_made_from_the_results_file(self) -> None:
        docs = ROOT / 'docs'
        results = capacity.read_results(docs / 'capacity-results.json')
        page = (docs / 'CAPACITY.md').read_text(encoding='utf-8')
        self.assertIn(capacity.make_tables(results), page)


class ExampleSettingsTest(unittest.TestCase):
    """Guards against example settings that the programs refuse."""

    def test_all_examples_are_valid(self) -> None:
        for deployment in ('landesmoebeldienst', 'tabua'):
            folder = ROOT / 'examples' / deployment
            controls = sorted(folder.glob('control-*.yaml'))
            entries = sorted(folder.glob('entry-*.yaml'))
            self.assertEqual((5, 7), (len(controls), len(entries)))
            for path in controls:
                settings.load_settings(str(path), settings.ControlSettings)
            for path in entries:
                settings.load_settings(str(path), settings.EntrySettings)

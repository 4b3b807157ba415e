"""Tests of the settings package."""

import unittest

from fulmarseam import errors
from fulmarseam import settings

VALID = """
entry_id: e1
region: ost
failure_domain: ost-a
listen: 127.0.0.1:8000
api: 127.0.0.1:8001
rpc: 127.0.0.1:8002
control: {c1: '127.0.0.1:7001'}
"""


class ReadSettingsTest(unittest.TestCase):
    """Guards against invalid settings that are accepted."""

    def test_valid_file_gets_defaults(self) -> None:
        loaded = settings.parse_settings(VALID, settings.EntrySettings)
        self.assertEqual('e1', loaded.entry_id)
        self.assertEqual(3_000, loaded.config_lease_ms)

    def test_all_problems_are_reported_together(self) -> None:
        content = VALID.replace('ost-a', 'OST A') + 'lookup_ttl_ms: 5\nx: 1\n'
        with self.assertRaises(errors.SettingsError) as caught:
            settings.parse_settings(content, settings.EntrySettings, 'f.yaml')
        problems = '\n'.join(caught.exception.problems)
        self.assertIn("f.yaml: failure_domain: found 'OST A'", problems)
        self.assertIn(
            'lookup_ttl_ms: found 5, expected a whole number from 1000',
            problems,
        )
        self.assertIn('x: found 1, expected no such setting', problems)

    def test_control_group_must_survive_the_loss_of_a_region(self) -> None:
        members = ', '.join(
            f"c{number}: {{address: '127.0.0.1:{7000 + number}', "
            f'region: {region}}}'
            for number, region in enumerate(['a', 'a', 'a', 'b', 'c'])
        )
        content = f"""
member_id: c1
region: a
failure_domain: a-1
data_dir: data
listen: 127.0.0.1:7001
api: 127.0.0.1:7101
members: {{{members}}}
"""
        with self.assertRaises(errors.SettingsError) as caught:
            settings.parse_settings(content, settings.ControlSettings)
        self.assertIn('members in region a: found 3', str(caught.exception))


class AnswerTableTest(unittest.TestCase):
    """Guards against an error kind without an answer."""

    def test_every_kind_has_an_answer(self) -> None:
        self.assertEqual(set(errors.ErrorKind), set(errors.ANSWERS))

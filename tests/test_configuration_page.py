"""Tests that docs/configuration.md matches the code."""

import dataclasses
import pathlib
import re
import tempfile
import unittest

from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import store
from fulmarseam import wire
from fulmarseam.commands import _ctl_tables

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = (ROOT / 'docs' / 'configuration.md').read_text(encoding='utf-8')
EXAMPLE = re.compile(r'```yaml\n(.*?)```', re.DOTALL)
# Fields that the leader owns, and the key of each row.
UNDOCUMENTED = {'name', 'state', 'percent'}


def find_words(text: str) -> set[str]:
    """Return the names that a text shows as code."""
    return set(re.findall(r'`(\w+)`', text))


WORDS = find_words(PAGE)


CATALOG_PAGE = (ROOT / 'docs' / 'configuration-catalog.md').read_text(
    encoding='utf-8'
)


class CatalogPageTest(unittest.TestCase):
    """Guards against catalog settings missing from the page."""

    def test_every_setting_is_listed(self) -> None:
        parts = CATALOG_PAGE.split('\n## ')
        schemas = (settings.CatalogSettings, settings.GatewaySettings)
        for schema, part in zip(schemas, parts[1:], strict=True):
            for field in dataclasses.fields(schema):
                with self.subTest(schema=schema.__name__, field=field.name):
                    self.assertIn(field.name, find_words(part))

    def test_examples_are_accepted(self) -> None:
        control, entry = EXAMPLE.findall(CATALOG_PAGE)
        settings.parse_settings(control, settings.CatalogSettings)
        settings.parse_settings(entry, settings.GatewaySettings)


class ConfigurationPageTest(unittest.TestCase):
    """Guards against settings missing from the page and invalid examples."""

    def test_every_setting_is_listed(self) -> None:
        for schema in (
            settings.ControlSettings,
            settings.EntrySettings,
            settings.CtlSettings,
        ):
            for field in dataclasses.fields(schema):
                with self.subTest(schema=schema.__name__, field=field.name):
                    self.assertIn(field.name, WORDS)

    def test_every_field_of_a_row_is_listed(self) -> None:
        words = find_words(PAGE.partition('## Tables')[2])
        for table in store.EDITABLE_TABLES:
            fields = set(store.ROW_TYPES[table].__struct_fields__)
            if table is wire.TableName.LINKS:
                fields -= {'from_region', 'to_region'}
            for field in fields - UNDOCUMENTED:
                with self.subTest(table=table.value, field=field):
                    self.assertIn(field, words)

    def test_examples_are_accepted(self) -> None:
        control, entry, ctl, tables = EXAMPLE.findall(PAGE)
        settings.parse_settings(control, settings.ControlSettings)
        settings.parse_settings(entry, settings.EntrySettings)
        settings.parse_settings(ctl, settings.CtlSettings)
        with tempfile.NamedTemporaryFile('w', suffix='.yaml') as file:
            file.write(tables)
            file.flush()
            wanted = _ctl_tables.read_tables(file.name)
        changes = _ctl_tables.find_changes(wanted, [])
        edit = wire.Edit(
            edit_id=ids.EditId('example'),
            base=dict.fromkeys(wanted, 0),
            changes=changes,
        )
        machine = store.Machine()
        result = wire.decode(machine.apply(store.encode_command(edit)))
        assert isinstance(result, wire.EditResult)
        self.assertIsNone(result.kind, result.problems)

"""Reading of settings files."""

from collections.abc import Mapping
import pathlib
from typing import Any
from typing import TypeVar

import yaml

from fulmarseam import errors
from fulmarseam.settings import _options

SchemaT = TypeVar('SchemaT')


def load_settings(path: str, schema: type[SchemaT]) -> SchemaT:
    """Read one YAML file into a schema.

    Raises `errors.SettingsError` with one line for each wrong setting.
    """
    try:
        content = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        raise errors.SettingsError(
            [f'{path}: cannot be read: {error.strerror}']
        ) from error
    return parse_settings(content, schema, path)


def parse_settings(
    content: str, schema: type[SchemaT], source: str = '<text>'
) -> SchemaT:
    """Check YAML text against a schema.

    `source` names the text in error messages. Raises
    `errors.SettingsError` with one line for each wrong setting.
    """
    try:
        found: Any = yaml.safe_load(content)
    except yaml.YAMLError as error:
        summary = ' '.join(str(error).split())
        raise errors.SettingsError(
            [f'{source}: is not valid YAML: {summary}']
        ) from error
    if not isinstance(found, Mapping):
        raise errors.SettingsError(
            [f'{source}: found {found!r}, expected a mapping of settings']
        )
    try:
        settings: SchemaT = _options.check_section(schema, found)
    except _options.InvalidValueError as error:
        raise errors.SettingsError(
            [f'{source}: {problem}' for problem in error.problems]
        ) from error
    return settings

"""Common startup of all programs: flags, settings and exit codes."""

from collections.abc import Callable
import sys
from typing import Any
from typing import TypeVar

from absl import app
from absl import flags

import fulmarseam
from fulmarseam import errors
from fulmarseam import settings

SchemaT = TypeVar('SchemaT')

_CONFIG = flags.DEFINE_string('config', None, 'The YAML settings file.')
_CHECK = flags.DEFINE_bool('check', False, 'Check the settings file and exit.')
_VERSION = flags.DEFINE_bool('version', False, 'Print the version and exit.')


def launch(main: Callable[[list[str]], int]) -> None:
    """Parse the flags, run `main` with the other arguments, and exit.

    For a `FulmarseamError`, print one line per problem to standard error and
    exit with the code of its kind.
    """

    def run(argv: list[str]) -> int:
        if _VERSION.value:
            print(fulmarseam.__version__)
            return 0
        try:
            return main(argv[1:])
        except errors.FulmarseamError as error:
            print(f'error: {error.detail}', file=sys.stderr)
            return error.answer.exit_code

    app.run(run, flags_parser=_parse_flags)


def _parse_flags(argv: list[str]) -> list[str]:
    """Parse the flags; for an invalid one print a line and exit."""
    try:
        arguments: list[str] = flags.FLAGS(argv)
    except flags.Error as error:
        summary = ' '.join(str(error).split())
        print(f'error: {summary}', file=sys.stderr)
        sys.exit(errors.ANSWERS[errors.ErrorKind.INVALID_USAGE].exit_code)
    return arguments


def get_config_path() -> str | None:
    path: str | None = _CONFIG.value
    return path


def launch_daemon(
    schema: type[SchemaT], serve: Callable[[SchemaT], Any]
) -> None:
    """Load the settings file of `--config` and run `serve` with it."""

    def main(arguments: list[str]) -> int:
        if arguments:
            raise errors.UsageError(
                f'found argument {arguments[0]!r}, expected only flags'
            )
        if _CONFIG.value is None:
            raise errors.UsageError('--config: found nothing, expected a file')
        loaded = settings.load_settings(_CONFIG.value, schema)
        if _CHECK.value:
            print(f'{_CONFIG.value}: valid')
            return 0
        serve(loaded)
        return 0

    launch(main)

"""Runs a program on a host of the platform.

The platform fills the templates in `deploy/` with its fields. The environment
variable `FULMARSEAM_BOOT` holds the path of the resulting settings file::

    python3 -m fulmarseam.platform control
    python3 -m fulmarseam.platform entry
"""

import os
import sys

from fulmarseam import errors
from fulmarseam.platform import _programs

SETTINGS_VARIABLE = 'FULMARSEAM_BOOT'


def main(arguments: list[str]) -> int:
    """Run the program that the first argument names."""
    programs = {
        'control': _programs.run_control,
        'entry': _programs.run_entry,
    }
    if len(arguments) != 1 or arguments[0] not in programs:
        print(
            f'usage: python3 -m fulmarseam.platform {{{",".join(programs)}}}',
            file=sys.stderr,
        )
        return errors.ANSWERS[errors.ErrorKind.INVALID_USAGE].exit_code
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(
            f'error: {SETTINGS_VARIABLE}: found nothing, expected the path '
            'of the settings file',
            file=sys.stderr,
        )
        return errors.ANSWERS[errors.ErrorKind.INVALID_SETTINGS].exit_code
    try:
        programs[arguments[0]](path)
    except errors.FulmarseamError as error:
        print(f'error: {error.detail}', file=sys.stderr)
        return error.answer.exit_code
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

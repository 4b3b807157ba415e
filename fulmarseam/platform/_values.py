"""Parsing and formatting of values in the platform's JSON."""

import re
from typing import Any

_TIME_PATTERN = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_MS_PER_UNIT = {'ms': 1.0, 's': 1_000.0}


class UnreadableError(ValueError):
    """A request body does not have the format that the platform defines."""


def require(found: Any, expected: type[Any], location: str) -> Any:
    """Return `found` if it has the expected type.

    A boolean does not count as an integer. Raises `UnreadableError`.
    """
    is_boolean = isinstance(found, bool)
    if not isinstance(found, expected) or (
        is_boolean and expected is not bool
    ):
        raise UnreadableError(
            f'{location}: found {found!r}, expected {expected.__name__}'
        )
    return found


def read_field(
    fields: dict[str, Any], name: str, expected: type[Any], location: str
) -> Any:
    """Return a required field; raises `UnreadableError`."""
    return require(fields.get(name), expected, f'{location}.{name}')


def read_number(fields: dict[str, Any], name: str, location: str) -> float:
    """Return a required number; raises `UnreadableError`."""
    found = fields.get(name)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise UnreadableError(
            f'{location}.{name}: found {found!r}, expected a number'
        )
    return float(found)


def read_ms(fields: dict[str, Any], name: str, location: str) -> float:
    """Return a required time in milliseconds; raises `UnreadableError`."""
    found = fields.get(name)
    match = _TIME_PATTERN.fullmatch(found) if isinstance(found, str) else None
    if match is None:
        raise UnreadableError(
            f'{location}.{name}: found {found!r}, expected a time such as '
            '1500ms'
        )
    return float(match[1]) * _MS_PER_UNIT[match[2]]


def format_seconds(seconds: float) -> str:
    """Return a time in the platform's format."""
    return f'{round(seconds * 1_000)}ms'

"""Values as the platform writes them."""

import re
from typing import Any

_TIME = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_MS_PER_UNIT = {'ms': 1.0, 's': 1_000.0}


class UnreadableError(ValueError):
    """A body does not have the form that the platform describes."""


def require(found: Any, expected: type[Any], place: str) -> Any:
    """Return a value of the expected type; whole numbers are no booleans.

    Raises `UnreadableError`.
    """
    is_boolean = isinstance(found, bool)
    if not isinstance(found, expected) or (
        is_boolean and expected is not bool
    ):
        raise UnreadableError(
            f'{place}: found {found!r}, expected {expected.__name__}'
        )
    return found


def read_field(
    fields: dict[str, Any], name: str, expected: type[Any], place: str
) -> Any:
    """Return a required field; raises `UnreadableError`."""
    return require(fields.get(name), expected, f'{place}.{name}')


def read_number(fields: dict[str, Any], name: str, place: str) -> float:
    """Return a required number; raises `UnreadableError`."""
    found = fields.get(name)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise UnreadableError(
            f'{place}.{name}: found {found!r}, expected a number'
        )
    return float(found)


def read_ms(fields: dict[str, Any], name: str, place: str) -> float:
    """Return a required time in milliseconds; raises `UnreadableError`."""
    found = fields.get(name)
    match = _TIME.fullmatch(found) if isinstance(found, str) else None
    if match is None:
        raise UnreadableError(
            f'{place}.{name}: found {found!r}, expected a time such as 1500ms'
        )
    return float(match[1]) * _MS_PER_UNIT[match[2]]


def write_seconds(seconds: float) -> str:
    """Return a time as the platform writes it."""
    return f'{round(seconds * 1_000)}ms'

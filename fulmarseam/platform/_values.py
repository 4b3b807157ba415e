"""Parsing and formatting of values in the platform's JSON."""

import json
import math
import re
from typing import Any

_TIME_PATTERN = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_MS_PER_UNIT = {'ms': 1.0, 's': 1_000.0}


# Longest message of an error; it may name fields of any length.
MAX_MESSAGE_CHARACTERS = 1_000


class UnreadableError(ValueError):
    """A request body does not have the format that the platform defines."""

    def __init__(self, message: str) -> None:
        super().__init__(message[:MAX_MESSAGE_CHARACTERS])


# Integers in messages between the system's processes have 64 bits.
_MAX_INTEGER = 2**63 - 1
# Longest body that is parsed, some 22,000 routes. A text may take four times
# its bytes.
MAX_BYTES = 5 * 1024 * 1024
# Most signs of structure in a body, some 24,000 routes. Parsed, each of them
# takes up to 130 bytes.
MAX_STRUCTURE = 600_000
# Longest text that an error shows.
MAX_SHOWN_CHARACTERS = 200
_STRUCTURE_SIGNS = (b'[', b'{', b',', b':')
# Half of a surrogate pair, which UTF-8 cannot encode.
_SURROGATE_PATTERN = re.compile(r'\\u[dD][89a-fA-F]')


def parse_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object of a body.

    Raises `UnreadableError` if it is malformed, nested too deeply, or has a
    number or a text that messages between processes cannot hold. One that
    is too long or has too many values is refused before any is created.
    """
    if len(body) > MAX_BYTES:
        raise UnreadableError(
            f'body: found {len(body)} bytes, expected at most {MAX_BYTES}'
        )
    structure = sum(map(body.count, _STRUCTURE_SIGNS))
    if structure > MAX_STRUCTURE:
        raise UnreadableError(
            f'body: found {structure} brackets, commas and colons, expected '
            f'at most {MAX_STRUCTURE}'
        )
    try:
        text = body.decode(json.detect_encoding(body))
        found = json.loads(
            text,
            parse_int=_parse_integer,
            parse_float=_parse_float,
            parse_constant=_refuse_constant,
        )
        if _SURROGATE_PATTERN.search(text):
            _require_encodable(found)
    except (ValueError, RecursionError) as error:
        raise UnreadableError(f'body: {error}') from error
    return dict(require(found, dict, 'body'))


def _require_encodable(found: Any) -> None:
    """Raise `UnicodeEncodeError` if UTF-8 cannot encode a text of `found`.

    Each text is encoded by itself, as a copy of all would take as much
    memory as the body again, several times.
    """
    values = [found]
    while values:
        value = values.pop()
        if isinstance(value, str):
            value.encode()
        elif isinstance(value, list):
            values.extend(value)
        elif isinstance(value, dict):
            values.extend(value)
            values.extend(value.values())


def _parse_integer(text: str) -> int:
    number = int(text)
    if abs(number) > _MAX_INTEGER:
        raise ValueError(f'found {text}, expected an integer of 64 bits')
    return number


def _parse_float(text: str) -> float:
    number = float(text)
    if math.isinf(number):
        raise ValueError(f'found {text}, expected a finite number')
    return number


def _refuse_constant(text: str) -> float:
    raise ValueError(f'found {text}, expected a number')


def require(found: Any, expected: type[Any], location: str) -> Any:
    """Return `found` if it has the expected type.

    A boolean does not count as an integer. Raises `UnreadableError`, which
    tells no content of lists and objects: they may hold keys.
    """
    is_boolean = isinstance(found, bool)
    if not isinstance(found, expected) or (
        is_boolean and expected is not bool
    ):
        raise UnreadableError(
            f'{location}: found {describe(found)}, expected '
            f'{expected.__name__}'
        )
    return found


def describe(found: Any) -> str:
    """Return a value for an error, without the content of a container."""
    if isinstance(found, (dict, list)):
        return type(found).__name__
    if isinstance(found, str) and len(found) > MAX_SHOWN_CHARACTERS:
        return f'{found[:MAX_SHOWN_CHARACTERS]!r}...'
    return repr(found)


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
            f'{location}.{name}: found {describe(found)}, expected a number'
        )
    return float(found)


def read_ms(fields: dict[str, Any], name: str, location: str) -> float:
    """Return a required time in milliseconds; raises `UnreadableError`."""
    found = fields.get(name)
    match = _TIME_PATTERN.fullmatch(found) if isinstance(found, str) else None
    if match is None:
        raise UnreadableError(
            f'{location}.{name}: found {describe(found)}, expected a time '
            'such as '
            '1500ms'
        )
    milliseconds = float(match[1]) * _MS_PER_UNIT[match[2]]
    if math.isinf(milliseconds):
        raise UnreadableError(
            f'{location}.{name}: found a time of {len(match[1])} digits, '
            'expected one such as 1500ms'
        )
    return milliseconds


def format_seconds(seconds: float) -> str:
    """Return a time in the platform's format."""
    return f'{round(seconds * 1_000)}ms'

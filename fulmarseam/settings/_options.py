"""Checks for single settings.

A check is a function that takes the key and the value found and returns the
checked value. It raises `InvalidValueError` with one line per problem.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import ipaddress
import re
from typing import Any

Check = Callable[[str, Any], Any]

_IDENTIFIER = re.compile(r'[a-z0-9][a-z0-9_-]{0,62}')
_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_SECONDS_PER_UNIT = {'ms': 0.001, 's': 1.0}
_CHECK = 'check'


class InvalidValueError(ValueError):
    """A value does not match what its option expects.

    `problems` holds one line for each value that is wrong.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__('; '.join(problems))
        self.problems = problems


def describe_problem(key: str, found: Any, expected: str) -> str:
    """Return the line that reports one wrong setting."""
    return f'{key}: found {found!r}, expected {expected}'


def invalid_value(key: str, found: Any, expected: str) -> InvalidValueError:
    """Return the error for one wrong setting."""
    return InvalidValueError([describe_problem(key, found, expected)])


def option(check: Check, default: Any = dataclasses.MISSING) -> Any:
    """Return a dataclass field whose value is verified by `check`.

    An option without a default is required.
    """
    if isinstance(default, (list, dict)):
        return dataclasses.field(
            default_factory=lambda: type(default)(default),
            metadata={_CHECK: check},
        )
    return dataclasses.field(default=default, metadata={_CHECK: check})


def text(max_length: int = 4096) -> Check:
    """Accept a string that is not empty."""

    def check(key: str, value: Any) -> str:
        if not isinstance(value, str) or not 0 < len(value) <= max_length:
            raise invalid_value(
                key, value, f'a text of 1 to {max_length} characters'
            )
        return value

    return check


def identifier() -> Check:
    """Accept a short lower-case name."""

    def check(key: str, value: Any) -> str:
        if not isinstance(value, str) or not _IDENTIFIER.fullmatch(value):
            raise invalid_value(
                key, value, 'a name of letters a-z, digits, "-" and "_"'
            )
        return value

    return check


def integer(minimum: int, maximum: int) -> Check:
    """Accept a whole number within bounds."""

    def check(key: str, value: Any) -> int:
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not minimum <= value <= maximum:
            raise invalid_value(
                key, value, f'a whole number from {minimum} to {maximum}'
            )
        return int(value)

    return check


def number(minimum: float, maximum: float) -> Check:
    """Accept a number within bounds."""

    def check(key: str, value: Any) -> float:
        is_number = isinstance(value, (int, float)) and not isinstance(
            value, bool
        )
        if not is_number or not minimum <= value <= maximum:
            raise invalid_value(
                key, value, f'a number from {minimum} to {maximum}'
            )
        return float(value)

    return check


def duration(minimum_s: float, maximum_s: float) -> Check:
    """Accept a time such as `1500ms` or `2.5s`; the result is in seconds."""
    expected = (
        f'a time from {minimum_s:g}s to {maximum_s:g}s, such as 1500ms or 2.5s'
    )

    def check(key: str, value: Any) -> float:
        match = _DURATION.fullmatch(value) if isinstance(value, str) else None
        if match is None:
            raise invalid_value(key, value, expected)
        seconds = float(match[1]) * _SECONDS_PER_UNIT[match[2]]
        if not minimum_s <= seconds <= maximum_s:
            raise invalid_value(key, value, expected)
        return seconds

    return check


def boolean() -> Check:
    """Accept true or false."""

    def check(key: str, value: Any) -> bool:
        if not isinstance(value, bool):
            raise invalid_value(key, value, 'true or false')
        return value

    return check


def choice(*allowed: str) -> Check:
    """Accept one of a closed list of words."""

    def check(key: str, value: Any) -> str:
        if value not in allowed:
            raise invalid_value(key, value, 'one of ' + ', '.join(allowed))
        return str(value)

    return check


def address() -> Check:
    """Accept IP:PORT, with IPv6 addresses in brackets."""
    expected = 'IP:PORT with an IP number and a port from 1 to 65535'

    def check(key: str, value: Any) -> str:
        if not isinstance(value, str):
            raise invalid_value(key, value, expected)
        host, _, port = value.rpartition(':')
        try:
            ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
        except ValueError:
            raise invalid_value(key, value, expected) from None
        if not port.isdigit() or not 1 <= int(port) <= 65535:
            raise invalid_value(key, value, expected)
        return value

    return check


def anything() -> Check:
    """Accept any value, which another part of the program interprets."""
    return lambda key, value: value


def optional(inner: Check) -> Check:
    """Accept null or what `inner` accepts."""

    def check(key: str, value: Any) -> Any:
        return None if value is None else inner(key, value)

    return check


def list_of(inner: Check, min_length: int = 0) -> Check:
    """Accept a list whose items all pass `inner`."""

    def check(key: str, value: Any) -> list[Any]:
        if not isinstance(value, list) or len(value) < min_length:
            raise invalid_value(
                key, value, f'a list of {min_length} or more items'
            )
        return _collect(
            (f'{key}[{position}]', item) for position, item in enumerate(value)
        )

    def _collect(items: Any) -> list[Any]:
        checked: list[Any] = []
        problems: list[str] = []
        for item_key, item in items:
            try:
                checked.append(inner(item_key, item))
            except InvalidValueError as error:
                problems.extend(error.problems)
        if problems:
            raise InvalidValueError(problems)
        return checked

    return check


def mapping_of(key_check: Check, inner: Check, min_length: int = 0) -> Check:
    """Accept a mapping whose keys and values pass their checks."""

    def check(key: str, value: Any) -> dict[Any, Any]:
        if not isinstance(value, Mapping) or len(value) < min_length:
            raise invalid_value(
                key, value, f'a mapping of {min_length} or more entries'
            )
        checked: dict[Any, Any] = {}
        problems: list[str] = []
        for name, item in value.items():
            try:
                checked_name = key_check(f'{key} key', name)
                checked[checked_name] = inner(f'{key}.{name}', item)
            except InvalidValueError as error:
                problems.extend(error.problems)
        if problems:
            raise InvalidValueError(problems)
        return checked

    return check


def section(schema: type[Any]) -> Check:
    """Accept a mapping that matches the schema."""

    def check(key: str, value: Any) -> Any:
        if not isinstance(value, Mapping):
            raise invalid_value(key, value, 'a mapping')
        return check_section(schema, value, f'{key}.')

    return check


def check_section(
    schema: type[Any], found: Mapping[Any, Any], prefix: str = ''
) -> Any:
    """Return an instance of `schema` made of checked values.

    A setting without a value counts as absent if it is not required: that is
    how templates render fields that a deployment does not have.
    Raises `InvalidValueError` with all problems of the section.
    """
    fields = {item.name: item for item in dataclasses.fields(schema)}
    problems = [
        describe_problem(
            f'{prefix}{name}', value, 'no such setting; remove it'
        )
        for name, value in found.items()
        if name not in fields
    ]
    checked: dict[str, Any] = {}
    for name, item in fields.items():
        key = f'{prefix}{name}'
        if name not in found:
            if _is_required(item):
                problems.append(f'{key}: found nothing, expected a value')
            continue
        if found[name] is None and not _is_required(item):
            continue
        try:
            checked[name] = item.metadata[_CHECK](key, found[name])
        except InvalidValueError as error:
            problems.extend(error.problems)
    if problems:
        raise InvalidValueError(problems)
    settings = schema(**checked)
    _check_dependent_values(settings)
    return settings


def _is_required(item: dataclasses.Field[Any]) -> bool:
    return (
        item.default is dataclasses.MISSING
        and item.default_factory is dataclasses.MISSING
    )


def _check_dependent_values(settings: Any) -> None:
    """Check values that depend on each other with `find_problems`."""
    find_problems = getattr(settings, 'find_problems', None)
    if find_problems is None:
        return
    problems = find_problems()
    if problems:
        raise InvalidValueError(problems)

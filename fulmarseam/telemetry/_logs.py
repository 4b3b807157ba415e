"""Log lines of key=value pairs, one line for each event."""

from collections.abc import Iterator
import contextlib
import re
import sys
from typing import Any
from typing import Protocol

import logbook

_FORMAT = (
    'time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} '
    'logger={record.channel} {record.message}'
)
_ESCAPE_SEQUENCE = re.compile(r'\\(.)')
_UNQUOTED_CHARACTERS = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@+,%'
)


class LineStream(Protocol):
    """A stream that takes log lines."""

    def write(self, text: str) -> object:
        """Write a part of a line."""

    def flush(self) -> None:
        """Pass on all text written so far."""


def format_event(event: str, **fields: Any) -> str:
    """Format one event as key=value pairs.

    Values with characters that are not in the unquoted set are quoted::

        format_event('edit_accepted', revision=7)
        'event=edit_accepted revision=7'
    """
    pairs = [f'event={event}']
    pairs.extend(f'{key}={_quote(value)}' for key, value in fields.items())
    return ' '.join(pairs)


def _quote(value: Any) -> str:
    text = f'{value:.3f}' if isinstance(value, float) else str(value)
    if text and all(character in _UNQUOTED_CHARACTERS for character in text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    return '"' + escaped.replace('\n', '\\n') + '"'


def unquote(text: str) -> str:
    """Return the original value of `text` as written by `format_event`."""
    if not text.startswith('"'):
        return text
    return _ESCAPE_SEQUENCE.sub(
        lambda match: '\n' if match[1] == 'n' else match[1], text[1:-1]
    )


@contextlib.contextmanager
def open_log(
    path: str | None, level: str, stream: LineStream | None = None
) -> Iterator[None]:
    """Write log lines to a file, or to a stream without a path.

    The stream defaults to standard error.
    """
    handler: Any
    if path is None:
        handler = logbook.StreamHandler(
            stream or sys.stderr, level=level.upper(), format_string=_FORMAT
        )
    else:
        handler = logbook.FileHandler(
            path, level=level.upper(), format_string=_FORMAT
        )
    logbook.set_datetime_format('utc')
    with handler.applicationbound():
        yield

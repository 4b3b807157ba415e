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
_ESCAPE = re.compile(r'\\(.)')
_PLAIN = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@+,%'
)


class LineStream(Protocol):
    """What log lines are written to."""

    def write(self, text: str) -> object:
        """Take a part of a line."""

    def flush(self) -> None:
        """Pass on what was written."""


def format_event(event: str, **fields: Any) -> str:
    """Return the text of one event.

    Values with other than plain characters are quoted::

        format_event('edit_accepted', revision=7)
        'event=edit_accepted revision=7'
    """
    pairs = [f'event={event}']
    pairs.extend(f'{key}={_quote(value)}' for key, value in fields.items())
    return ' '.join(pairs)


def _quote(value: Any) -> str:
    text = f'{value:.3f}' if isinstance(value, float) else str(value)
    if text and all(character in _PLAIN for character in text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    return '"' + escaped.replace('\n', '\\n') + '"'


def unquote(text: str) -> str:
    """Return the value that `format_event` wrote as `text`."""
    if not text.startswith('"'):
        return text
    return _ESCAPE.sub(
        lambda match: '\n' if match[1] == 'n' else match[1], text[1:-1]
    )


@contextlib.contextmanager
def open_log(
    path: str | None, level: str, stream: LineStream | None = None
) -> Iterator[None]:
    """Send log lines to a file, or without a path to a stream.

    The stream is standard error unless another one is given.
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

"""Refuse messages with ambiguous framing.

h11 accepts line feeds without carriage return, folded header lines,
repeated equal Content-Length headers, and Content-Length together with
Transfer-Encoding. Another HTTP implementation on the path may parse these
differently, so they are refused before h11 parses them.

A target may write a part of an earlier response late. On a kept connection
it then runs into the next head, which has two status lines or two values of
a field that a response has once.
"""

from collections.abc import Collection
import re

from fulmarseam import errors

HEAD_END = b'\r\n\r\n'

# Characters of an error of h11, which quotes the whole line that it refuses.
MAX_DETAIL_CHARS = 200

# A status outside 100 to 599 is invalid (RFC 9110, section 15). h11 refuses
# those below.
MAX_STATUS = 599

# Fields that a message has once, apart from those that h11 checks.
SINGLE_FIELDS = frozenset((b'content-encoding', b'content-length'))

_STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d\d\d')

Headers = list[tuple[bytes, bytes]]
# The last value of each header, by name in lower case.
Fields = dict[bytes, bytes]

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def make_malformed_error(detail: str) -> errors.FulmarseamError:
    """Return the error for a malformed request or response."""
    return errors.FulmarseamError(errors.ErrorKind.MALFORMED_REQUEST, detail)


def describe(error: Exception) -> str:
    """Return the beginning of the text of an error of h11."""
    text = str(error)
    if len(text) <= MAX_DETAIL_CHARS:
        return text
    return f'{text[:MAX_DETAIL_CHARS]}...'


def check_lines(head: bytes | bytearray) -> None:
    """Refuse bare line feeds, bare carriage returns, NUL and folding."""
    pairs = head.count(b'\r\n')
    if head.count(b'\n') != pairs:
        raise make_malformed_error('line feed without carriage return')
    if head.count(b'\r') != pairs and not head.endswith(b'\r'):
        raise make_malformed_error('carriage return without line feed')
    if b'\0' in head:
        raise make_malformed_error('NUL byte in the headers')
    if b'\n ' in head or b'\n\t' in head:
        raise make_malformed_error('folded header line')


def check_length_headers(head: bytes | bytearray) -> None:
    """Refuse repeated or conflicting headers that frame the body."""
    lower = head.lower()
    lengths = lower.count(b'\ncontent-length')
    if lengths == 0:
        return
    if lengths > 1:
        raise make_malformed_error('repeated Content-Length')
    if b'\ntransfer-encoding' in lower:
        raise make_malformed_error('Content-Length with Transfer-Encoding')
    start = lower.index(b'\ncontent-length')
    line = lower[start + 1 : lower.index(b'\r', start)]
    if b',' in line:
        raise make_malformed_error('Content-Length is a list')


def count_fields(head: bytes | bytearray, length: int) -> int:
    """Return the number of lines of a complete head after its first one."""
    return head.count(b'\n', 0, length) - 2


def check_status_line(head: bytes | bytearray) -> None:
    """Refuse a second status line, also within a line of the head."""
    if len(_STATUS_LINE.findall(head)) > 1:
        raise make_malformed_error('several status lines')


def find_repeated(
    headers: Headers, fields: Fields, names: Collection[bytes]
) -> bytes | None:
    """Return one of the names that occurs more than once, if any."""
    if len(fields) == len(headers):
        return None
    seen = set()
    for name, _ in headers:
        if name in seen and name in names:
            return name
        seen.add(name)
    return None


def check_single_fields(
    headers: Headers, fields: Fields, names: Collection[bytes] = SINGLE_FIELDS
) -> None:
    """Refuse a repeated field that a message has once."""
    repeated = find_repeated(headers, fields, names)
    if repeated is not None:
        raise make_malformed_error(f'several {repeated.decode()} headers')


def check_version(version: bytes) -> None:
    """Refuse other major versions, as their framing differs."""
    if not version.startswith(b'1.'):
        raise make_malformed_error(
            f'found HTTP/{version.decode()}, expected HTTP/1.x'
        )


def is_kept_alive(headers: Headers, fields: Fields) -> bool:
    """Return whether HTTP/1.1 headers keep the connection open."""
    value = fields.get(b'connection')
    if value is None:
        return True
    return b'close' not in _parse_connection_tokens(headers)


def find_length(fields: Fields) -> int | None:
    """Return the value of Content-Length, or None without one.

    The headers must have passed the checks above and those of h11.
    """
    value = fields.get(b'content-length')
    return None if value is None else int(value)


def drop_headers(
    headers: Headers, fields: Fields, dropped: frozenset[bytes] = HOP_BY_HOP
) -> Headers:
    """Return the headers without the dropped ones.

    `dropped` has to include `HOP_BY_HOP`. Headers listed in `Connection`
    are dropped as well. Names are in lower case.
    """
    if b'connection' in fields:
        # `Connection` must not remove the framing of the message.
        dropped |= _parse_connection_tokens(headers) - {
            b'content-length',
            b'host',
        }
    return [item for item in headers if item[0] not in dropped]


def _parse_connection_tokens(headers: Headers) -> set[bytes]:
    """Return all tokens of the `Connection` headers, in lower case."""
    return {
        token.strip()
        for name, value in headers
        if name == b'connection'
        for token in value.lower().split(b',')
    }

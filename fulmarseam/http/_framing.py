"""Checks that refuse messages whose framing could be read in two ways.

h11 accepts line feeds without carriage return, folded header lines,
repeated equal lengths and a length beside a transfer coding. Another
program on the path may read these differently, so they are refused here
before h11 sees them.
"""

from fulmarseam import errors

HEAD_END = b'\r\n\r\n'

Headers = list[tuple[bytes, bytes]]
# The last value of each header, by name in lower case.
Fields = dict[bytes, bytes]

# Headers that belong to one connection and are not passed on.
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


def refuse(detail: str) -> errors.FulmarseamError:
    """Return the error for a malformed message."""
    return errors.FulmarseamError(errors.ErrorKind.MALFORMED_REQUEST, detail)


def check_lines(head: bytes | bytearray) -> None:
    """Refuse bare line feeds, bare carriage returns, NUL and folding."""
    pairs = head.count(b'\r\n')
    if head.count(b'\n') != pairs:
        raise refuse('line feed without carriage return')
    if head.count(b'\r') != pairs and not head.endswith(b'\r'):
        raise refuse('carriage return without line feed')
    if b'\0' in head:
        raise refuse('NUL in the headers')
    if b'\n ' in head or b'\n\t' in head:
        raise refuse('folded header line')


def check_length_headers(head: bytes | bytearray) -> None:
    """Refuse repeated or conflicting headers that frame the body."""
    lower = head.lower()
    lengths = lower.count(b'\ncontent-length')
    if lengths == 0:
        return
    if lengths > 1:
        raise refuse('repeated Content-Length')
    if b'\ntransfer-encoding' in lower:
        raise refuse('Content-Length with Transfer-Encoding')
    start = lower.index(b'\ncontent-length')
    line = lower[start + 1 : lower.index(b'\r', start)]
    if b',' in line:
        raise refuse('Content-Length is a list')


def check_version(version: bytes) -> None:
    """Refuse a major version whose framing is another one."""
    if not version.startswith(b'1.'):
        raise refuse(f'found HTTP/{version.decode()}, expected HTTP/1.x')


def is_kept_alive(headers: Headers, fields: Fields) -> bool:
    """Return whether HTTP/1.1 headers leave the connection open."""
    value = fields.get(b'connection')
    if value is None:
        return True
    return b'close' not in _list_tokens(headers)


def find_length(fields: Fields) -> int | None:
    """Return the declared length of a body, or None without one.

    The headers must have passed the checks above and those of h11.
    """
    value = fields.get(b'content-length')
    return None if value is None else int(value)


def drop_headers(
    headers: Headers, fields: Fields, dropped: frozenset[bytes] = HOP_BY_HOP
) -> Headers:
    """Return the headers without the dropped ones.

    `dropped` has to include `HOP_BY_HOP`. Headers named by `Connection`
    are left out as well. Names are in lower case.
    """
    if b'connection' in fields:
        # A caller must not have the framing of its message removed.
        dropped |= _list_tokens(headers) - {b'content-length', b'host'}
    return [item for item in headers if item[0] not in dropped]


def _list_tokens(headers: Headers) -> set[bytes]:
    """Return all tokens of the `Connection` headers, in lower case."""
    return {
        token.strip()
        for name, value in headers
        if name == b'connection'
        for token in value.lower().split(b',')
    }

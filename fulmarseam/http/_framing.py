"""Checks that refuse messages whose framing could be read in two ways.

h11 accepts line feeds without carriage return, folded header lines,
repeated equal lengths and a length beside a transfer coding. Another
program on the path may read these differently, so they are refused here
before h11 sees them.
"""

from collections.abc import Iterable

from fulmarseam import errors

HEAD_END = b'\r\n\r\n'

Headers = list[tuple[bytes, bytes]]

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


def drop_hop_by_hop(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that may be passed on.

    Headers named by `Connection` are left out as well. Names are in lower
    case.
    """
    kept = []
    named: set[bytes] | None = None
    for name, value in headers:
        if name in HOP_BY_HOP:
            if name == b'connection':
                named = named or set()
                named.update(
                    token.strip() for token in value.lower().split(b',')
                )
            continue
        kept.append((name, value))
    if not named or named <= {b'close', b'keep-alive'}:
        return kept
    # A caller must not have the framing of its message removed.
    named -= {b'content-length', b'host'}
    return [item for item in kept if item[0] not in named]


def find_header(
    headers: Iterable[tuple[bytes, bytes]], wanted: bytes
) -> bytes | None:
    """Return the first value of a header; names are in lower case."""
    for name, value in headers:
        if name == wanted:
            return value
    return None

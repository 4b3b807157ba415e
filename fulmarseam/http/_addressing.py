"""Find the host and the path in a request target."""

import re

from fulmarseam.http import _caller
from fulmarseam.http import _framing

_DOT_SEGMENT = re.compile(rb'/(\.|%2[eE]){1,2}(/|\?|$)')
_ABSOLUTE_FORM = re.compile(rb'https?://([^/?]*)([/?].*)?', re.IGNORECASE)


def identify_caller(request: _caller.Request) -> bytes:
    """Return what a request says about its caller: cookies and credentials."""
    fields = request.fields
    return b'\n'.join(
        fields[name]
        for name in (b'authorization', b'cookie')
        if name in fields
    )


def find_host_and_path(request: _caller.Request) -> tuple[str, str]:
    """Return the host and the path with its query.

    Raises `errors.FulmarseamError` for a malformed request target, and for
    dot segments, which a target could resolve to the path of another route.
    """
    target = request.target
    host = request.fields.get(b'host', b'')
    if not target.startswith(b'/'):
        match = _ABSOLUTE_FORM.fullmatch(target)
        if match is None:
            raise _framing.make_malformed_error(
                f'expected a path or an HTTP URL, found {target!r}'
            )
        host = match[1]
        target = match[2] or b'/'
        if target.startswith(b'?'):
            target = b'/' + target
    if b'/.' in target or b'/%2' in target:
        if _DOT_SEGMENT.search(target.partition(b'?')[0]):
            raise _framing.make_malformed_error(
                'dot segment in the request path'
            )
    if b'#' in target:
        raise _framing.make_malformed_error('fragment in the request target')
    return host.decode('latin-1'), target.decode('latin-1')

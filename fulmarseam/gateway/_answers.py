"""Error answers of the gateway itself."""

import json

from fulmarseam import errors
from fulmarseam import http

# How long a caller should wait before it retries, by error. Without capacity
# a slot becomes free after about one service time. After a restart of all
# hosts the control members need about a second to elect a leader, before
# which no entry has a configuration.
RETRY_AFTER_S = {
    errors.ErrorKind.NO_CAPACITY: 0.25,
    errors.ErrorKind.TARGET_SHED: 0.25,
    errors.ErrorKind.NO_TARGET: 0.25,
    errors.ErrorKind.CONFIG_STALE: 1.0,
    errors.ErrorKind.ENTRY_DRAINING: 0.0,
}


def make_answer(error: errors.FulmarseamError) -> http.LocalResponse:
    """Return the answer that tells a caller about an error."""
    answer = error.answer
    body = json.dumps(
        {
            'kind': error.kind.value,
            'outcome': answer.outcome.value,
            'detail': error.detail,
        }
    )
    headers = [(b'content-type', b'application/json')]
    retry_after_s = error.retry_after_s
    if retry_after_s is None:
        retry_after_s = RETRY_AFTER_S.get(error.kind)
    if retry_after_s is not None:
        headers.append((b'retry-after', b'%.2f' % retry_after_s))
    if error.kind is errors.ErrorKind.UNAUTHENTICATED:
        headers.append((b'www-authenticate', b'Bearer'))
    return http.LocalResponse(answer.status, headers, body.encode() + b'\n')

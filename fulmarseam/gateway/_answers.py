"""Answers that a gateway makes itself."""

import json

from fulmarseam import errors
from fulmarseam import http

# How long a caller should wait before it tries again, in seconds. Without
# room a slot is free after about one service time. When all hosts start
# again, the members need about a second to elect a leader, before which no
# entry has a configuration.
RETRY_AFTER_S = {
    errors.ErrorKind.NO_CAPACITY: 0.25,
    errors.ErrorKind.TARGET_SHED: 0.25,
    errors.ErrorKind.NO_TARGET: 0.25,
    errors.ErrorKind.CONFIG_STALE: 1.0,
    errors.ErrorKind.ENTRY_DRAINING: 0.0,
}


def make_answer(error: errors.FulmarseamError) -> http.OwnAnswer:
    """Return the answer for an error."""
    answer = error.answer
    body = json.dumps(
        {
            'kind': error.kind.value,
            'outcome': answer.outcome.value,
            'detail': error.detail,
        }
    )
    headers = [(b'content-type', b'application/json')]
    retry_after_s = RETRY_AFTER_S.get(error.kind)
    if retry_after_s is not None:
        headers.append((b'retry-after', b'%.2f' % retry_after_s))
    return http.OwnAnswer(answer.status, headers, body.encode() + b'\n')

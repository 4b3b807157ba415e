"""Reading of notices from the heads of answers."""

import re
from typing import NamedTuple

from fulmarseam import http
from fulmarseam import steering

RETRY_AFTER_HEADER = b'retry-after'
REFUSING_STATUS = 503
LEAVING_VALUE = b'1'
MAX_LOGGED_VALUE_BYTES = 80

_DECIMAL = re.compile(rb'\d+(\.\d*)?|\.\d+')


class Notice(NamedTuple):
    """What an answer says about the requests that its target wants.

    `pause_s` is the time in seconds for which it wants none, or 0. `problem`
    is a value that cannot be read.
    """

    is_leaving: bool = False
    pause_s: float = 0.0
    problem: bytes = b''


NO_NOTICE = Notice()


def read_notice(response: http.Response, leaving_header: bytes) -> Notice:
    """Return the notice of an answer.

    Only a refusal says when the target wants requests again, in seconds. A
    date cannot be read, as the clocks of hosts differ.
    """
    fields = response.fields
    leaving = fields.get(leaving_header)
    pause = None
    if response.status == REFUSING_STATUS:
        pause = fields.get(RETRY_AFTER_HEADER)
    if leaving is None and pause is None:
        return NO_NOTICE
    pause_s = 0.0
    problem = b''
    if leaving not in (None, LEAVING_VALUE, b'0'):
        problem = leaving or b'(empty)'
    if pause is not None:
        if _DECIMAL.fullmatch(pause):
            pause_s = min(float(pause), steering.MAX_PAUSE_S)
        else:
            problem = pause or b'(empty)'
    return Notice(
        leaving == LEAVING_VALUE, pause_s, problem[:MAX_LOGGED_VALUE_BYTES]
    )

"""The header names that callers and targets use."""

from typing import NamedTuple


class HttpNames(NamedTuple):
    """Names in lower case, as one deployment has them.

    `request_id` comes with each request and answer. `deadline` holds the
    milliseconds that the caller waits. `expected_target` makes a target
    with another id refuse the request, and `not_run` marks an answer of a
    target that did not run it. `load` reports running and waiting requests
    and slots, and `cold` the time that a target stays cold. `affinity` is
    the cookie that names the object of a request. `readiness_path` is
    where the platform asks whether the entry is ready.
    """

    request_id: bytes = b'fulmarseam-request-id'
    deadline: bytes = b'fulmarseam-deadline-ms'
    expected_target: bytes = b'fulmarseam-target'
    not_run: bytes = b'fulmarseam-not-run'
    load: bytes = b'fulmarseam-load'
    affinity: bytes = b'fulmarseam-object'
    readiness_path: str = '/v1/ready'

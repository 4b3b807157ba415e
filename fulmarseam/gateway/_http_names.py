"""The names that callers and targets use in HTTP."""

from typing import NamedTuple


class HttpNames(NamedTuple):
    """Lower-case names of headers, a cookie and a path in one deployment.

    The header `request_id` is sent with each request and answer. `deadline`
    is the time in milliseconds that the caller waits. `expected_target` is
    the id of the intended target; any other target refuses the request.
    `not_run` marks an answer of a target that did not run the request.
    `load` reports running requests, waiting requests and slots.
    `leaving` is `1` in the answers of a target that leaves.
    `rate_limit` is the number of requests a second that the target takes
    from all entries together. `stamp` is a target's mark on its answers.
    `relayed` marks a request that another entry relays, and is the number of
    targets that may still run it; in the refusal of such a request it is how
    often targets may have got it. `affinity` is the cookie that names the
    object of a request, and `readiness_path` the path of the platform's
    readiness checks. `organisation` names the organisation of the caller to
    targets and other entries.
    """

    request_id: bytes = b'fulmarseam-request-id'
    deadline: bytes = b'fulmarseam-deadline-ms'
    expected_target: bytes = b'fulmarseam-target'
    not_run: bytes = b'fulmarseam-not-run'
    load: bytes = b'fulmarseam-load'
    leaving: bytes = b'fulmarseam-leaving'
    rate_limit: bytes = b'fulmarseam-rate-limit'
    stamp: bytes = b'fulmarseam-stamp'
    affinity: bytes = b'fulmarseam-object'
    relayed: bytes = b'fulmarseam-relayed'
    readiness_path: str = '/v1/ready'
    organisation: bytes = b'fulmarseam-organisation'

    def list_single_fields(self) -> frozenset[bytes]:
        """Return the headers that a message has once.

        Of several rate limits the lowest counts.
        """
        return frozenset(
            (
                self.request_id,
                self.deadline,
                self.expected_target,
                self.not_run,
                self.load,
                self.leaving,
                self.stamp,
                self.relayed,
            )
        )

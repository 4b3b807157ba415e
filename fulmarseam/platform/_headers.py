"""The platform's header names for the gateway."""

from fulmarseam import gateway

# The echo of the request id ties an answer to its request. A target that
# has another id than the expected one answers 421. The affinity name is a
# cookie, not a header.
HTTP_NAMES = gateway.HttpNames(
    request_id=b'x-request-id',
    deadline=b'x-deadline-ms',
    expected_target=b'x-expect-instance',
    not_run=b'x-not-executed',
    load=b'x-server-load',
    affinity=b'x-affinity-key',
    readiness_path='/api/ready',
)

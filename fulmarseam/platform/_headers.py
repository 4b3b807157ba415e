"""The platform's HTTP names for the gateway."""

from fulmarseam import gateway

# A target echoes the request id, which ties its answer to the request. It
# answers 421 if its own id is not the expected one. The affinity name is that
# of a cookie, not of a header.
HTTP_NAMES = gateway.HttpNames(
    request_id=b'x-request-id',
    deadline=b'x-deadline-ms',
    expected_target=b'x-expect-instance',
    not_run=b'x-not-executed',
    load=b'x-server-load',
    leaving=b'server-leaving',
    rate_limit=b'server-limit',
    stamp=b'x-server-stamp',
    affinity=b'x-affinity-key',
    organisation=b'x-tenant',
    relayed=b'fulmarseam-relayed',
    readiness_path='/api/ready',
)

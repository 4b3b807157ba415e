"""Relaying of requests to entries that reach the targets.

An entry that has lost its paths to the targets sends its callers' requests
through other entries, which serve them like requests of their own callers
but relay them no further::

    failure = await relays.relay(
        pool, allowed_regions, deadline, body, send, try_acquire_retry
    )
    if failure is not None:
        raise failure.error or refusal
"""

from fulmarseam.relay._probes import Paths
from fulmarseam.relay._probes import Probe
from fulmarseam.relay._probes import Prober
from fulmarseam.relay._relayed import RelayedRequests
from fulmarseam.relay._relays import make_body_error
from fulmarseam.relay._relays import make_failure
from fulmarseam.relay._relays import make_refusal
from fulmarseam.relay._relays import may_have_reached_target
from fulmarseam.relay._relays import RelayFailure
from fulmarseam.relay._relays import Relays

__all__ = [
    'Paths',
    'Probe',
    'Prober',
    'RelayFailure',
    'RelayedRequests',
    'Relays',
    'make_body_error',
    'make_failure',
    'make_refusal',
    'may_have_reached_target',
]

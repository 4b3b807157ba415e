"""Upper bound of the time that a sync request was in transit."""

import collections

from fulmarseam import wire

# Time for which response times are kept. A target lease lasts 3 s, so older
# acknowledgements are of no use.
RETENTION_S = 10.0
# Age assumed for a request that acknowledges no response of this term and so
# may have been in transit for any time. Its announcements count as this old:
# a target that has left in the meantime gets new requests for half a lease at
# most, and a ready target has time to announce itself once more.
UNKNOWN_AGE_S = 1.5


class SendTimes:
    """Send times of the responses of one term, by sequence number.

    A request names the response applied last and the time since then. It
    cannot have been sent before the send time of that response plus this
    time, however long the network delayed the request.
    """

    def __init__(self, term: int, clock_drift: float) -> None:
        self._term = term
        self._clock_drift = clock_drift
        self._response_times: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def record_response(self, now: float, sequence: int) -> None:
        """Record that a response is sent now."""
        self._response_times[sequence] = now
        while next(iter(self._response_times.values())) < now - RETENTION_S:
            self._response_times.popitem(last=False)

    def compute_max_age(self, now: float, request: wire.SyncRequest) -> float:
        """Return the longest time that a request can have been in transit.

        A request without `ack_age_ms` counts as just sent.
        """
        if request.ack_age_ms is None:
            return 0.0
        responded_at = self._response_times.get(request.ack_sequence)
        if request.ack_term != self._term or responded_at is None:
            return UNKNOWN_AGE_S
        elapsed_s = request.ack_age_ms / 1_000 * (1.0 - self._clock_drift)
        return max(0.0, now - responded_at - elapsed_s)

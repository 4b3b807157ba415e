"""When a sync request can have been sent, on the clock of the leader."""

import collections

from fulmarseam import wire

# Older acknowledgements say nothing that a lease of 3 s still needs.
KEPT_S = 10.0
# A request that acknowledges nothing of this term may have been under way
# for any time. Its announcements count as this old, so that a target that
# has left since gets new work for half a lease at most, while one that is
# ready has time to announce itself once more.
UNKNOWN_AGE_S = 1.5


class SendTimes:
    """Times of the answers of one term, by their sequence number.

    A request names the answer applied last and how long ago that was. It
    cannot have been sent earlier than the answer plus that time, however
    long it was held up on the way.
    """

    def __init__(self, term: int, clock_drift: float) -> None:
        self._term = term
        self._clock_drift = clock_drift
        self._answered: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def note_answer(self, now: float, sequence: int) -> None:
        """Note that an answer is sent now."""
        self._answered[sequence] = now
        while next(iter(self._answered.values())) < now - KEPT_S:
            self._answered.popitem(last=False)

    def find_age(self, now: float, request: wire.SyncRequest) -> float:
        """Return the most seconds that a request can have been under way.

        Requests that do not tell their `ack_age_ms` count as just sent.
        """
        if request.ack_age_ms is None:
            return 0.0
        answered_at = self._answered.get(request.ack_sequence)
        if request.ack_term != self._term or answered_at is None:
            return UNKNOWN_AGE_S
        passed_s = request.ack_age_ms / 1_000 * (1.0 - self._clock_drift)
        return max(0.0, now - answered_at - passed_s)

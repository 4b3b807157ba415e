"""An entry's share of the links between regions."""

import dataclasses
import math

from fulmarseam import wire

CLOCK_DRIFT = 0.01
# Bytes that may be sent at once, as seconds of the granted rate. A fifth of
# every link is not shared out and absorbs such bursts.
BURST_S = 0.05


@dataclasses.dataclass(slots=True)
class _Bucket:
    rate: int = 0
    until: float = 0.0
    tokens: float = 0.0
    filled_at: float = 0.0


class LinkTokens:
    """Token buckets, one for each direction of a link, in bytes.

    A rate lasts as long as the grants of the same answer and `linger_s`
    more for bodies of requests that are already in flight; new requests
    need an unexpired rate.
    """

    def __init__(
        self, linger_s: float = 0.0, clock_drift: float = CLOCK_DRIFT
    ) -> None:
        self._linger_s = linger_s
        self._clock_drift = clock_drift
        self._buckets: dict[str, _Bucket] = {}
        self._order = (0, 0)
        self._applied_at = -math.inf

    def apply(
        self, now: float, sent_at: float, response: wire.SyncResponse
    ) -> bool:
        """Replace the rates by those of an answer.

        Return False and change nothing when the answer is not newer than
        the last one applied, or when it is the first of a new term and
        rates were applied after its request was sent, as in `SlotTracker`.
        """
        order = response.term, response.grant_sequence
        if order <= self._order:
            return False
        if response.term != self._order[0] and sent_at <= self._applied_at:
            return False
        self._order = order
        self._applied_at = now
        rates = {link.name: link.bytes_per_s for link in response.links}
        ttl_s = response.grant_ttl_ms / 1_000
        for name in self._buckets.keys() | rates.keys():
            bucket = self._buckets.setdefault(name, _Bucket(filled_at=now))
            self._fill(now, bucket)
            bucket.rate = rates.get(name, 0)
            bucket.until = sent_at + ttl_s * (1.0 - self._clock_drift)
            bucket.tokens = min(bucket.tokens, bucket.rate * BURST_S)
        return True

    def rate(self, now: float, name: str) -> int:
        """Return the granted bytes/s; 0 when nothing is in force."""
        bucket = self._buckets.get(name)
        return 0 if bucket is None or bucket.until <= now else bucket.rate

    def has_tokens(self, now: float, name: str) -> bool:
        """Return whether a new request may use the link."""
        bucket = self._buckets.get(name)
        if bucket is None or bucket.until <= now:
            return False
        self._fill(now, bucket)
        return bucket.tokens >= 1.0

    def consume(self, now: float, name: str, size: int) -> int:
        """Take up to `size` bytes and return how many may be sent now."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return 0
        self._fill(now, bucket)
        taken = min(size, int(bucket.tokens))
        bucket.tokens -= taken
        return taken

    def wait_s(self, now: float, name: str, size: int) -> float | None:
        """Return the seconds until `size` bytes or a full bucket are there.

        None means that no rate is in force.
        """
        bucket = self._buckets.get(name)
        if bucket is None or self._end(bucket) <= now or not bucket.rate:
            return None
        self._fill(now, bucket)
        wanted = min(float(size), bucket.rate * BURST_S)
        return max(0.0, (wanted - bucket.tokens) / bucket.rate)

    def demand(
        self, now: float, wanted: dict[str, int]
    ) -> list[wire.LinkDemand]:
        """Return what is held and wanted in bytes/s, for a sync request."""
        names = sorted(self._buckets.keys() | wanted.keys())
        return [
            wire.LinkDemand(
                name=name,
                held=self.rate(now, name),
                wanted=wanted.get(name, 0),
            )
            for name in names
        ]

    def _end(self, bucket: _Bucket) -> float:
        return bucket.until + self._linger_s

    def _fill(self, now: float, bucket: _Bucket) -> None:
        """Add the tokens earned since the last call."""
        end = min(now, self._end(bucket))
        if end > bucket.filled_at:
            earned = (end - bucket.filled_at) * bucket.rate
            bucket.tokens = min(bucket.tokens + earned, bucket.rate * BURST_S)
        bucket.filled_at = max(bucket.filled_at, now)

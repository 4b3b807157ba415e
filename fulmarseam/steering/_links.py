"""Token buckets for an entry's share of the links between regions."""

import dataclasses
import math

from fulmarseam import wire

DEFAULT_CLOCK_DRIFT = 0.01
# Size of the largest burst, in seconds of the granted rate. A fifth of the
# rate of every link is not allocated and absorbs such bursts.
BURST_S = 0.05


@dataclasses.dataclass(slots=True)
class _Bucket:
    rate: int = 0
    expires_at: float = 0.0
    tokens: float = 0.0
    refilled_at: float = 0.0


class LinkTokens:
    """Token buckets in bytes, one for each direction of a link.

    A rate expires with the grants of the same response. Bodies of requests
    that are already in flight may use it for another `linger_s`; new
    requests need an unexpired rate.
    """

    def __init__(
        self, linger_s: float = 0.0, clock_drift: float = DEFAULT_CLOCK_DRIFT
    ) -> None:
        self._linger_s = linger_s
        self._clock_drift = clock_drift
        self._buckets: dict[str, _Bucket] = {}
        self._applied_version = (0, 0)
        self._applied_at = -math.inf

    def apply(
        self, now: float, sent_at: float, response: wire.SyncResponse
    ) -> bool:
        """Replace the rates by those of a response.

        Return False and change nothing if the response is not newer than
        the last one applied, or if it is the first of a new term and rates
        were applied after its request was sent, as in `SlotTracker`.
        """
        grant_version = response.term, response.grant_sequence
        if grant_version <= self._applied_version:
            return False
        if (
            response.term != self._applied_version[0]
            and sent_at <= self._applied_at
        ):
            return False
        self._applied_version = grant_version
        self._applied_at = now
        rates = {link.name: link.bytes_per_s for link in response.links}
        ttl_s = response.grant_ttl_ms / 1_000
        for name in self._buckets.keys() | rates.keys():
            bucket = self._buckets.setdefault(name, _Bucket(refilled_at=now))
            self._refill(now, bucket)
            bucket.rate = rates.get(name, 0)
            bucket.expires_at = sent_at + ttl_s * (1.0 - self._clock_drift)
            bucket.tokens = min(bucket.tokens, bucket.rate * BURST_S)
        return True

    def rate(self, now: float, name: str) -> int:
        """Return the granted bytes/s; 0 when no rate is in force."""
        bucket = self._buckets.get(name)
        return 0 if bucket is None or bucket.expires_at <= now else bucket.rate

    def has_tokens(self, now: float, name: str) -> bool:
        """Return whether a new request may use the link."""
        bucket = self._buckets.get(name)
        if bucket is None or bucket.expires_at <= now:
            return False
        self._refill(now, bucket)
        return bucket.tokens >= 1.0

    def consume(self, now: float, name: str, size: int) -> int:
        """Consume up to `size` tokens; return how many bytes may be sent."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return 0
        self._refill(now, bucket)
        consumed = min(size, int(bucket.tokens))
        bucket.tokens -= consumed
        return consumed

    def wait_s(self, now: float, name: str, size: int) -> float | None:
        """Return the seconds until `size` bytes or a full burst may be sent.

        Return None when no rate is in force.
        """
        bucket = self._buckets.get(name)
        if bucket is None or self._find_end(bucket) <= now or not bucket.rate:
            return None
        self._refill(now, bucket)
        wanted = min(float(size), bucket.rate * BURST_S)
        return max(0.0, (wanted - bucket.tokens) / bucket.rate)

    def demand(
        self, now: float, wanted: dict[str, int]
    ) -> list[wire.LinkDemand]:
        """Return the bytes/s held and wanted, for a sync request."""
        names = sorted(self._buckets.keys() | wanted.keys())
        return [
            wire.LinkDemand(
                name=name,
                held=self.rate(now, name),
                wanted=wanted.get(name, 0),
            )
            for name in names
        ]

    def _find_end(self, bucket: _Bucket) -> float:
        return bucket.expires_at + self._linger_s

    def _refill(self, now: float, bucket: _Bucket) -> None:
        """Add the tokens earned since the last refill."""
        end = min(now, self._find_end(bucket))
        if end > bucket.refilled_at:
            earned = (end - bucket.refilled_at) * bucket.rate
            bucket.tokens = min(bucket.tokens + earned, bucket.rate * BURST_S)
        bucket.refilled_at = max(bucket.refilled_at, now)

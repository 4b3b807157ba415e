"""An entry's grants and what it has in flight."""

import dataclasses
import math

from fulmarseam import ids
from fulmarseam import wire

CLOCK_DRIFT = 0.01


@dataclasses.dataclass(slots=True)
class _Held:
    slots: int = 0
    connections: int = 0
    until: float = 0.0
    in_flight: int = 0


class SlotTracker:
    """Slots that an entry holds on targets and their use.

    A grant ends `grant_ttl_ms`, less the clock drift, after the entry sent
    the request, or with the lease of its target. Requests in flight go on
    after that; no new one starts. `ack_term` and `ack_sequence` name the
    grants applied last and belong in the next sync request, together with
    `uses` taken at the same moment.
    """

    def __init__(self, clock_drift: float = CLOCK_DRIFT) -> None:
        self.ack_term = 0
        self.ack_sequence = 0
        self._clock_drift = clock_drift
        self._applied_at = -math.inf
        self._held: dict[ids.TargetId, _Held] = {}

    def apply(
        self, now: float, sent_at: float, response: wire.SyncResponse
    ) -> bool:
        """Replace the grants by those of an answer.

        `sent_at` is when the request was sent. Return False and change
        nothing when the answer is not newer than the last one applied. The
        first answer of a new term is refused, too, when grants were applied
        after its request was sent: a new leader renews what the request
        reported, and that may have been withdrawn since.
        """
        order = response.term, response.grant_sequence
        if order <= (self.ack_term, self.ack_sequence):
            return False
        if response.term != self.ack_term and sent_at <= self._applied_at:
            return False
        self.ack_term, self.ack_sequence = order
        self._applied_at = now
        granted = {grant.target: grant for grant in response.grants}
        for target in list(self._held):
            if target not in granted:
                self._withdraw(target)
        ttl_s = response.grant_ttl_ms / 1_000
        for grant in response.grants:
            self._renew(sent_at, ttl_s, grant)
        return True

    def ack_age_ms(self, now: float) -> int:
        """Return the milliseconds since the last grants were applied."""
        if not self.ack_sequence:
            return 0
        return int((now - self._applied_at) * 1_000)

    def try_acquire(self, now: float, target: ids.TargetId) -> bool:
        """Start a request on the target if a slot is free.

        Every True must be followed by one `release`.
        """
        held = self._held.get(target)
        if (
            held is None
            or held.until <= now
            or held.in_flight >= min(held.slots, held.connections)
        ):
            return False
        held.in_flight += 1
        return True

    def release(self, target: ids.TargetId) -> None:
        """End a request that `try_acquire` started."""
        held = self._held[target]
        held.in_flight -= 1
        if not held.in_flight and not held.slots and not held.connections:
            del self._held[target]

    def count_free(self, now: float, target: ids.TargetId) -> int:
        """Return the slots that could be taken now."""
        held = self._held.get(target)
        if held is None or held.until <= now:
            return 0
        return max(0, min(held.slots, held.connections) - held.in_flight)

    def allowance(self, now: float, target: ids.TargetId) -> int:
        """Return the slots granted and not expired, in use or free."""
        held = self._held.get(target)
        return 0 if held is None or held.until <= now else held.slots

    def get_use(self, now: float, target: ids.TargetId) -> tuple[int, int]:
        """Return the usable slots, taken ones included, and those taken."""
        held = self._held.get(target)
        if held is None:
            return 0, 0
        if held.until <= now:
            return 0, held.in_flight
        return min(held.slots, held.connections), held.in_flight

    def in_flight(self, target: ids.TargetId) -> int:
        """Return the number of requests running on the target."""
        held = self._held.get(target)
        return 0 if held is None else held.in_flight

    def connection_share(self, now: float, target: ids.TargetId) -> int:
        """Return how many connections to the target may be open.

        Idle ones above the share must be closed. A request in flight always
        keeps its connection.
        """
        held = self._held.get(target)
        if held is None:
            return 0
        share = 0 if held.until <= now else held.connections
        return max(share, held.in_flight)

    def total_in_flight(self) -> int:
        """Return the number of requests running on all targets."""
        return sum(held.in_flight for held in self._held.values())

    def uses(self, now: float) -> list[wire.SlotUse]:
        """Return what is held and in flight, for a sync request.

        An expired grant is reported as nothing held: the leader may have
        given its slots away.
        """
        return [
            wire.SlotUse(
                target=target,
                allowance=held.slots if held.until > now else 0,
                in_flight=held.in_flight,
                connections=held.connections if held.until > now else 0,
            )
            for target, held in self._held.items()
            if held.in_flight or held.until > now
        ]

    def _withdraw(self, target: ids.TargetId) -> None:
        held = self._held[target]
        if not held.in_flight:
            del self._held[target]
            return
        held.slots = 0
        held.connections = 0
        held.until = 0.0

    def _renew(
        self, sent_at: float, ttl_s: float, grant: wire.SlotGrant
    ) -> None:
        held = self._held.setdefault(grant.target, _Held())
        lease_s = min(ttl_s, grant.lease_ms / 1_000)
        until = sent_at + lease_s * (1.0 - self._clock_drift)
        # Leases only grow, so an older answer cannot have allowed more. A
        # grant without a lease leaves the end as it is.
        held.until = max(held.until, until)
        held.slots = grant.slots
        held.connections = grant.connections

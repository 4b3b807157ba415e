"""Grants of an entry and their use by requests in flight."""

import dataclasses
import math

from fulmarseam import ids
from fulmarseam import wire

DEFAULT_CLOCK_DRIFT = 0.01


@dataclasses.dataclass(slots=True)
class _TargetSlots:
    slots: int = 0
    connections: int = 0
    expires_at: float = 0.0
    in_flight: int = 0


class SlotTracker:
    """Tracks the slots that an entry holds on targets and their use.

    A grant expires `grant_ttl_ms`, less the clock drift, after the entry
    sent the sync request, or with the lease of its target. After that,
    requests in flight continue but no new request starts. `ack_term` and
    `ack_sequence` identify the grants applied last. They belong in the next
    sync request, together with `uses` read at the same time.
    """

    def __init__(self, clock_drift: float = DEFAULT_CLOCK_DRIFT) -> None:
        self.ack_term = 0
        self.ack_sequence = 0
        self._clock_drift = clock_drift
        self._applied_at = -math.inf
        self._held: dict[ids.TargetId, _TargetSlots] = {}

    def apply(
        self, now: float, sent_at: float, response: wire.SyncResponse
    ) -> bool:
        """Replace the grants by those of a response.

        `sent_at` is when the sync request was sent. Return False and change
        nothing if the response is not newer than the last one applied. The
        first response of a new term is also refused if grants were applied
        after its request was sent: a new leader renews the grants reported
        in the request, which may have been withdrawn in the meantime.
        """
        grant_version = response.term, response.grant_sequence
        if grant_version <= (self.ack_term, self.ack_sequence):
            return False
        if response.term != self.ack_term and sent_at <= self._applied_at:
            return False
        self.ack_term, self.ack_sequence = grant_version
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
        """Occupy a slot of the target for a request if one is free.

        Each call that returns True needs one call of `release`.
        """
        held = self._held.get(target)
        if (
            held is None
            or held.expires_at <= now
            or held.in_flight >= min(held.slots, held.connections)
        ):
            return False
        held.in_flight += 1
        return True

    def release(self, target: ids.TargetId) -> None:
        """Free a slot that `try_acquire` occupied."""
        held = self._held[target]
        held.in_flight -= 1
        if not held.in_flight and not held.slots and not held.connections:
            del self._held[target]

    def count_free(self, now: float, target: ids.TargetId) -> int:
        """Return the number of slots that can be acquired now."""
        held = self._held.get(target)
        if held is None or held.expires_at <= now:
            return 0
        return max(0, min(held.slots, held.connections) - held.in_flight)

    def allowance(self, now: float, target: ids.TargetId) -> int:
        """Return the number of unexpired granted slots, in use or free."""
        held = self._held.get(target)
        return 0 if held is None or held.expires_at <= now else held.slots

    def get_use(self, now: float, target: ids.TargetId) -> tuple[int, int]:
        """Return the number of usable slots and how many are in use."""
        held = self._held.get(target)
        if held is None:
            return 0, 0
        if held.expires_at <= now:
            return 0, held.in_flight
        return min(held.slots, held.connections), held.in_flight

    def in_flight(self, target: ids.TargetId) -> int:
        """Return the number of requests that run on the target."""
        held = self._held.get(target)
        return 0 if held is None else held.in_flight

    def connection_share(self, now: float, target: ids.TargetId) -> int:
        """Return the maximum number of open connections to the target.

        Idle connections in excess of it must be closed. A request in flight
        always keeps its connection.
        """
        held = self._held.get(target)
        if held is None:
            return 0
        share = 0 if held.expires_at <= now else held.connections
        return max(share, held.in_flight)

    def total_in_flight(self) -> int:
        """Return the number of requests that run on all targets."""
        return sum(held.in_flight for held in self._held.values())

    def uses(self, now: float) -> list[wire.SlotUse]:
        """Return the slots held and in use, for a sync request.

        An expired grant is reported with no slots, as the leader may have
        granted them to another entry.
        """
        return [
            wire.SlotUse(
                target=target,
                allowance=held.slots if held.expires_at > now else 0,
                in_flight=held.in_flight,
                connections=held.connections if held.expires_at > now else 0,
            )
            for target, held in self._held.items()
            if held.in_flight or held.expires_at > now
        ]

    def _withdraw(self, target: ids.TargetId) -> None:
        held = self._held[target]
        if not held.in_flight:
            del self._held[target]
            return
        held.slots = 0
        held.connections = 0
        held.expires_at = 0.0

    def _renew(
        self, sent_at: float, ttl_s: float, grant: wire.SlotGrant
    ) -> None:
        held = self._held.setdefault(grant.target, _TargetSlots())
        lease_s = min(ttl_s, grant.lease_ms / 1_000)
        expires_at = sent_at + lease_s * (1.0 - self._clock_drift)
        # Leases are only ever extended, so no older response can have allowed
        # a later expiry. A grant without a lease keeps the expiry as it is.
        held.expires_at = max(held.expires_at, expires_at)
        held.slots = grant.slots
        held.connections = grant.connections

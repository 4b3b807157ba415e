"""Announcements that need no place in the log, and silence of targets."""

from collections.abc import Mapping

from fulmarseam import ids
from fulmarseam import wire

# An announced cold time this far above the expected one, in ms, means that
# the target has become cold again. Announcements may be a second late.
COLD_MARGIN_MS = 1_000.0


class HeartbeatTracker:
    """Tells announcements that change something from mere renewals.

    Times are in seconds. `take_renewed` hands out the targets that have
    announced themselves since the last call.
    """

    def __init__(self) -> None:
        self._cold_until: dict[ids.TargetId, float] = {}
        self._renewed: set[ids.TargetId] = set()

    def record(
        self,
        now: float,
        known: wire.TargetRecord | None,
        record: wire.TargetRecord,
    ) -> bool:
        """Record an announcement; return whether the log has to hold it."""
        self._renewed.add(record.target)
        cold_until = now + record.cold_ms / 1_000
        expected = self._cold_until.get(record.target, 0.0)
        is_colder = (
            record.cold_ms > 0.0
            and cold_until > expected + COLD_MARGIN_MS / 1_000
        )
        self._cold_until[record.target] = cold_until
        if known is None or known.born_ms != record.born_ms or is_colder:
            return True
        return _describe(known) != _describe(record)

    def take_renewed(self) -> list[ids.TargetId]:
        """Return the targets that renewed since the last call."""
        renewed = sorted(self._renewed)
        self._renewed.clear()
        return renewed


def _describe(record: wire.TargetRecord) -> tuple[object, ...]:
    return (record.pool, record.address, record.slots, record.phase)


class TargetLeases:
    """When the leader last heard of each target; times in seconds."""

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._heard: dict[ids.TargetId, float] = {}

    def renew(self, now: float, targets: list[ids.TargetId]) -> None:
        """Record that targets have announced themselves."""
        for target in targets:
            self._heard[target] = now

    def clear(self) -> None:
        """Forget all times; called when another member leads."""
        self._heard.clear()

    def find_expired(
        self, now: float, known: Mapping[ids.TargetId, wire.TargetRecord]
    ) -> list[tuple[ids.TargetId, int]]:
        """Return the targets whose lease has ended, with incarnations.

        None are returned when more than half are silent: then the members
        are cut off rather than the targets.
        """
        for target in self._heard.keys() - known.keys():
            del self._heard[target]
        silent = []
        for target, record in known.items():
            heard = self._heard.setdefault(target, now)
            if now - heard > self._lease_s:
                silent.append((target, record.born_ms))
        if 2 * len(silent) > len(known):
            return []
        return silent

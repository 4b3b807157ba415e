"""Tracks whether a member without a leader was removed from its group."""

from collections.abc import Sequence

from fulmarseam import wire
from fulmarseam.consensus import _core

# A member whose addition was lost gives up after this many consecutive checks,
# 0.3 s apart. By then the next leader, which may add it again, no longer has
# it among its candidates.
MAX_LOST_ADDITION_CHECKS = 4


class RemovalTracker:
    """Decides from what other members have committed."""

    def __init__(self) -> None:
        self._lost_addition_checks = 0

    def clear(self) -> None:
        """Start again; called when the member has a leader."""
        self._lost_addition_checks = 0

    def update(
        self,
        replica: _core.Replica,
        committed_lists: Sequence[wire.CommittedMembers],
    ) -> bool:
        """Return whether the member is permanently out of the group.

        Either its removal is committed, or the change that added it was lost
        with the leader that proposed it.
        """
        if any(map(replica.is_retired, committed_lists)):
            return True
        has_leader = replica.leader is not None
        if has_leader or not any(
            map(replica.is_addition_lost, committed_lists)
        ):
            self.clear()
            return False
        self._lost_addition_checks += 1
        return self._lost_addition_checks >= MAX_LOST_ADDITION_CHECKS

"""The table of targets and the order of their announcements.

Announcements are ordered by incarnation and, within one, by sequence. What
arrives out of order, also from an incarnation that has ended, changes
nothing.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from fulmarseam import ids
from fulmarseam import wire

# Incarnations that have ended and are remembered, so that an announcement
# which a partition held back revives none of them.
MAX_ENDED = 4_096

Changes = list[ids.TargetId]


class TargetTable:
    """The record of each live target."""

    def __init__(
        self,
        records: Iterable[wire.TargetRecord] = (),
        ended: Iterable[tuple[ids.TargetId, int]] = (),
    ) -> None:
        self._records = {record.target: record for record in records}
        self._ended = collections.OrderedDict(ended)
        self._addresses = {
            record.address: record.target for record in self._records.values()
        }

    def get(self, target: ids.TargetId) -> wire.TargetRecord | None:
        """Return the record of a target, or None."""
        return self._records.get(target)

    def all(self) -> list[wire.TargetRecord]:
        """Return all records."""
        return list(self._records.values())

    def list_ended(self) -> list[tuple[ids.TargetId, int]]:
        """Return the incarnations that have ended, oldest first."""
        return list(self._ended.items())

    def is_newer(self, record: wire.TargetRecord) -> bool:
        """Return whether an announcement is newer than what is known.

        One from an incarnation that ended, that has an older place in the
        order, or that claims the address of a younger target is not.
        """
        ended_ms = self._ended.get(record.target)
        if ended_ms is not None and record.born_ms <= ended_ms:
            return False
        known = self._records.get(record.target)
        if known is not None:
            place = (record.born_ms, record.sequence)
            return place > (known.born_ms, known.sequence)
        holder = self._find_holder(record)
        return holder is None or holder.born_ms <= record.born_ms

    def _find_holder(
        self, record: wire.TargetRecord
    ) -> wire.TargetRecord | None:
        """Return the record of another target at the same address."""
        target = self._addresses.get(record.address)
        if target is None or target == record.target:
            return None
        return self._records.get(target)

    def announce(self, records: Sequence[wire.TargetRecord]) -> Changes:
        """Take over newer records; return the targets changed."""
        changed: Changes = []
        for record in records:
            if not self.is_newer(record):
                continue
            holder = self._find_holder(record)
            if holder is not None:
                self._end(holder.target, holder.born_ms)
                changed.append(holder.target)
            known = self._records.get(record.target)
            if known is not None:
                record = _keep_phase(known, record)
                self._free_address(known)
            self._records[record.target] = record
            self._addresses[record.address] = record.target
            changed.append(record.target)
        return changed

    def leave(self, target: ids.TargetId, born_ms: int) -> Changes:
        """End an incarnation; `born_ms` 0 means the one that is known."""
        known = self._records.get(target)
        if known is None:
            if born_ms:
                self._remember_end(target, born_ms)
            return []
        if born_ms and born_ms < known.born_ms:
            return []
        self._end(target, max(born_ms, known.born_ms))
        return [target]

    def drop(self, targets: Sequence[tuple[ids.TargetId, int]]) -> Changes:
        """Remove silent incarnations, which may announce themselves again."""
        changed: Changes = []
        for target, born_ms in targets:
            known = self._records.get(target)
            if known is not None and known.born_ms == born_ms:
                self._remove(known)
                changed.append(target)
        return changed

    def _end(self, target: ids.TargetId, born_ms: int) -> None:
        self._remove(self._records[target])
        self._remember_end(target, born_ms)

    def _remove(self, known: wire.TargetRecord) -> None:
        del self._records[known.target]
        self._free_address(known)

    def _free_address(self, known: wire.TargetRecord) -> None:
        if self._addresses.get(known.address) == known.target:
            del self._addresses[known.address]

    def _remember_end(self, target: ids.TargetId, born_ms: int) -> None:
        self._ended.pop(target, None)
        self._ended[target] = born_ms
        while len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)


def _keep_phase(
    known: wire.TargetRecord, record: wire.TargetRecord
) -> wire.TargetRecord:
    """Return the record with the later phase of one incarnation."""
    is_same = known.born_ms == record.born_ms
    if is_same and known.phase is wire.TargetPhase.DRAINING:
        return msgspec.structs.replace(record, phase=known.phase)
    return record

"""Targets and entries as announced, with their leases.

The leader holds a `TargetTable` and an `EntryTable`; an entry holds a
`TargetMirror` of the leader's rows. All are in memory: a new leader fills
its tables from the sync requests of the entries. `now` is in seconds of the
monotonic clock of the process that owns the table::

    targets = membership.TargetTable()
    targets.record(now, report, received_age_ms=0)
    rows, removed, full = targets.changes_since(now, version)
"""

from fulmarseam.membership._entries import EntryChanges
from fulmarseam.membership._entries import EntryTable
from fulmarseam.membership._entry_mirror import EntryMirror
from fulmarseam.membership._mirror import MirroredTarget
from fulmarseam.membership._mirror import TargetMirror
from fulmarseam.membership._targets import LEAVING_KEPT_S
from fulmarseam.membership._targets import Target
from fulmarseam.membership._targets import TARGET_LEASE_S
from fulmarseam.membership._targets import TargetChanges
from fulmarseam.membership._targets import TargetTable

__all__ = [
    'EntryMirror',
    'EntryChanges',
    'EntryTable',
    'LEAVING_KEPT_S',
    'MirroredTarget',
    'TARGET_LEASE_S',
    'Target',
    'TargetMirror',
    'TargetChanges',
    'TargetTable',
]

"""Messages between entries."""

import msgspec

from fulmarseam import ids
from fulmarseam.wire import _sync


class LeaveNotice(
    msgspec.Struct, tag='leave_notice', frozen=True, kw_only=True
):
    """Forwards the announcement of a target that is leaving."""

    report: _sync.TargetReport


class DrainNotice(
    msgspec.Struct, tag='drain_notice', frozen=True, kw_only=True
):
    """Announces that an entry shuts down and accepts no new callers."""

    entry: ids.EntryId
    incarnation: int


PeerMessage = LeaveNotice | DrainNotice

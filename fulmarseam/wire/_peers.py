"""Messages between entries."""

import msgspec

from fulmarseam import ids
from fulmarseam.wire import _sync


class LeaveNotice(
    msgspec.Struct, tag='leave_notice', frozen=True, kw_only=True
):
    """Forwards the announcement of a target that is leaving."""

    report: _sync.TargetReport


class StrikeNotice(
    msgspec.Struct, tag='strike_notice', frozen=True, kw_only=True
):
    """A connection to `target` broke while a request ran there.

    `fingerprint` identifies the request. With `cleared` the request has
    since received a complete response and its strikes are void.
    """

    fingerprint: str
    target: ids.TargetId
    cleared: bool = False


class DrainNotice(
    msgspec.Struct, tag='drain_notice', frozen=True, kw_only=True
):
    """Announces that an entry shuts down and accepts no new callers."""

    entry: ids.EntryId
    incarnation: int


PeerMessage = LeaveNotice | StrikeNotice | DrainNotice

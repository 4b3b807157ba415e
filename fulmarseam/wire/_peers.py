"""Messages between entries."""

import msgspec

from fulmarseam import ids
from fulmarseam.wire import _sync


class LeaveNotice(
    msgspec.Struct, tag='leave_notice', frozen=True, kw_only=True
):
    """A target that announced to the sender that it is leaving."""

    report: _sync.TargetReport


class StrikeNotice(
    msgspec.Struct, tag='strike_notice', frozen=True, kw_only=True
):
    """A connection to `target` broke while a request ran there.

    `fingerprint` names the request. With `cleared` the request has since
    had a full answer and its strikes are void.
    """

    fingerprint: str
    target: ids.TargetId
    cleared: bool = False


class DrainNotice(
    msgspec.Struct, tag='drain_notice', frozen=True, kw_only=True
):
    """An entry that is shutting down and takes no new callers."""

    entry: ids.EntryId
    incarnation: int


PeerMessage = LeaveNotice | StrikeNotice | DrainNotice

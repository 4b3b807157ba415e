"""Messages between an operator's tool and a control member."""

import msgspec

from fulmarseam import ids
from fulmarseam.wire import _rows
from fulmarseam.wire import _sync


class Edit(msgspec.Struct, tag='edit', frozen=True, kw_only=True):
    """Changes to tables, accepted as a whole or not at all.

    `base` holds, for each table changed, the version of the table that the
    edit was made against. An edit may be resent under the same id.
    `content` identifies what the operator asked for. A resend must have
    the same `content`, because the changes needed for it depend on the
    tables at that time; without `content` the changes must be the same.
    `blocks`, if not empty, is an image that replaces the blocks table.
    """

    edit_id: ids.EditId
    base: dict[_rows.TableName, int]
    changes: list[_rows.Change]
    content: str = ''
    blocks: bytes = b''


class Export(msgspec.Struct, tag='export', frozen=True, kw_only=True):
    """All rows of the tables at a revision.

    `blocks` is the image of the blocks table; without it the changes hold
    the rows of that table, too.
    """

    revision: int
    changes: list[_rows.Change]
    blocks: bytes = b''


class Restore(msgspec.Struct, tag='restore', frozen=True, kw_only=True):
    """Asks for exported rows as a new edit on top of the current tables."""

    edit_id: ids.EditId
    export: Export


class EditResult(msgspec.Struct, tag='edit_result', frozen=True, kw_only=True):
    """The first result of an edit.

    `kind` is None when the edit was accepted, else the value of an
    `errors.ErrorKind`. `revision` is the revision of the accepted edit or,
    on a version conflict, that of the edit that won; `winner` is the id of
    that edit. `problems` holds one line for each reason for a rejection.
    """

    edit_id: ids.EditId
    revision: int
    kind: str | None = None
    winner: ids.EditId | None = None
    problems: list[str] = []


class TablesRequest(
    msgspec.Struct, tag='tables_request', frozen=True, kw_only=True
):
    """Asks the leader for table rows; empty `tables` asks for all."""

    tables: list[_rows.TableName] = []


class TablesResponse(
    msgspec.Struct, tag='tables_response', frozen=True, kw_only=True
):
    """Rows of tables and the version of each table.

    The blocks table, if asked for, is in `blocks` as an image.
    """

    revision: int
    versions: dict[_rows.TableName, int]
    changes: list[_rows.Change]
    blocks: bytes = b''


class StatusRequest(
    msgspec.Struct, tag='status_request', frozen=True, kw_only=True
):
    """Asks a control member for its view of the group."""


class MemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """A control member as seen by the member that answers.

    `match_index` is the last log index known to be stored on the member;
    it is None unless the leader answers.
    """

    member: ids.MemberId
    address: str
    region: str = ''
    voter: bool = True
    match_index: int | None = None


class StatusResponse(
    msgspec.Struct, tag='status_response', frozen=True, kw_only=True
):
    """A control member's view of the group.

    `leadership_age_ms` is None unless the member is the leader and its
    leadership age is valid. `clock_ms` is the clock by which the member
    judges a `TimedRequest`; members of earlier releases state none.
    """

    member: ids.MemberId
    leader: ids.MemberId | None
    term: int
    revision: int
    leadership_age_ms: int | None
    members: list[MemberRow]
    applied_index: int = 0
    last_index: int = 0
    clock_ms: int = 0


class FleetRequest(
    msgspec.Struct, tag='fleet_request', frozen=True, kw_only=True
):
    """Asks the leader for the entries and targets that it knows."""


class EntryProgress(msgspec.Struct, frozen=True, kw_only=True):
    """An entry and the revision that it applies.

    `silent_ms` is the time since its last sync request. `in_flight` counts
    its requests that run on targets.
    """

    row: _sync.EntryRow
    revision: int
    silent_ms: int
    in_flight: int


class TargetProgress(msgspec.Struct, frozen=True, kw_only=True):
    """A target with the slots granted and the requests in flight there."""

    row: _sync.TargetRow
    granted: int
    in_flight: int


class FleetResponse(
    msgspec.Struct, tag='fleet_response', frozen=True, kw_only=True
):
    """The entries and targets that the leader knows."""

    revision: int
    entries: list[EntryProgress]
    targets: list[TargetProgress]


class QuarantineRequest(
    msgspec.Struct, tag='quarantine_request', frozen=True, kw_only=True
):
    """Asks an entry for the request fingerprints that it quarantines."""


class QuarantineRow(msgspec.Struct, frozen=True, kw_only=True):
    """A quarantined or suspected fingerprint and the targets it broke.

    `left_ms` is the time until the entry discards the fingerprint.
    """

    fingerprint: str
    targets: list[ids.TargetId]
    quarantined: bool
    left_ms: int


class QuarantineResponse(
    msgspec.Struct, tag='quarantine_response', frozen=True, kw_only=True
):
    """The fingerprints that an entry quarantines or suspects."""

    rows: list[QuarantineRow]


class MemberAdd(msgspec.Struct, tag='member_add', frozen=True, kw_only=True):
    """Asks the leader to add a member as a learner, then as a voter."""

    member: ids.MemberId
    address: str
    region: ids.RegionName


class MemberRemove(
    msgspec.Struct, tag='member_remove', frozen=True, kw_only=True
):
    """Asks the leader to remove a control member."""

    member: ids.MemberId


class TimedRequest(
    msgspec.Struct, tag='timed_request', frozen=True, kw_only=True
):
    """A request that the leader of `term` carries out in time or not at all.

    `expires_ms` is a time of its clock. `request` is the encoded request.
    """

    term: int
    expires_ms: int
    request: bytes


AdminMessage = (
    Edit
    | Export
    | Restore
    | EditResult
    | TablesRequest
    | TablesResponse
    | StatusRequest
    | StatusResponse
    | FleetRequest
    | FleetResponse
    | QuarantineRequest
    | QuarantineResponse
    | MemberAdd
    | MemberRemove
    | TimedRequest
)

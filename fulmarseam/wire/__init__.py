"""Messages between the processes of the system, and their codec.

Every message is a tagged `msgspec` struct, sent as MessagePack::

    data = wire.encode(wire.Failure(kind='not_leader', detail=''))
    message = wire.decode(data)
"""

from fulmarseam.wire._admin import Edit
from fulmarseam.wire._admin import EditResult
from fulmarseam.wire._admin import EntryProgress
from fulmarseam.wire._admin import Export
from fulmarseam.wire._admin import FleetRequest
from fulmarseam.wire._admin import FleetResponse
from fulmarseam.wire._admin import MemberAdd
from fulmarseam.wire._admin import MemberRemove
from fulmarseam.wire._admin import MemberRow
from fulmarseam.wire._admin import QuarantineRequest
from fulmarseam.wire._admin import QuarantineResponse
from fulmarseam.wire._admin import QuarantineRow
from fulmarseam.wire._admin import Restore
from fulmarseam.wire._admin import StatusRequest
from fulmarseam.wire._admin import StatusResponse
from fulmarseam.wire._admin import TablesRequest
from fulmarseam.wire._admin import TablesResponse
from fulmarseam.wire._admin import TargetProgress
from fulmarseam.wire._admin import TimedRequest
from fulmarseam.wire._catalog import CatalogChanges
from fulmarseam.wire._catalog import CatalogCommand
from fulmarseam.wire._catalog import CatalogResult
from fulmarseam.wire._catalog import compute_key_digest
from fulmarseam.wire._catalog import EntryPoll
from fulmarseam.wire._catalog import EntryPollResponse
from fulmarseam.wire._catalog import EntryState
from fulmarseam.wire._catalog import Item
from fulmarseam.wire._catalog import ItemKind
from fulmarseam.wire._catalog import ItemRow
from fulmarseam.wire._catalog import LimitsItem
from fulmarseam.wire._catalog import OrganisationItem
from fulmarseam.wire._catalog import PermitAsk
from fulmarseam.wire._catalog import PermitRequest
from fulmarseam.wire._catalog import PermitResponse
from fulmarseam.wire._catalog import PoolItem
from fulmarseam.wire._catalog import QuotaAsk
from fulmarseam.wire._catalog import RouteItem
from fulmarseam.wire._catalog import SplitPart
from fulmarseam.wire._catalog import TargetObservation
from fulmarseam.wire._catalog import TargetPhase
from fulmarseam.wire._catalog import TargetRateLimit
from fulmarseam.wire._catalog import TargetRecord
from fulmarseam.wire._catalog import TargetRenewal
from fulmarseam.wire._codec import decode
from fulmarseam.wire._codec import decode_with
from fulmarseam.wire._codec import encode
from fulmarseam.wire._codec import Message
from fulmarseam.wire._common import Failure
from fulmarseam.wire._common import Ok
from fulmarseam.wire._consensus import AppendRequest
from fulmarseam.wire._consensus import AppendResponse
from fulmarseam.wire._consensus import CommittedMembers
from fulmarseam.wire._consensus import Founding
from fulmarseam.wire._consensus import GroupMembers
from fulmarseam.wire._consensus import IdentityRequest
from fulmarseam.wire._consensus import IdentityResponse
from fulmarseam.wire._consensus import LogEntry
from fulmarseam.wire._consensus import LogEntryType
from fulmarseam.wire._consensus import MemberInfo
from fulmarseam.wire._consensus import MemberRequest
from fulmarseam.wire._consensus import MemberResponse
from fulmarseam.wire._consensus import ReplicaMessage
from fulmarseam.wire._consensus import ReplicaRequest
from fulmarseam.wire._consensus import ReplicaResponse
from fulmarseam.wire._consensus import SnapshotChunk
from fulmarseam.wire._consensus import SnapshotMeta
from fulmarseam.wire._consensus import SnapshotResponse
from fulmarseam.wire._consensus import VoteRequest
from fulmarseam.wire._consensus import VoteResponse
from fulmarseam.wire._packing import compute_group_checksum
from fulmarseam.wire._packing import FAILING_TARGET
from fulmarseam.wire._packing import MAX_PACKED_LOAD
from fulmarseam.wire._packing import pack_changes
from fulmarseam.wire._packing import pack_loads
from fulmarseam.wire._packing import unpack_changes
from fulmarseam.wire._packing import unpack_loads
from fulmarseam.wire._peers import DrainNotice
from fulmarseam.wire._peers import LeaveNotice
from fulmarseam.wire._records import RecordChunk
from fulmarseam.wire._records import RecordClaim
from fulmarseam.wire._records import RecordFinish
from fulmarseam.wire._records import RecordProgress
from fulmarseam.wire._records import RecordRelease
from fulmarseam.wire._records import RecordReplicate
from fulmarseam.wire._records import RecordRow
from fulmarseam.wire._records import RecordState
from fulmarseam.wire._records import RecordStream
from fulmarseam.wire._records import RecordVerdict
from fulmarseam.wire._records import RecordWrite
from fulmarseam.wire._records import StoredAnswer
from fulmarseam.wire._records import Verdict
from fulmarseam.wire._relays import EntryAddress
from fulmarseam.wire._relays import RelayRequest
from fulmarseam.wire._relays import RelayResponse
from fulmarseam.wire._rows import Block
from fulmarseam.wire._rows import Change
from fulmarseam.wire._rows import Drain
from fulmarseam.wire._rows import DrainScope
from fulmarseam.wire._rows import DrainState
from fulmarseam.wire._rows import Link
from fulmarseam.wire._rows import Pool
from fulmarseam.wire._rows import RecordGroup
from fulmarseam.wire._rows import Registration
from fulmarseam.wire._rows import Route
from fulmarseam.wire._rows import Row
from fulmarseam.wire._rows import Shift
from fulmarseam.wire._rows import ShiftState
from fulmarseam.wire._rows import TableName
from fulmarseam.wire._suspects import Strike
from fulmarseam.wire._suspects import SuspectReport
from fulmarseam.wire._suspects import SuspectRow
from fulmarseam.wire._suspects import TrialRequest
from fulmarseam.wire._suspects import TrialResponse
from fulmarseam.wire._sync import EntryInfo
from fulmarseam.wire._sync import EntryRow
from fulmarseam.wire._sync import LinkDemand
from fulmarseam.wire._sync import LinkRate
from fulmarseam.wire._sync import LoadRow
from fulmarseam.wire._sync import PoolDemand
from fulmarseam.wire._sync import RecordCopy
from fulmarseam.wire._sync import SlotGrant
from fulmarseam.wire._sync import SlotUse
from fulmarseam.wire._sync import SyncRequest
from fulmarseam.wire._sync import SyncResponse
from fulmarseam.wire._sync import TargetLoad
from fulmarseam.wire._sync import TargetReport
from fulmarseam.wire._sync import TargetRow
from fulmarseam.wire._sync import TargetState

__all__ = [
    'FAILING_TARGET',
    'MAX_PACKED_LOAD',
    'AppendRequest',
    'AppendResponse',
    'Block',
    'CatalogCommand',
    'CatalogChanges',
    'CatalogResult',
    'Change',
    'Drain',
    'DrainNotice',
    'DrainScope',
    'DrainState',
    'Edit',
    'EditResult',
    'EntryAddress',
    'EntryInfo',
    'EntryPollResponse',
    'EntryPoll',
    'EntryProgress',
    'EntryRow',
    'EntryState',
    'Export',
    'Failure',
    'FleetRequest',
    'FleetResponse',
    'FoundRequest',
    'CommittedMembers',
    'Founding',
    'GroupMembers',
    'IdentityRequest',
    'IdentityResponse',
    'Item',
    'ItemKind',
    'ItemRow',
    'LeaveNotice',
    'LimitsItem',
    'OrganisationItem',
    'Link',
    'LinkDemand',
    'LinkRate',
    'LoadRow',
    'LogEntry',
    'LogEntryType',
    'MemberAdd',
    'MemberInfo',
    'MemberRemove',
    'MemberRequest',
    'MemberResponse',
    'MemberRow',
    'Message',
    'Ok',
    'Pool',
    'PoolDemand',
    'PermitAsk',
    'PermitRequest',
    'PermitResponse',
    'PoolItem',
    'QuotaAsk',
    'QuarantineRequest',
    'QuarantineResponse',
    'QuarantineRow',
    'RecordChunk',
    'RecordClaim',
    'RecordCopy',
    'RecordFinish',
    'RecordGroup',
    'RecordProgress',
    'RecordRelease',
    'RecordReplicate',
    'RecordRow',
    'RecordState',
    'RecordStream',
    'RecordVerdict',
    'RecordWrite',
    'Registration',
    'RelayRequest',
    'RelayResponse',
    'ReplicaMessage',
    'ReplicaRequest',
    'ReplicaResponse',
    'Restore',
    'Route',
    'RouteItem',
    'Row',
    'Shift',
    'ShiftState',
    'SlotGrant',
    'SlotUse',
    'SnapshotChunk',
    'SnapshotMeta',
    'SnapshotResponse',
    'SplitPart',
    'StatusRequest',
    'StatusResponse',
    'StoredAnswer',
    'Strike',
    'SuspectReport',
    'SuspectRow',
    'SyncRequest',
    'SyncResponse',
    'TableName',
    'TablesRequest',
    'TablesResponse',
    'TargetLoad',
    'TargetObservation',
    'TargetPhase',
    'TargetRateLimit',
    'TargetProgress',
    'TargetRecord',
    'TargetRenewal',
    'TargetReport',
    'TargetRow',
    'TargetState',
    'TimedRequest',
    'TrialRequest',
    'TrialResponse',
    'Verdict',
    'VoteRequest',
    'VoteResponse',
    'decode',
    'decode_with',
    'encode',
    'pack_changes',
    'pack_loads',
    'unpack_changes',
    'unpack_loads',
    'compute_group_checksum',
    'compute_key_digest',
]

"""Versioned configuration items, live targets and evacuations.

`Catalog` is a deterministic state machine for the replicated log::

    machine = catalog.Catalog()
    result = machine.apply(catalog.encode_command(command))
"""

from fulmarseam.catalog._commands import AnnounceTargets
from fulmarseam.catalog._commands import Command
from fulmarseam.catalog._commands import decode_command
from fulmarseam.catalog._commands import decode_result
from fulmarseam.catalog._commands import DropTargets
from fulmarseam.catalog._commands import encode_command
from fulmarseam.catalog._commands import EvacuateDomain
from fulmarseam.catalog._commands import LeaveTarget
from fulmarseam.catalog._commands import make_removals
from fulmarseam.catalog._commands import PutItems
from fulmarseam.catalog._commands import ReadRevision
from fulmarseam.catalog._commands import UNNAMED_BORN_MS
from fulmarseam.catalog._entry_registry import EntryRegistry
from fulmarseam.catalog._heartbeats import HeartbeatTracker
from fulmarseam.catalog._heartbeats import RestartConfirmations
from fulmarseam.catalog._heartbeats import TargetLeases
from fulmarseam.catalog._machine import Catalog
from fulmarseam.catalog._mirror import CatalogMirror
from fulmarseam.catalog._organisations import OrganisationTable
from fulmarseam.catalog._packed_changes import PackedChanges
from fulmarseam.catalog._sender_count import SenderCount
from fulmarseam.catalog._shared_loads import SharedLoads
from fulmarseam.catalog._target_checks import find_problem
from fulmarseam.catalog._target_checks import is_port
from fulmarseam.catalog._targets import AnnouncementState

__all__ = [
    'AnnounceTargets',
    'AnnouncementState',
    'Catalog',
    'CatalogMirror',
    'Command',
    'DropTargets',
    'EntryRegistry',
    'EvacuateDomain',
    'HeartbeatTracker',
    'LeaveTarget',
    'OrganisationTable',
    'PackedChanges',
    'PutItems',
    'ReadRevision',
    'RestartConfirmations',
    'SenderCount',
    'SharedLoads',
    'TargetLeases',
    'UNNAMED_BORN_MS',
    'decode_command',
    'decode_result',
    'encode_command',
    'find_problem',
    'is_port',
    'make_removals',
]

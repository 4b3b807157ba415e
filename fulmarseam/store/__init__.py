"""The replicated tables as a state machine without input/output.

`Machine` applies the commands of the replicated log. `Tables` holds the
rows at one revision; entries keep a copy of it::

    machine = store.Machine()
    result = wire.decode(machine.apply(store.encode_command(edit)))
    update = machine.tables.changes_since(7)
"""

from fulmarseam.store._commands import Command
from fulmarseam.store._commands import decode_command
from fulmarseam.store._commands import encode_command
from fulmarseam.store._commands import RowStep
from fulmarseam.store._commands import Step
from fulmarseam.store._configuration_check import check_configuration
from fulmarseam.store._configuration_check import find_block_problems
from fulmarseam.store._configuration_check import Finding
from fulmarseam.store._configuration_check import FindingKind
from fulmarseam.store._configuration_check import KnownTarget
from fulmarseam.store._configuration_check import MAX_CHANGES
from fulmarseam.store._configuration_check import read_problem
from fulmarseam.store._journal import ChangeJournal
from fulmarseam.store._journal import JournalEntry
from fulmarseam.store._machine import Machine
from fulmarseam.store._machine import TableVersion
from fulmarseam.store._results import EditResults
from fulmarseam.store._rows import DictRows
from fulmarseam.store._rows import RowTable
from fulmarseam.store._schema import EDITABLE_TABLES
from fulmarseam.store._schema import make_change
from fulmarseam.store._schema import ROW_TYPES
from fulmarseam.store._schema import TABLE_NAMES
from fulmarseam.store._tables import ROW_ENCODED_TABLES
from fulmarseam.store._tables import Tables
from fulmarseam.store._tables import TablesUpdate

__all__ = [
    'EDITABLE_TABLES',
    'ROW_ENCODED_TABLES',
    'ROW_TYPES',
    'TABLE_NAMES',
    'Command',
    'TablesUpdate',
    'DictRows',
    'EditResults',
    'Finding',
    'FindingKind',
    'KnownTarget',
    'ChangeJournal',
    'JournalEntry',
    'MAX_CHANGES',
    'Machine',
    'RowStep',
    'RowTable',
    'Step',
    'TableVersion',
    'Tables',
    'check_configuration',
    'decode_command',
    'encode_command',
    'find_block_problems',
    'make_change',
    'read_problem',
]

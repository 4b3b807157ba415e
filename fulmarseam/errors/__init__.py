"""Error kinds, their answers, and the exceptions that carry them.

Every failure that a caller or an operator can see has one `ErrorKind`.
`ANSWERS` maps each kind to the HTTP status, the outcome for the request and
the process exit code::

    answer = errors.ANSWERS[errors.ErrorKind.NO_ROUTE]
    assert answer.status == 404
"""

from fulmarseam.errors._exceptions import DamagedDataError
from fulmarseam.errors._exceptions import FulmarseamError
from fulmarseam.errors._exceptions import NotLeaderError
from fulmarseam.errors._exceptions import ProposalUncertainError
from fulmarseam.errors._exceptions import SettingsError
from fulmarseam.errors._exceptions import TransportError
from fulmarseam.errors._exceptions import UsageError
from fulmarseam.errors._exceptions import WireError
from fulmarseam.errors._kinds import Answer
from fulmarseam.errors._kinds import ANSWERS
from fulmarseam.errors._kinds import ErrorKind
from fulmarseam.errors._kinds import Outcome
from fulmarseam.errors._kinds import Retry

__all__ = [
    'ANSWERS',
    'Answer',
    'DamagedDataError',
    'ErrorKind',
    'FulmarseamError',
    'NotLeaderError',
    'Outcome',
    'ProposalUncertainError',
    'Retry',
    'SettingsError',
    'TransportError',
    'UsageError',
    'WireError',
]

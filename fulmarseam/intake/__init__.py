"""Decisions about the memory that callers and answers may occupy.

An account holds what one connection occupies, a budget the sum of a process.
Nothing here uses a socket or a clock::

    budget = Budget(Rules(memory_bytes=64 * 1024 * 1024))
    account = budget.open('10.0.0.1', now)
    budget.set_held(account, Kind.BODY, 4096)
    for account in budget.choose_closed(now):
        ...
"""

from fulmarseam.intake._answers import AnswerBudget
from fulmarseam.intake._answers import SMALL_ANSWER_BYTES
from fulmarseam.intake._budget import Account
from fulmarseam.intake._budget import Budget
from fulmarseam.intake._budget import compute_memory_bytes
from fulmarseam.intake._budget import CONNECTION_BYTES
from fulmarseam.intake._budget import Kind
from fulmarseam.intake._budget import MIB
from fulmarseam.intake._budget import Phase
from fulmarseam.intake._budget import Rules
from fulmarseam.intake._budget import STOPPED_S

__all__ = [
    'Account',
    'AnswerBudget',
    'Budget',
    'CONNECTION_BYTES',
    'Kind',
    'MIB',
    'Phase',
    'Rules',
    'SMALL_ANSWER_BYTES',
    'STOPPED_S',
    'compute_memory_bytes',
]

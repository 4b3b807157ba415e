"""Decisions on grants, targets, shifts, queues, retries and quarantine.

Nothing here uses a socket, a clock or a random source: `now` is in
monotonic seconds of the process that owns the state, and `rng` is an
argument. The control leader owns one `Allocator` for each term it leads; an
entry owns the other tables.
"""

from fulmarseam.steering._allocator import Allocator
from fulmarseam.steering._allocator import AllocatorOptions
from fulmarseam.steering._allocator import Grants
from fulmarseam.steering._budget import RetryBudget
from fulmarseam.steering._choice import Choice
from fulmarseam.steering._choice import choose_target
from fulmarseam.steering._choice import Place
from fulmarseam.steering._choice import PoolView
from fulmarseam.steering._links import LinkTokens
from fulmarseam.steering._lookups import order_entries
from fulmarseam.steering._outcomes import Judgement
from fulmarseam.steering._outcomes import OutcomeTable
from fulmarseam.steering._queue import Admission
from fulmarseam.steering._queue import RequestQueue
from fulmarseam.steering._queue import Ticket
from fulmarseam.steering._routes import compile_routes
from fulmarseam.steering._routes import match_route
from fulmarseam.steering._routes import RouteIndex
from fulmarseam.steering._routes import RouteMatch
from fulmarseam.steering._shifts import ShiftBook
from fulmarseam.steering._shifts import ShiftCredit
from fulmarseam.steering._slots import SlotBook
from fulmarseam.steering._suspects import compute_fingerprint
from fulmarseam.steering._suspects import Strike
from fulmarseam.steering._suspects import SuspectState
from fulmarseam.steering._suspects import SuspectTable

__all__ = [
    'Admission',
    'Allocator',
    'AllocatorOptions',
    'Choice',
    'Grants',
    'Judgement',
    'LinkTokens',
    'OutcomeTable',
    'Place',
    'PoolView',
    'RequestQueue',
    'RetryBudget',
    'RouteIndex',
    'RouteMatch',
    'ShiftBook',
    'ShiftCredit',
    'SlotBook',
    'Strike',
    'SuspectState',
    'SuspectTable',
    'Ticket',
    'choose_target',
    'compile_routes',
    'compute_fingerprint',
    'match_route',
    'order_entries',
]

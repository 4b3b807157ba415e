"""Decisions on grants, targets, shifts, queues, retries and quarantine.

Nothing in this package uses a socket, a clock or a random source: `now` is
the monotonic time, in seconds, of the process that owns the state, and `rng`
is an argument. The control leader owns one `Allocator` for each term that it
leads; an entry owns the other objects.
"""

from fulmarseam.steering._affinity import compute_demand_shares
from fulmarseam.steering._affinity import compute_region_shares
from fulmarseam.steering._affinity import rank_targets
from fulmarseam.steering._allocator import Allocator
from fulmarseam.steering._allocator import AllocatorOptions
from fulmarseam.steering._allocator import Grants
from fulmarseam.steering._choice import Choice
from fulmarseam.steering._choice import choose_target
from fulmarseam.steering._choice import Locality
from fulmarseam.steering._choice import PoolView
from fulmarseam.steering._demand_shares import DemandShares
from fulmarseam.steering._demand_shares import RegionDemand
from fulmarseam.steering._fairness import FairPriorities
from fulmarseam.steering._limited_targets import LimitedTargets
from fulmarseam.steering._links import LinkTokens
from fulmarseam.steering._load_reports import LoadReport
from fulmarseam.steering._load_reports import names_pace
from fulmarseam.steering._load_reports import parse_load_report
from fulmarseam.steering._load_reports import WorkFactor
from fulmarseam.steering._lookups import order_entries
from fulmarseam.steering._notices import MAX_PAUSE_S
from fulmarseam.steering._notices import NoticeState
from fulmarseam.steering._notices import NoticeTable
from fulmarseam.steering._notices import TargetProcess
from fulmarseam.steering._objects import count_homes
from fulmarseam.steering._objects import ObjectDemand
from fulmarseam.steering._objects import place_object
from fulmarseam.steering._observed import ColdRateLimit
from fulmarseam.steering._observed import compute_attempt_timeout
from fulmarseam.steering._observed import compute_mean_failure_rate
from fulmarseam.steering._observed import DOUBTFUL_FAILURE_RATE
from fulmarseam.steering._observed import eject
from fulmarseam.steering._observed import end_ejection
from fulmarseam.steering._observed import estimate_load
from fulmarseam.steering._observed import is_cold
from fulmarseam.steering._observed import is_doubtful
from fulmarseam.steering._observed import is_ejected
from fulmarseam.steering._observed import is_ejected_here
from fulmarseam.steering._observed import is_reported_ejected
from fulmarseam.steering._observed import is_silent
from fulmarseam.steering._observed import mark_cold
from fulmarseam.steering._observed import may_send
from fulmarseam.steering._observed import note_answer
from fulmarseam.steering._observed import note_end
from fulmarseam.steering._observed import note_failure
from fulmarseam.steering._observed import note_report
from fulmarseam.steering._observed import note_shared_load
from fulmarseam.steering._observed import note_start
from fulmarseam.steering._observed import ObservedTarget
from fulmarseam.steering._observed import stands_out
from fulmarseam.steering._outcomes import OutcomeTable
from fulmarseam.steering._outcomes import Outliers
from fulmarseam.steering._permit_issuer import compute_offline_rate
from fulmarseam.steering._permit_issuer import PERMIT_LIFETIME_S
from fulmarseam.steering._permit_issuer import PermitIssuer
from fulmarseam.steering._placement import estimate_time
from fulmarseam.steering._placement import place_request
from fulmarseam.steering._placement import Placement
from fulmarseam.steering._placement import SlotAvailability
from fulmarseam.steering._pool_statistics import PoolStatistics
from fulmarseam.steering._pool_statistics import RunKind
from fulmarseam.steering._queue import Admission
from fulmarseam.steering._queue import RequestQueue
from fulmarseam.steering._queue import Ticket
from fulmarseam.steering._quotas import compute_free_part
from fulmarseam.steering._quotas import compute_issue_rate
from fulmarseam.steering._quotas import QuotaBounds
from fulmarseam.steering._quotas import QuotaIssuer
from fulmarseam.steering._quotas import QuotaStocks
from fulmarseam.steering._quotas import QuotaToken
from fulmarseam.steering._reachability import PathState
from fulmarseam.steering._reachability import Reachability
from fulmarseam.steering._retry_budget import RetryBudget
from fulmarseam.steering._return_times import ReturnTimes
from fulmarseam.steering._routes import compile_routes
from fulmarseam.steering._routes import match_route
from fulmarseam.steering._routes import RouteIndex
from fulmarseam.steering._routes import RouteMatch
from fulmarseam.steering._shifts import ShiftCredit
from fulmarseam.steering._shifts import ShiftLimiter
from fulmarseam.steering._slots import SlotTracker
from fulmarseam.steering._split import Splitter
from fulmarseam.steering._suspects import compute_fingerprint
from fulmarseam.steering._suspects import Fingerprint
from fulmarseam.steering._suspects import is_content
from fulmarseam.steering._suspects import MAX_SUSPECTS
from fulmarseam.steering._suspects import SuspectTable
from fulmarseam.steering._suspects import TRIAL_DELAYS_S
from fulmarseam.steering._suspects import TrialPermission
from fulmarseam.steering._windowed_retry_budget import WindowedRetryBudget

__all__ = [
    'FairPriorities',
    'QuotaBounds',
    'QuotaIssuer',
    'QuotaStocks',
    'QuotaToken',
    'compute_free_part',
    'compute_issue_rate',
    'MAX_SUSPECTS',
    'DOUBTFUL_FAILURE_RATE',
    'Admission',
    'Allocator',
    'AllocatorOptions',
    'Choice',
    'ColdRateLimit',
    'DemandShares',
    'Fingerprint',
    'Grants',
    'Outliers',
    'LinkTokens',
    'LoadReport',
    'MAX_PAUSE_S',
    'NoticeState',
    'NoticeTable',
    'ObjectDemand',
    'ObservedTarget',
    'OutcomeTable',
    'Locality',
    'PathState',
    'Placement',
    'PoolStatistics',
    'PoolView',
    'RunKind',
    'WindowedRetryBudget',
    'WorkFactor',
    'RegionDemand',
    'RequestQueue',
    'Reachability',
    'RetryBudget',
    'SlotAvailability',
    'RouteIndex',
    'RouteMatch',
    'ShiftLimiter',
    'ShiftCredit',
    'SlotTracker',
    'Splitter',
    'SuspectTable',
    'TRIAL_DELAYS_S',
    'TargetProcess',
    'TrialPermission',
    'Ticket',
    'choose_target',
    'compile_routes',
    'compute_fingerprint',
    'eject',
    'end_ejection',
    'estimate_load',
    'estimate_time',
    'compute_mean_failure_rate',
    'compute_attempt_timeout',
    'is_cold',
    'is_content',
    'is_doubtful',
    'is_ejected',
    'is_ejected_here',
    'is_reported_ejected',
    'is_silent',
    'match_route',
    'may_send',
    'names_pace',
    'note_answer',
    'note_end',
    'note_failure',
    'note_report',
    'note_shared_load',
    'note_start',
    'order_entries',
    'parse_load_report',
    'count_homes',
    'place_object',
    'place_request',
    'rank_targets',
    'compute_demand_shares',
    'compute_region_shares',
    'mark_cold',
    'LimitedTargets',
    'compute_offline_rate',
    'PERMIT_LIFETIME_S',
    'PermitIssuer',
    'ReturnTimes',
    'stands_out',
]

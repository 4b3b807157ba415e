"""Stand-ins for tests and benchmarks: target, load generator, fault proxy.

Request headers control the target: `Standin-Mark` is the id of the request
in the journals, `Standin-Action` asks for "crash" or "truncate",
`Standin-Service-Ms` sets the service time and `Standin-Response-Bytes` the
size of the response body.
"""

from fulmarseam.standin._journal import AttemptRecord
from fulmarseam.standin._journal import CallRecord
from fulmarseam.standin._journal import Journal
from fulmarseam.standin._journal import read_journal
from fulmarseam.standin._journal import RunEvent
from fulmarseam.standin._journal import RunRecord
from fulmarseam.standin._journal import RunResult
from fulmarseam.standin._load import RouteSummary
from fulmarseam.standin._load import run_load
from fulmarseam.standin._load import schedule_arrivals
from fulmarseam.standin._proxy import Action
from fulmarseam.standin._proxy import Direction
from fulmarseam.standin._proxy import LinkStatus
from fulmarseam.standin._proxy import ProxyCommand
from fulmarseam.standin._proxy import run_faultproxy
from fulmarseam.standin._reports import LoadReporter
from fulmarseam.standin._target import run_target
from fulmarseam.standin._target import TargetCommand

__all__ = [
    'Action',
    'AttemptRecord',
    'CallRecord',
    'Direction',
    'Journal',
    'LinkStatus',
    'LoadReporter',
    'ProxyCommand',
    'RouteSummary',
    'RunEvent',
    'RunRecord',
    'RunResult',
    'TargetCommand',
    'read_journal',
    'run_faultproxy',
    'run_load',
    'run_target',
    'schedule_arrivals',
]

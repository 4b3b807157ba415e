"""The summary of a request for its log line."""

from fulmarseam import errors
from fulmarseam import telemetry
from fulmarseam.gateway import _requests

ANSWERED = errors.Outcome.ANSWERED.value


class RequestSummary:
    """Where one request was sent and how it ended.

    `targets` lists the targets in the order of the attempts, each failed
    one with its kind of error. `outcome` is `answered` or the kind of the
    final error.
    """

    __slots__ = (
        'detail',
        'affinity_key',
        'outcome',
        'pool',
        'route',
        'status',
        'targets',
    )

    def __init__(self) -> None:
        self.route = ''
        self.pool = ''
        self.affinity_key = ''
        self.outcome = ''
        self.detail = ''
        self.status = 0
        self.targets: list[str] = []

    def write(
        self,
        log: telemetry.RequestLog,
        context: _requests.RequestContext,
        now: float,
        revision: int,
    ) -> None:
        """Write the log line; `revision` is that of the catalog in force."""
        log.add(
            self.outcome == ANSWERED,
            id=(context.request_id or b'').decode('latin-1'),
            outcome=self.outcome,
            route=self.route,
            pool=self.pool,
            object=self.affinity_key,
            targets=','.join(self.targets),
            status=self.status,
            elapsed_s=now - context.arrived_at,
            time_left_s=context.deadline - now,
            revision=revision,
            detail=self.detail,
        )

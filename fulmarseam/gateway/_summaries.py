"""The way of a request through a gateway, as its log line tells it."""

from fulmarseam import errors
from fulmarseam import telemetry
from fulmarseam.gateway import _requests

ANSWERED = errors.Outcome.ANSWERED.value


class RequestSummary:
    """What decided about one request and how it ended.

    `targets` names the targets in the order of the attempts, each with the
    kind of its failure. `outcome` is `answered` or the kind of the error.
    """

    __slots__ = (
        'detail',
        'key',
        'outcome',
        'pool',
        'route',
        'status',
        'targets',
    )

    def __init__(self) -> None:
        self.route = ''
        self.pool = ''
        self.key = ''
        self.outcome = ''
        self.detail = ''
        self.status = 0
        self.targets: list[str] = []

    def write(
        self,
        log: telemetry.RequestLog,
        job: _requests.Job,
        now: float,
        revision: int,
    ) -> None:
        """Write the line; `revision` is that of the catalog in force."""
        log.add(
            self.outcome == ANSWERED,
            id=(job.request_id or b'').decode('latin-1'),
            outcome=self.outcome,
            route=self.route,
            pool=self.pool,
            object=self.key,
            targets=','.join(self.targets),
            status=self.status,
            elapsed_s=now - job.arrived_at,
            time_left_s=job.deadline - now,
            revision=revision,
            detail=self.detail,
        )

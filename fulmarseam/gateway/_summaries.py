"""The summary of a request for its log line."""

from fulmarseam import errors
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam.gateway import _requests

# An older report does not count any more.
MAX_SHOWN_AGE_S = 99.0
ANSWERED = errors.Outcome.ANSWERED.value


class RequestSummary:
    """Where one request was sent and how it ended.

    `targets` lists the targets in the order of the attempts, each failed
    one with its kind of error. `inputs` lists what decided each placement:
    the kind of run expected, the queue in rounds of the slots, the expected
    seconds, the requests known at the target with this one, the age of what
    other entries or the target told about that, and the limit in requests/s
    that the target named, if any. `outcome` is `answered` or the kind of the
    final error.
    """

    __slots__ = (
        'detail',
        'affinity_key',
        'inputs',
        'organisation',
        'outcome',
        'pool',
        'route',
        'status',
        'targets',
        'was_relayed',
    )

    def __init__(self) -> None:
        self.route = ''
        self.pool = ''
        self.affinity_key = ''
        self.organisation = ''
        self.outcome = ''
        self.detail = ''
        self.status = 0
        self.was_relayed = False
        self.targets: list[str] = []
        self.inputs: list[str] = []

    def add_placement(
        self,
        placement: steering.Placement,
        now: float,
        rate_limit_per_s: float | None,
    ) -> None:
        """Note the target of an attempt and what decided for it."""
        target = placement.target
        assert target is not None
        self.targets.append(target.target)
        self.inputs.append(
            f'{placement.run_kind.value}'
            f':queue={placement.wait_rounds:.2f}'
            f':expected_s={steering.estimate_time(placement):.2f}'
            f':load={steering.estimate_load(target, now):.1f}'
            f':age_s={min(now - target.other_load_at, MAX_SHOWN_AGE_S):.1f}'
            + (
                ''
                if rate_limit_per_s is None
                else f':limit={rate_limit_per_s:g}'
            )
        )

    def add_relay(self, address: str) -> None:
        """Note another entry through which the request is relayed."""
        self.was_relayed = True
        self.targets.append(f'entry {address}')

    def _took_usual_way(self, context: _requests.RequestContext) -> bool:
        """Return whether the first attempt was answered, without a relay."""
        return (
            self.outcome == ANSWERED
            and len(self.targets) == 1
            and not self.was_relayed
            and not context.is_relayed
        )

    def write(
        self,
        log: telemetry.RequestLog,
        context: _requests.RequestContext,
        now: float,
        revision: int,
    ) -> None:
        """Write the log line; `revision` is that of the catalog in force."""
        log.add(
            self._took_usual_way(context),
            id=(context.request_id or b'').decode('latin-1'),
            outcome=self.outcome,
            route=self.route,
            pool=self.pool,
            object=self.affinity_key,
            organisation=self.organisation,
            targets=','.join(self.targets),
            inputs=','.join(self.inputs),
            status=self.status,
            elapsed_s=now - context.arrived_at,
            time_left_s=context.deadline - now,
            revision=revision,
            detail=self.detail,
        )

"""State of the targets as an entry observes it, without slot grants.

An entry estimates the load of a target from its own requests and from the
reports that come with the target's responses.
"""

from collections.abc import Collection
import dataclasses
import math

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.steering import _load_reports
from fulmarseam.steering import _notices
from fulmarseam.steering import _outcomes
from fulmarseam.steering import _pool_statistics

# Half-life of the weight of a load report, if requests end sooner than that.
# The report counts the requests at the time of the response.
REPORT_HALF_LIFE_MIN_S = 0.4
# An unreachable target is ejected for the minimum time first. The time grows
# up to the maximum with further failures, as silence lasts for seconds.
EJECTION_MIN_S = 0.5
EJECTION_MAX_S = 4.0
# An ejection is reported to other entries for this long beyond its end, unless
# the target has answered since.
EJECTION_REPORT_S = 3.0
# Weight of the newest outcome in the moving average of a failure rate.
OUTCOME_WEIGHT = 0.1
# From this failure rate on, a target is used only if no better one is free.
# A target whose failure rate is below this multiple of its pool's mean is
# exempt: another target would fail about as often, and only this one may have
# the object of the request cached.
DOUBTFUL_FAILURE_RATE = 0.25
DOUBTFUL_POOL_RATE_FACTOR = 1.5
# A target with requests in flight is silent after this many of its mean
# service times without a response, and at the earliest after the minimum.
SILENCE_SERVICE_TIMES = 5.0
SILENCE_MIN_S = 0.6
# Weight of the newest service time in the moving average of a target, and the
# average assumed before the first response.
SERVICE_TIME_WEIGHT = 0.1
INITIAL_SERVICE_S = 0.5
# Timeout of an attempt in mean service times of its target. A request for an
# object that the target has not cached takes three to four times the mean.
# No such timeout applies to the first responses of a target, as the mean of
# so few cannot tell a late response from a slow one.
ATTEMPT_TIMEOUT_SERVICE_TIMES = 6.0
ATTEMPT_TIMEOUT_MIN_S = 0.5
ATTEMPT_TIMEOUT_MIN_RESPONSES = 10
# Share of an entry's rate to a cold target that is used. The rest covers
# requests that a link delays into the next second.
COLD_RATE_USED_SHARE = 0.8
# Up to this rate, in requests/s, an entry sends single requests, at this share
# of the rate: one request already uses up the rate of a second.
SINGLE_REQUEST_MAX_RATE = 1.5
SINGLE_REQUEST_RATE_SHARE = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class ObservedTarget:
    """State of a target as one entry observes it; times in seconds.

    `other_load` is the load by other entries as of `other_load_at`. While
    `now < ejected_until`, the target gets no requests, and while
    `now < avoided_until` because other entries ejected it; while
    `now < cold_until`, only as many as `tokens` allow. `failures` counts the
    ejections since the last response, and `recovering` is set from an
    ejection to the next response. `silent_since` is when the first of the
    requests in flight started or when the last response came.
    `token_offset`, between 0 and 1, differs between entries, so that many
    entries with a low rate each do not all send in the same second.
    `service_s` is what requests take while the work factor is 1.
    `statistics` are those of its pool.
    """

    record: wire.TargetRecord
    is_remote: bool
    statistics: _pool_statistics.PoolStatistics = dataclasses.field(
        default_factory=_pool_statistics.PoolStatistics
    )
    in_flight: int = 0
    other_load: float = 0.0
    other_load_at: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0
    avoided_until: float = 0.0
    failure_rate: float = 0.0
    cold_until: float = 0.0
    tokens: float = 0.0
    tokens_at: float = 0.0
    service_s: float = INITIAL_SERVICE_S
    response_count: int = 0
    silent_since: float = 0.0
    token_offset: float = 0.0
    recovering: bool = False
    work_factor: _load_reports.WorkFactor = dataclasses.field(
        default_factory=_load_reports.WorkFactor
    )

    @property
    def target(self) -> ids.TargetId:
        """Return the id of the target."""
        return self.record.target

    @property
    def process(self) -> _notices.TargetProcess:
        """Return the process that the target runs as."""
        record = self.record
        return _notices.TargetProcess(
            record.target, record.address, record.born_ms
        )


def estimate_load(target: ObservedTarget, now: float) -> float:
    """Return the estimated number of running and queued requests.

    The load by other entries loses half of its weight in a run time.
    """
    half_life_s = max(
        REPORT_HALF_LIFE_MIN_S,
        target.statistics.estimate_run(_pool_statistics.RunKind.FIRST_CHOICE),
    )
    age = now - target.other_load_at
    other_load: float = target.other_load * 0.5 ** (age / half_life_s)
    return target.in_flight + other_load


def note_start(target: ObservedTarget, now: float) -> None:
    """Count a request that is sent to a target."""
    if not target.in_flight:
        target.silent_since = now
    target.in_flight += 1


def note_end(target: ObservedTarget) -> None:
    """Count the end of a request, whatever its outcome."""
    target.in_flight -= 1


def is_silent(target: ObservedTarget, now: float) -> bool:
    """Return whether the responses of a target are overdue.

    A host that lost power or is behind a network partition resets no
    connection, so requests on open connections just get no response.
    """
    if not target.in_flight:
        return False
    # The factor as of the last response: it must not fall while none comes.
    factor = max(1.0, target.work_factor.get(target.silent_since))
    limit_s = max(
        SILENCE_MIN_S, SILENCE_SERVICE_TIMES * target.service_s * factor
    )
    return now - target.silent_since > limit_s


def compute_attempt_timeout(
    target: ObservedTarget, time_left_s: float, now: float | None = None
) -> float:
    """Return the seconds after which to try another target instead.

    This is all of the time left if it does not allow another attempt. With
    `now`, the timeout grows with the work factor of the target; it does not
    shrink, as a run for an uncached object may take as long as usual.
    """
    if target.response_count < ATTEMPT_TIMEOUT_MIN_RESPONSES:
        return time_left_s
    factor = 1.0 if now is None else max(1.0, target.work_factor.get(now))
    timeout_s = max(
        ATTEMPT_TIMEOUT_MIN_S,
        ATTEMPT_TIMEOUT_SERVICE_TIMES * target.service_s * factor,
    )
    if time_left_s - timeout_s < timeout_s:
        return time_left_s
    return timeout_s


def note_report(
    target: ObservedTarget, now: float, running: int, waiting: int
) -> None:
    """Record the load that a target reported with a response."""
    target.other_load = float(max(0, running + waiting - target.in_flight))
    target.other_load_at = now


def note_shared_load(target: ObservedTarget, now: float, others: int) -> None:
    """Record the requests that the other entries have at a target."""
    target.other_load = float(max(0, others))
    target.other_load_at = now


def note_answer(
    target: ObservedTarget, now: float, service_s: float, cold_s: float
) -> None:
    """Record a complete response after `service_s`.

    A target that responds again after an ejection may have restarted, so it
    is treated as cold for `cold_s`.
    """
    if target.recovering:
        mark_cold(target, now, cold_s)
        target.recovering = False
    target.response_count += 1
    target.silent_since = now
    target.failures = 0
    target.ejected_until = 0.0
    target.failure_rate -= OUTCOME_WEIGHT * target.failure_rate
    usual_s = service_s / target.work_factor.get(now)
    target.service_s += SERVICE_TIME_WEIGHT * (usual_s - target.service_s)


def note_failure(target: ObservedTarget) -> None:
    """Record a request that the target refused or failed."""
    target.failure_rate += OUTCOME_WEIGHT * (1.0 - target.failure_rate)


def eject(target: ObservedTarget, now: float) -> None:
    """Eject a target that is unreachable or silent."""
    note_failure(target)
    if not is_cold(target, now):
        _reset_tokens(target, now)
    target.recovering = True
    if now < target.ejected_until:
        return
    pause_s = min(EJECTION_MIN_S * 2**target.failures, EJECTION_MAX_S)
    target.failures += 1
    target.ejected_until = now + pause_s


def end_ejection(target: ObservedTarget) -> None:
    """Use a target again that accepts connections."""
    target.ejected_until = 0.0
    target.failures = 0


def is_ejected(target: ObservedTarget, now: float) -> bool:
    """Return whether a target gets no requests."""
    return now < target.avoided_until or is_ejected_here(target, now)


def is_ejected_here(target: ObservedTarget, now: float) -> bool:
    """Return whether this entry itself has ejected a target."""
    return now < target.ejected_until or is_silent(target, now)


def is_reported_ejected(target: ObservedTarget, now: float) -> bool:
    """Return whether other entries should avoid a target for now.

    That lasts beyond the pause of this entry, which then probes the target
    for all. Without a request to probe it with, others try it again.
    """
    if is_silent(target, now):
        return True
    return target.recovering and (
        now < target.ejected_until + EJECTION_REPORT_S
    )


def is_doubtful(target: ObservedTarget, pool_failure_rate: float) -> bool:
    """Return whether a target fails far more requests than its pool.

    `pool_failure_rate` is the mean failure rate of the pool.
    """
    threshold = max(
        DOUBTFUL_FAILURE_RATE, DOUBTFUL_POOL_RATE_FACTOR * pool_failure_rate
    )
    return target.failure_rate >= threshold


def stands_out(
    target: ObservedTarget,
    targets: Collection[ObservedTarget],
    now: float,
    pool_failure_rate: float,
) -> bool:
    """Return whether to eject a target that is reachable but fails requests.

    It must fail far more than its pool, and at most a third of the pool may
    be ejected: where all targets have the same fault, leaving some of them
    alone saves no request and costs their slots.
    """
    ejected_count = sum(
        is_ejected(other, now) for other in targets if other is not target
    )
    limit = math.floor(len(targets) * _outcomes.MAX_EJECTED_SHARE)
    return is_doubtful(target, pool_failure_rate) and ejected_count < limit


def compute_mean_failure_rate(targets: Collection[ObservedTarget]) -> float:
    """Return the mean failure rate of the targets of a pool."""
    if not targets:
        return 0.0
    return sum(target.failure_rate for target in targets) / len(targets)


@dataclasses.dataclass(frozen=True)
class ColdRateLimit:
    """Limit of the requests/s of all entries to a cold target.

    The limit is `factor` x the target's cold rate + `slack`.
    """

    factor: float
    slack: float

    def compute_sender_rate(self, cold_per_s: float, senders: int) -> float:
        """Return the rate of one of `senders` entries, in requests/s."""
        return (cold_per_s * self.factor + self.slack) / max(1, senders)


def _refill_tokens(
    target: ObservedTarget, now: float, sender_rate: float
) -> None:
    """Add the tokens of a cold target since the last call.

    In any second, the burst and the refill rate add up to the used rate. If
    a burst of one request would use up that rate, the refill rate is reduced
    instead.
    """
    used_rate = sender_rate * COLD_RATE_USED_SHARE
    burst = min(1.0, used_rate)
    rate = used_rate - burst
    if used_rate <= SINGLE_REQUEST_MAX_RATE:
        rate = used_rate * SINGLE_REQUEST_RATE_SHARE
    elapsed = now - target.tokens_at
    target.tokens = min(burst, target.tokens + elapsed * rate)
    target.tokens_at = now


def mark_cold(target: ObservedTarget, now: float, cold_s: float) -> None:
    """Treat a target as cold for `cold_s` from now on."""
    if not is_cold(target, now):
        _reset_tokens(target, now)
    target.cold_until = max(target.cold_until, now + cold_s)


def _reset_tokens(target: ObservedTarget, now: float) -> None:
    target.tokens = -target.token_offset
    target.tokens_at = now


def is_cold(target: ObservedTarget, now: float) -> bool:
    """Return whether the request rate to a target is limited.

    A target that is tried again after an ejection also counts as cold.
    """
    return target.recovering or now < target.cold_until


def may_send(target: ObservedTarget, now: float, sender_rate: float) -> bool:
    """Return whether a cold target may get one more request."""
    if not is_cold(target, now):
        return True
    _refill_tokens(target, now, sender_rate)
    return target.tokens >= min(1.0, sender_rate * COLD_RATE_USED_SHARE)

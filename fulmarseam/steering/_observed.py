"""What an entry observes of the targets that it sends requests to.

No one shares out slots here: an entry estimates the load of a target from
its own requests and from what the target reports with its answers.
"""

from collections.abc import Collection
import dataclasses

from fulmarseam import ids
from fulmarseam import wire

# A report says how busy a target was when it answered. Its weight halves in
# this time, as the requests it counted end within a few hundred ms.
REPORT_HALF_LIFE_S = 0.4
# A target that cannot be reached is left alone for the first time, and up
# to the second one after further failures; silence lasts for seconds.
EJECT_MIN_S = 0.5
EJECT_MAX_S = 4.0
# Weight of the newest outcome in the failure rate of a target.
OUTCOME_WEIGHT = 0.1
# Above this failure rate a target is used only when no better one is free,
# unless the others of its pool fail nearly as much: then another one is no
# better, and only this one may remember the object of a request.
DOUBTFUL_FAILURE_RATE = 0.25
DOUBTFUL_FACTOR = 1.5
# A target with requests is silent after this many of its mean service times
# without any answer, and not before the shortest time.
SILENCE_SERVICE_TIMES = 5.0
SILENCE_MIN_S = 0.6
# Weight of the newest service time in the mean of a target, and the mean
# assumed before the first answer, in seconds.
SERVICE_WEIGHT = 0.1
FIRST_SERVICE_S = 0.5
# A run for an object that the target does not remember takes three to four
# times the mean. Only after this many answers the mean tells a late answer
# from a slow one.
PATIENCE_SERVICE_TIMES = 6.0
PATIENCE_MIN_S = 0.5
PATIENCE_MIN_ANSWERS = 10
# Part of an entry's share that is used; the rest covers requests whose
# arrival a link delays into the next second.
COLD_SHARE_USED = 0.8
# Up to this share, in requests/s, an entry sends single requests, at this
# part of the share: a second that holds one of them has used it up.
SINGLE_SHARE = 1.5
SINGLE_RATE = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class ObservedTarget:
    """A target as one entry sees it; times in seconds.

    `others` is the load by other entries as of `others_at`. While
    `now < ejected_until` the target gets no requests, and while
    `now < cold_until` only as many as `tokens` allow. `silent_since` is
    when the oldest of the present requests started, or the last answer.
    `token_offset` between 0 and 1 differs between entries, so that many
    entries with a small share each do not use it in the same second.
    """

    record: wire.TargetRecord
    is_remote: bool
    in_flight: int = 0
    others: float = 0.0
    others_at: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0
    failure_rate: float = 0.0
    cold_until: float = 0.0
    tokens: float = 0.0
    tokens_at: float = 0.0
    service_s: float = FIRST_SERVICE_S
    answers: int = 0
    silent_since: float = 0.0
    token_offset: float = 0.0
    recovering: bool = False

    @property
    def target(self) -> ids.TargetId:
        """Return the id of the target."""
        return self.record.target


def estimate_load(target: ObservedTarget, now: float) -> float:
    """Return the requests that run or wait at a target, as estimated."""
    age = now - target.others_at
    others: float = target.others * 0.5 ** (age / REPORT_HALF_LIFE_S)
    return target.in_flight + others


def note_start(target: ObservedTarget, now: float) -> None:
    """Count a request that is given to a target."""
    if not target.in_flight:
        target.silent_since = now
    target.in_flight += 1


def note_end(target: ObservedTarget) -> None:
    """Count the end of a request, however it ended."""
    target.in_flight -= 1


def is_silent(target: ObservedTarget, now: float) -> bool:
    """Return whether a target answers nothing although it should.

    A host without power or behind a partition resets no connection, so
    requests on open connections only stay without answers.
    """
    if not target.in_flight:
        return False
    limit_s = max(SILENCE_MIN_S, SILENCE_SERVICE_TIMES * target.service_s)
    return now - target.silent_since > limit_s


def compute_attempt_timeout(
    target: ObservedTarget, time_left_s: float
) -> float:
    """Return how long to wait for an answer that another target may give.

    The time left is waited for in full where it would not be enough for
    another attempt.
    """
    if target.answers < PATIENCE_MIN_ANSWERS:
        return time_left_s
    patience_s = max(PATIENCE_MIN_S, PATIENCE_SERVICE_TIMES * target.service_s)
    if time_left_s - patience_s < patience_s:
        return time_left_s
    return patience_s


def note_report(
    target: ObservedTarget, now: float, running: int, waiting: int
) -> None:
    """Take the load that a target reported with an answer."""
    target.others = float(max(0, running + waiting - target.in_flight))
    target.others_at = now


def note_answer(
    target: ObservedTarget, now: float, service_s: float, cold_s: float
) -> None:
    """Count a full answer after `service_s`.

    A target that answers again after it had been ejected may have
    restarted, so it is treated as cold for `cold_s`.
    """
    if target.recovering:
        mark_cold(target, now, cold_s)
        target.recovering = False
    target.answers += 1
    target.silent_since = now
    target.failures = 0
    target.ejected_until = 0.0
    target.failure_rate -= OUTCOME_WEIGHT * target.failure_rate
    target.service_s += SERVICE_WEIGHT * (service_s - target.service_s)


def note_failure(target: ObservedTarget) -> None:
    """Count a request that the target refused or failed by itself."""
    target.failure_rate += OUTCOME_WEIGHT * (1.0 - target.failure_rate)


def eject(target: ObservedTarget, now: float) -> None:
    """Keep away from a target that cannot be reached or is silent."""
    note_failure(target)
    if not is_cold(target, now):
        _reset_tokens(target, now)
    target.recovering = True
    if now < target.ejected_until:
        return
    pause_s = min(EJECT_MIN_S * 2**target.failures, EJECT_MAX_S)
    target.failures += 1
    target.ejected_until = now + pause_s


def is_ejected(target: ObservedTarget, now: float) -> bool:
    """Return whether requests keep away from a target."""
    return now < target.ejected_until or is_silent(target, now)


def is_doubtful(target: ObservedTarget, pool_rate: float) -> bool:
    """Return whether a target fails more requests than others do.

    `pool_rate` is the mean failure rate of its pool.
    """
    bound = max(DOUBTFUL_FAILURE_RATE, DOUBTFUL_FACTOR * pool_rate)
    return target.failure_rate >= bound


def compute_mean_failure_rate(targets: Collection[ObservedTarget]) -> float:
    """Return the mean failure rate of the targets of a pool."""
    if not targets:
        return 0.0
    return sum(item.failure_rate for item in targets) / len(targets)


@dataclasses.dataclass(frozen=True)
class ColdRateLimit:
    """What all entries together may send to a cold target in a second."""

    factor: float
    slack: float

    def compute_sender_rate(self, cold_per_s: float, senders: int) -> float:
        """Return the part of one of `senders` entries, in requests/s."""
        return (cold_per_s * self.factor + self.slack) / max(1, senders)


def refill(target: ObservedTarget, now: float, share: float) -> None:
    """Add the tokens of a cold target since the last call.

    The burst and the rate add up to the used share in any second. A share
    that a burst of one would use up is spread by a lower rate instead.
    """
    used = share * COLD_SHARE_USED
    burst = min(1.0, used)
    rate = used - burst
    if used <= SINGLE_SHARE:
        rate = used * SINGLE_RATE
    elapsed = now - target.tokens_at
    target.tokens = min(burst, target.tokens + elapsed * rate)
    target.tokens_at = now


def mark_cold(target: ObservedTarget, now: float, cold_s: float) -> None:
    """Treat a target as cold for some time from now on."""
    if not is_cold(target, now):
        _reset_tokens(target, now)
    target.cold_until = max(target.cold_until, now + cold_s)


def _reset_tokens(target: ObservedTarget, now: float) -> None:
    target.tokens = -target.token_offset
    target.tokens_at = now


def is_cold(target: ObservedTarget, now: float) -> bool:
    """Return whether only a bounded rate may be sent to a target.

    One that is tried again after a failure counts as cold.
    """
    return target.recovering or now < target.cold_until


def may_send(target: ObservedTarget, now: float, share: float) -> bool:
    """Return whether a cold target may get one more request."""
    if not is_cold(target, now):
        return True
    refill(target, now, share)
    return target.tokens >= min(1.0, share * COLD_SHARE_USED)

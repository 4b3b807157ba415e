"""Messages about requests that may end the targets that run them."""

import msgspec

from fulmarseam import ids


class Strike(msgspec.Struct, frozen=True, array_like=True):
    """A connection to `target` broke while it ran a request.

    `was_trial` tells whether the request ran as a trial.
    """

    fingerprint: bytes
    target: ids.TargetId
    was_trial: bool = False


class SuspectRow(msgspec.Struct, frozen=True, array_like=True):
    """A suspected request with its strikes and its failed trials.

    `targets` are the targets that it broke, the first ones, and only after a
    failed trial: other rows are many, and must be small. No trial starts
    before `wait_ms` have passed. With `is_cleared` a target has since
    answered the request, and its strikes are void.
    """

    fingerprint: bytes
    strikes: int
    failed_trials: int = 0
    wait_ms: int = 0
    is_cleared: bool = False
    targets: list[ids.TargetId] = []


class TrialRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks to run a suspected request, for at most `lease_ms`."""

    fingerprint: bytes
    lease_ms: int


class SuspectReport(
    msgspec.Struct,
    tag='suspect_report',
    frozen=True,
    kw_only=True,
    omit_defaults=True,
):
    """An entry's report on suspected requests to the leader.

    `answered` lists the requests that a target has answered, `ended` those
    whose trial ended without a result, and `known` what the entry knows from
    a former leader.
    """

    strikes: list[Strike] = []
    answered: list[bytes] = []
    ended: list[bytes] = []
    known: list[SuspectRow] = []
    trial: TrialRequest | None = None


class TrialResponse(
    msgspec.Struct, tag='trial_response', frozen=True, kw_only=True
):
    """The response to a `SuspectReport`.

    The trial that it asks for may start if `wait_ms` is 0. `is_running` is
    set if another trial of the request runs.
    """

    wait_ms: int = 0
    is_running: bool = False


SuspectMessage = SuspectReport | TrialResponse

"""An entry's part: which requests it holds back, and what it reports."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import enum
from typing import Any
from typing import NamedTuple

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.quarantine import _registry

# A caller whose request broke a target is answered this much later at most,
# so that the leader knows of the strike before the caller repeats it.
REPORT_TIMEOUT_S = 0.3
# A call that times out replaces the connection that polls use as well, so a
# slow leader gets as long as for a poll.
CALL_TIMEOUT_S = 0.8
# A trial that the leader does not hear of again ends after this time.
MAX_TRIAL_LEASE_S = 10.0
# While another trial of its request runs, a copy waits and asks again.
RECHECK_INTERVAL_S = 0.05
# Connections that break together are looked at together, after this time.
BREAK_SETTLE_S = 0.02
# Breaks within this time before one count as one event with it.
BREAK_WINDOW_S = 0.03
# If this many other targets broke without running the request, the network
# or their hosts are the more likely cause.
UNRELATED_BREAKS = 3
MAX_BREAKS = 200
# Requests that a target has answered within this time run freely after a
# strike; most popular requests are among the latest ones.
SOUND_S = 60.0
MAX_SOUND_REQUESTS = 4_000
# Reports kept for the next leader while there is none.
MAX_PENDING = 200
# Suspects that an entry tells a new leader of.
MAX_KNOWN = 50

AskLeader = Callable[
    [wire.SuspectReport, float], Awaitable[wire.TrialResponse]
]

_log = logbook.Logger('quarantine')


class Verdict(enum.Enum):
    """Whether a request may run."""

    FREE = 'free'
    TRIAL = 'trial'
    WAIT = 'wait'
    REFUSE = 'refuse'


class Admission(NamedTuple):
    """The verdict on a request.

    With WAIT or REFUSE, it should ask again after `wait_s`.
    """

    verdict: Verdict
    wait_s: float = 0.0


_FREE = Admission(Verdict.FREE)
# Stands between the id of a target and its incarnation.
_INCARNATION_MARK = '@'


class _Break(NamedTuple):
    """A connection that broke while its target ran a request."""

    time: float
    target: ids.TargetId
    content: bytes


class CrashGuard:
    """Holds back requests that may end the targets that run them.

    `ask_leader` sends a report to the leader and returns its response. It
    raises `errors.FulmarseamError` if no leader answers; the guard then
    decides by what this entry knows.
    """

    def __init__(self, ask_leader: AskLeader) -> None:
        self._ask_leader = ask_leader
        self._clock = asyncio.get_running_loop().time
        self._table = steering.SuspectTable()
        # Version of the leader's registry that this entry has.
        self.version = 0
        # When a target last answered a request, oldest first.
        self._answered_at: dict[bytes, float] = {}
        # When this entry last learned of a strike of a request.
        self._struck_at: dict[bytes, float] = {}
        self._breaks: collections.deque[_Break] = collections.deque(
            maxlen=MAX_BREAKS
        )
        # Trials of this entry without an outcome: the digest that allowed
        # each, and the request that runs. Then their targets.
        self._trials: dict[bytes, bytes] = {}
        self._trial_targets: dict[bytes, ids.TargetId] = {}
        self._strikes: list[wire.Strike] = []
        self._answered: set[bytes] = set()
        self._ended: set[bytes] = set()
        # Contents of requests whose reused connection broke at a target that
        # still listens; their next run uses a new connection.
        self._unconfirmed: dict[bytes, None] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    def close(self) -> None:
        """Cancel the reports in progress."""
        for task in self._tasks:
            task.cancel()

    # Admission

    async def admit(
        self, fingerprint: steering.Fingerprint, time_left_s: float
    ) -> Admission:
        """Return whether a request may run now, asking the leader if needed.

        After a TRIAL its outcome must be told to `note_answered` or
        `note_broken`, and `end_trial` be called in any case.
        """
        now = self._clock()
        if self._may_run_freely(now, fingerprint):
            return _FREE
        suspect = self._choose_suspect(now, fingerprint)
        permission = self._table.check_trial(now, suspect)
        if not permission.wait_s:
            permission = await self._ask_for_trial(suspect, time_left_s)
        if self._may_run_freely(self._clock(), fingerprint):
            # Another entry got an answer in the meantime.
            self._end_unused_trial(suspect, fingerprint, permission)
            return _FREE
        if permission.is_running:
            return Admission(Verdict.WAIT, RECHECK_INTERVAL_S)
        if permission.wait_s:
            return Admission(Verdict.REFUSE, permission.wait_s)
        self._trials[suspect] = fingerprint.full
        return Admission(Verdict.TRIAL)

    def must_try(self, fingerprint: steering.Fingerprint) -> bool:
        """Return whether a request may only run as a trial."""
        return not self._may_run_freely(self._clock(), fingerprint)

    def needs_new_connection(self, fingerprint: steering.Fingerprint) -> bool:
        """Return whether a request should not use a kept connection.

        A kept connection may break because the target had closed it, which
        proves nothing about the request.
        """
        now = self._clock()
        return (
            fingerprint.content in self._unconfirmed
            or self._table.is_suspect(now, fingerprint.full)
            or not self._may_run_freely(now, fingerprint)
        )

    def _may_run_freely(
        self, now: float, fingerprint: steering.Fingerprint
    ) -> bool:
        is_struck = self._table.is_suspect(now, fingerprint.full)
        if not self._was_answered_lately(now, fingerprint.full):
            return not is_struck and not self._table.is_suspect(
                now, fingerprint.content
            )
        return not is_struck or self._table.may_be_sound(
            now,
            fingerprint.full,
            self._answered_at[fingerprint.full]
            > self._struck_at.get(fingerprint.full, now),
        )

    def _was_answered_lately(self, now: float, full: bytes) -> bool:
        answered_at = self._answered_at.get(full)
        return answered_at is not None and now - answered_at <= SOUND_S

    def _choose_suspect(
        self, now: float, fingerprint: steering.Fingerprint
    ) -> bytes:
        """Return the digest whose trials a request has to wait for.

        Once several callers' requests have proved lethal, the content decides
        also for a request that has strikes itself.
        """
        full, content = fingerprint
        if not self._table.is_suspect(now, full):
            return content
        if self._table.is_proven(now, content):
            full_wait_s = self._table.check_trial(now, full).wait_s
            if self._table.check_trial(now, content).wait_s > full_wait_s:
                return content
        return full

    async def _ask_for_trial(
        self, fingerprint: bytes, time_left_s: float
    ) -> steering.TrialPermission:
        lease_s = min(time_left_s, MAX_TRIAL_LEASE_S)
        trial = wire.TrialRequest(fingerprint, int(lease_s * 1_000))
        try:
            answer = await self._report(trial)
        except errors.FulmarseamError as error:
            _log.warning(
                telemetry.format_event(
                    'trial_undecided',
                    fingerprint=fingerprint.hex(),
                    reason=error.detail,
                )
            )
            return self._table.start_trial(self._clock(), fingerprint, lease_s)
        if answer.wait_ms:
            return steering.TrialPermission(
                answer.wait_ms / 1_000, answer.is_running
            )
        self._table.start_trial(self._clock(), fingerprint, lease_s)
        return steering.TrialPermission(0.0)

    def _end_unused_trial(
        self,
        suspect: bytes,
        fingerprint: steering.Fingerprint,
        permission: steering.TrialPermission,
    ) -> None:
        if not permission.wait_s:
            self._trials[suspect] = fingerprint.full
            self.end_trial(fingerprint)

    def make_refusal(
        self, admission: Admission, kind: errors.ErrorKind
    ) -> errors.FulmarseamError:
        """Return the error for a request that was not admitted."""
        return errors.FulmarseamError(
            kind,
            'targets ended while they ran this request',
            admission.wait_s,
        )

    # Trials

    def start_trial(
        self, fingerprint: steering.Fingerprint, target: ids.TargetId
    ) -> None:
        """Record the target of a trial, so that no other trial runs there."""
        self._trial_targets[fingerprint.full] = target

    def list_trial_targets(self) -> frozenset[ids.TargetId]:
        """Return the targets that run a trial for this entry."""
        return frozenset(self._trial_targets.values())

    def end_trial(self, fingerprint: steering.Fingerprint) -> None:
        """Record the end of a trial, whatever its outcome was."""
        self._trial_targets.pop(fingerprint.full, None)
        for suspect in fingerprint:
            if self._trials.get(suspect) == fingerprint.full:
                del self._trials[suspect]
                self._table.end_trial(suspect)
                self._ended.add(suspect)
                self._report_soon()

    # Outcomes

    def note_answered(self, fingerprint: steering.Fingerprint) -> None:
        """Record a complete answer of a target, which clears all strikes.

        It says little about requests of the same content that say something
        else about their caller, unless it ran as a trial of that content.
        """
        now = self._clock()
        full, content = fingerprint
        self._answered_at.pop(full, None)
        if len(self._answered_at) >= MAX_SOUND_REQUESTS:
            del self._answered_at[next(iter(self._answered_at))]
        self._answered_at[full] = now
        self._unconfirmed.pop(content, None)
        if self._trials.get(content) == full:
            del self._trials[content]
            self._answered.add(content)
            self._report_soon()
            self._clear(now, content)
        self._trials.pop(full, None)
        if self._clear(now, full):
            self._struck_at.pop(full, None)
            self._answered.add(full)
            self._report_soon()

    def _clear(self, now: float, suspect: bytes) -> bool:
        """Drop the strikes of a digest; return whether there were any."""
        if not self._table.clear(now, suspect):
            return False
        _log.info(
            telemetry.format_event(
                'suspect_cleared', fingerprint=suspect.hex()
            )
        )
        return True

    async def note_broken(
        self,
        fingerprint: steering.Fingerprint,
        target: ids.TargetId,
        incarnation: int,
        was_trial: bool,
        is_listening: Callable[[], Awaitable[bool]] | None = None,
    ) -> bool:
        """Record a connection that broke while its target ran a request.

        `incarnation` tells a target from one that has started again under
        its id. `is_listening` is given for a kept connection, which the
        target may have closed for reasons of its own. Waits until the leader
        knows of a strike, at most `REPORT_TIMEOUT_S`. Returns whether it is
        one.
        """
        broken_at = self._clock()
        full, content = fingerprint
        self._breaks.append(_Break(broken_at, target, content))
        await asyncio.sleep(BREAK_SETTLE_S)
        is_unconfirmed = is_listening is not None and await is_listening()
        if is_unconfirmed:
            self._mark_unconfirmed(content)
        elif not self._is_one_of_many(content, broken_at):
            process = ids.TargetId(f'{target}{_INCARNATION_MARK}{incarnation}')
            is_content_trial = was_trial and self._trials.get(content) == full
            strikes = [
                wire.Strike(full, process, was_trial and not is_content_trial)
            ]
            if not self._was_answered_lately(broken_at, full):
                strikes.append(wire.Strike(content, process, is_content_trial))
            await self._strike(strikes)
            return True
        _log.info(
            telemetry.format_event(
                'strike_dismissed',
                fingerprint=full.hex(),
                target=target,
                reason='idle' if is_unconfirmed else 'many',
            )
        )
        return False

    def _mark_unconfirmed(self, content: bytes) -> None:
        if len(self._unconfirmed) >= MAX_PENDING:
            del self._unconfirmed[next(iter(self._unconfirmed))]
        self._unconfirmed[content] = None

    def _is_one_of_many(self, content: bytes, broken_at: float) -> bool:
        """Return whether other targets broke without running the request."""
        since = broken_at - BREAK_WINDOW_S
        until = broken_at + BREAK_SETTLE_S
        recent = [
            found for found in self._breaks if since <= found.time <= until
        ]
        running = {
            found.target for found in recent if found.content == content
        }
        others = {found.target for found in recent} - running
        return len(others) >= UNRELATED_BREAKS

    async def _strike(self, strikes: list[wire.Strike]) -> None:
        """Record the strikes of one broken connection, and report them."""
        now = self._clock()
        for strike in strikes:
            if strike.was_trial:
                self._trials.pop(strike.fingerprint, None)
            self._table.strike(now, strike)
            self._note_struck(now, strike.fingerprint)
            _log.warning(
                telemetry.format_event(
                    'strike',
                    fingerprint=strike.fingerprint.hex(),
                    target=strike.target,
                    was_trial=strike.was_trial,
                )
            )
        self._strikes += strikes
        del self._strikes[:-MAX_PENDING]
        try:
            await self._report()
        except errors.FulmarseamError as error:
            _log.warning(
                telemetry.format_event(
                    'strike_unreported', reason=error.detail
                )
            )

    def _note_struck(self, now: float, fingerprint: bytes) -> None:
        self._struck_at.pop(fingerprint, None)
        if len(self._struck_at) >= steering.MAX_SUSPECTS:
            del self._struck_at[next(iter(self._struck_at))]
        self._struck_at[fingerprint] = now

    # Exchange with the leader

    def apply_news(self, version: int, rows: list[wire.SuspectRow]) -> None:
        """Apply what the leader knows; tell a new one what this entry knows.

        `version` is 0 if there is nothing new.
        """
        if not version:
            return
        now = self._clock()
        is_new_term = (version ^ self.version) >> _registry.VERSION_BITS
        known = self._list_known(now) if is_new_term else []
        self.version = version
        self._table.merge(now, rows)
        for row in rows:
            if not row.is_cleared:
                self._note_struck(now, row.fingerprint)
        if known or self._strikes or self._answered:
            self._report_soon(known)

    def _list_known(self, now: float) -> list[wire.SuspectRow]:
        """Return what a new leader should know, the proven ones first."""
        rows = self._table.list_rows(now)
        rows.sort(key=lambda row: -row.failed_trials)
        return rows[:MAX_KNOWN]

    def _report_soon(self, known: list[wire.SuspectRow] | None = None) -> None:
        """Report to the leader in the background."""
        task = asyncio.create_task(self._report_quietly(known or []))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report_quietly(self, known: list[wire.SuspectRow]) -> None:
        try:
            await self._report(None, known)
        except errors.FulmarseamError as error:
            if known:
                # The next news are then those of a new leader again.
                self.version = 0
            _log.debug(
                telemetry.format_event(
                    'suspects_unreported', reason=error.detail
                )
            )

    async def _report(
        self,
        trial: wire.TrialRequest | None = None,
        known: list[wire.SuspectRow] | None = None,
    ) -> wire.TrialResponse:
        """Send what the leader does not know yet; keep it if that fails."""
        task = asyncio.create_task(self._send_report(trial, known or []))
        self._tasks.add(task)
        task.add_done_callback(self._finish_report)
        done, _ = await asyncio.wait((task,), timeout=REPORT_TIMEOUT_S)
        if not done:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE,
                f'no answer within {REPORT_TIMEOUT_S} s',
            )
        return task.result()

    def _finish_report(self, task: asyncio.Task[wire.TrialResponse]) -> None:
        """Forget a report; who waited for it has logged its error."""
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _send_report(
        self, trial: wire.TrialRequest | None, known: list[wire.SuspectRow]
    ) -> wire.TrialResponse:
        strikes, self._strikes = self._strikes, []
        answered, self._answered = self._answered, set()
        ended, self._ended = self._ended, set()
        try:
            return await self._ask_leader(
                wire.SuspectReport(
                    strikes=strikes,
                    answered=sorted(answered),
                    ended=sorted(ended),
                    known=known,
                    trial=trial,
                ),
                CALL_TIMEOUT_S,
            )
        except errors.FulmarseamError:
            self._strikes = (strikes + self._strikes)[-MAX_PENDING:]
            self._answered |= answered
            raise

    # State

    def expire(self) -> None:
        """Forget suspects whose time is over; called periodically."""
        self._table.expire(self._clock())

    def count(self) -> int:
        """Return the number of suspected requests."""
        return self._table.count()

    def list_rows(self) -> list[wire.QuarantineRow]:
        """Return the suspected requests, for operators."""
        now = self._clock()
        return [
            wire.QuarantineRow(
                fingerprint=row.fingerprint.hex(),
                targets=[
                    ids.TargetId(target.rpartition(_INCARNATION_MARK)[0])
                    for target in self._table.list_targets(row.fingerprint)
                ],
                quarantined=row.failed_trials > 0,
                left_ms=int(
                    self._table.get_time_left(now, row.fingerprint) * 1_000
                ),
            )
            for row in self._table.list_rows(now)
            if row.failed_trials or not steering.is_content(row.fingerprint)
        ]

"""Calls of operators and targets that a member has yet to carry out.

See docs/design/stale-commands.md.
"""

import asyncio
from collections.abc import Callable
import dataclasses

import logbook

from fulmarseam import errors
from fulmarseam import pauses
from fulmarseam import telemetry

# Time between two signs of life.
TICK_INTERVAL_S = 0.025
# A gap between two signs of life that counts as a pause. A command may wait
# unnoticed for this long. With the 0.9 s in which it is carried out, that is
# no more than the 1 s for which its sender waits.
PAUSE_MIN_S = 0.1
# After a pause, this many turns of the loop read all bytes that waited: one
# accepts a connection, one prepares it, one reads a request and one runs its
# handler. The others are a reserve.
PAUSE_TURNS = 10
# Messages of the RPC server come through threads of its library, which may
# read what waited some milliseconds after the loop goes on.
RPC_SETTLE_S = 0.5
# Shorter pauses are common on a busy host and are not logged.
PAUSE_LOGGED_S = 0.5
# Wait before a command without any order is carried out, in which a FIN that
# follows it arrives. A round trip between regions takes up to 40 ms.
CONFIRM_DELAY_S = 0.1

_log = logbook.Logger('control')


@dataclasses.dataclass
class _Pause:
    started_at: float
    ended_at: float
    turns_left: int = PAUSE_TURNS


class ArrivalClock:
    """Tells when bytes that are read now have arrived at the earliest."""

    def __init__(self, clock: Callable[[], float] = pauses.read_clock) -> None:
        self._detector = pauses.PauseDetector(PAUSE_MIN_S, clock)
        self._loop = asyncio.get_running_loop()
        # The latest pauses, oldest first.
        self._pauses: list[_Pause] = []
        self._counts_turns = False

    def get_earliest(self) -> float:
        """Note a sign of life; return the earliest arrival of a request."""
        now = self._note_life()
        for pause in self._pauses:
            if pause.turns_left > 0:
                return pause.started_at
        return now

    def require_recent(self, limit_s: float) -> None:
        """Refuse an RPC message that may have waited for longer.

        Raises `errors.FulmarseamError` with `UNAVAILABLE`.
        """
        now = self._note_life()
        waited_s = now - self._pauses[0].started_at if self._pauses else 0.0
        if waited_s > limit_s:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE,
                f'the message may have waited for {waited_s:.3f} s, expected '
                f'at most {limit_s:g} s',
            )

    def _note_life(self) -> float:
        seen_at = self._detector.last_seen_at
        pause_s = self._detector.check()
        now = self._detector.last_seen_at
        self._pauses = [
            pause
            for pause in self._pauses
            if pause.turns_left > 0 or now < pause.ended_at + RPC_SETTLE_S
        ]
        if pause_s is not None:
            self._pauses.append(_Pause(seen_at, now))
            if not self._counts_turns:
                self._counts_turns = True
                self._loop.call_soon(self._count_turn)
            if pause_s >= PAUSE_LOGGED_S:
                _log.warning(telemetry.format_event('paused', pause_s=pause_s))
        return now

    def _count_turn(self) -> None:
        for pause in self._pauses:
            pause.turns_left -= 1
        self._counts_turns = any(item.turns_left > 0 for item in self._pauses)
        if self._counts_turns:
            self._loop.call_soon(self._count_turn)

    async def run(self) -> None:
        """Note signs of life."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.get_earliest()


def is_wanted_always() -> bool:
    """Return that the sender has not gone; for commands of the member."""
    return True


class PendingCall:
    """A call that may be carried out until `deadline` by `read_clock`.

    `is_wanted` tells whether its sender still waits for the answer.
    """

    def __init__(
        self,
        deadline: float,
        is_wanted: Callable[[], bool] = is_wanted_always,
    ) -> None:
        self._deadline = deadline
        self._is_wanted = is_wanted

    def get_left_s(self) -> float:
        """Return the seconds left to carry out the call."""
        return self._deadline - pauses.read_clock()

    def detach(self, extra_s: float) -> 'PendingCall':
        """Return a call that goes on for longer, also without its sender.

        It must change nothing that a later command has changed.
        """
        return PendingCall(self._deadline + extra_s)

    def check(self) -> None:
        """Raise `errors.FulmarseamError` if the call has become stale.

        Its kind is `CALLER_GONE` if the sender has gone, and `UNAVAILABLE`
        if the call has waited longer than its sender does.
        """
        if not self._is_wanted():
            raise errors.FulmarseamError(
                errors.ErrorKind.CALLER_GONE, 'the sender has gone'
            )
        left_s = self.get_left_s()
        if left_s <= 0.0:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE,
                f'the call ended {-left_s:.3f} s ago, before it was '
                'carried out',
            )

    async def confirm(self) -> None:
        """Wait for a FIN that may follow the call; then `check` it."""
        self.check()
        await asyncio.sleep(CONFIRM_DELAY_S)
        self.check()


def read_clock_ms() -> int:
    """Return the clock of this member in milliseconds."""
    return int(pauses.read_clock() * 1_000)


def check_forwarded(term: int, expires_ms: int, own_term: int) -> None:
    """Refuse a forwarded command that is late.

    `expires_ms` is a time of `read_clock_ms` of the leader in `term`; 0 means
    that the forwarding member does not know this clock.
    """
    if not expires_ms:
        return
    now_ms = read_clock_ms()
    if term != own_term or now_ms > expires_ms:
        raise errors.FulmarseamError(
            errors.ErrorKind.UNAVAILABLE,
            f'found a command of term {term} that ended at {expires_ms} ms, '
            f'expected term {own_term} and an end after {now_ms} ms',
        )

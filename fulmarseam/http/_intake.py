"""What callers and answers occupy in a process."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import ctypes
import dataclasses
import functools
import os
import pathlib
from typing import Protocol

import logbook

from fulmarseam import intake
from fulmarseam.http import _turns

# Time between two checks for slow callers, and between two choices of
# connections to close while the budget is used up.
CHECK_INTERVAL_S = 1.0
# Memory of an idle process where the system does not tell it.
DEFAULT_IDLE_BYTES = 64 * 1024 * 1024
PRESSED_INTERVAL_S = 0.05
LOG_INTERVAL_S = 1.0
# Time between two choices of connections that make room for new ones, and
# the most that are closed in that time.
EVICTION_INTERVAL_S = 0.05
EVICTION_BATCH = 256

_log = logbook.Logger('http')


class Occupant(Protocol):
    """A connection as the intake sees it."""

    def update_account(self) -> None:
        """Bring the phase and the unsent bytes of the account up to date."""

    def apply_budget(self) -> None:
        """Pause or resume reading as the budget demands."""

    def give_up(self) -> None:
        """Refuse the request that is not complete, or close."""

    def abort(self) -> None:
        """Close at once."""


class Intake:
    """Keeps the callers of all listeners of a process within its budget.

    `count_closed` is told the reason of each refusal or close.
    """

    def __init__(
        self,
        rules: intake.Rules | None = None,
        count_closed: Callable[[str], None] | None = None,
    ) -> None:
        self.budget = intake.Budget(rules or intake.Rules())
        self.answer_budget = intake.AnswerBudget(
            self.budget.rules.memory_bytes
        )
        self.turns = _turns.Turns()
        self._loop = asyncio.get_running_loop()
        self._count_closed = count_closed
        self._occupants: dict[intake.Account, Occupant] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._next_check_at = 0.0
        self._was_pressed = False
        self._evictable: collections.deque[intake.Account] = (
            collections.deque()
        )
        self._next_choice_at = 0.0
        # Reasons with their numbers since the last log line.
        self._unlogged: collections.Counter[str] = collections.Counter()
        self._logged_at: dict[str, float] = {}

    # Accounts

    def admit(self, occupant: Occupant, address: str) -> intake.Account | None:
        """Return the account of a new connection, or None if refused.

        Another connection may be closed for it.
        """
        now = self._loop.time()
        if self.budget.is_full:
            evicted = self._choose_evicted(now)
            if evicted is None:
                self.note('connections_full')
                return None
            self.note('connection_evicted')
            evicted_occupant = self._occupants[evicted]
            self.release(evicted)
            evicted_occupant.abort()
        account = self.budget.open(address, now)
        self._occupants[account] = occupant
        self._schedule(CHECK_INTERVAL_S)
        return account

    def _choose_evicted(self, now: float) -> intake.Account | None:
        """Return the connection that makes room for a new one, if any.

        The choice among thousands takes milliseconds, so that it is made
        for many new connections at once.
        """
        while True:
            while self._evictable:
                account = self._evictable.popleft()
                occupant = self._occupants.get(account)
                if occupant is not None:
                    occupant.update_account()
                    if self.budget.may_close(account, now):
                        return account
            if now < self._next_choice_at:
                return None
            self._next_choice_at = now + EVICTION_INTERVAL_S
            self._update_accounts()
            self._evictable.extend(
                self.budget.list_evictable(now)[:EVICTION_BATCH]
            )

    def release(self, account: intake.Account) -> None:
        """Remove the account of a connection that is closed."""
        self.budget.close(account, self._loop.time())
        self._occupants.pop(account, None)
        self._react()

    def set_held(
        self, account: intake.Account, kind: intake.Kind, count: int
    ) -> None:
        """Set the bytes that a connection holds for a purpose."""
        self.budget.set_held(account, kind, count, self._loop.time())
        self._react()

    def _react(self) -> None:
        """Let all connections follow a change between calm and pressure."""
        is_pressed = self.budget.is_pressed
        if is_pressed == self._was_pressed:
            return
        self._was_pressed = is_pressed
        for occupant in list(self._occupants.values()):
            occupant.apply_budget()
        if is_pressed:
            self._schedule(0.0)
        else:
            _trim_heap()

    # Periodic checks

    def _schedule(self, delay_s: float) -> None:
        """Check after a delay, unless a check is due earlier."""
        due = self._loop.time() + delay_s
        if self._timer is not None:
            if self._timer.when() <= due:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due, self._check)

    def _check(self) -> None:
        self._timer = None
        now = self._loop.time()
        if not self._occupants:
            self._flush_log(now)
            return
        self._update_accounts()
        for account in self.budget.choose_closed(now):
            self._give_up(account, 'memory')
        if now >= self._next_check_at:
            self._next_check_at = now + CHECK_INTERVAL_S
            for account in self.budget.list_too_slow(now):
                self._give_up(account, 'too_slow')
            self._flush_log(now)
        self._schedule(
            PRESSED_INTERVAL_S if self.budget.is_pressed else CHECK_INTERVAL_S
        )

    def _update_accounts(self) -> None:
        for occupant in list(self._occupants.values()):
            occupant.update_account()

    def _give_up(self, account: intake.Account, reason: str) -> None:
        occupant = self._occupants.get(account)
        if occupant is not None:
            self.note(reason)
            occupant.give_up()

    # Observation

    def register_gauges(
        self, register: Callable[[str, Callable[[], float]], None]
    ) -> None:
        """Register gauges of the held bytes of callers and answers."""
        register('held_bytes_answers', lambda: self.answer_budget.held)
        for kind in intake.Kind:
            register(
                f'held_bytes_{kind.value}',
                functools.partial(self.budget.parts.__getitem__, kind),
            )

    def note(self, reason: str) -> None:
        """Count a refused or closed caller, and log it once a second."""
        if self._count_closed is not None:
            self._count_closed(reason)
        self._unlogged[reason] += 1
        now = self._loop.time()
        if now - self._logged_at.get(reason, -LOG_INTERVAL_S) >= (
            LOG_INTERVAL_S
        ):
            self._log_reason(reason, now)

    def _flush_log(self, now: float) -> None:
        for reason in list(self._unlogged):
            if now - self._logged_at[reason] >= LOG_INTERVAL_S:
                self._log_reason(reason, now)

    def _log_reason(self, reason: str, now: float) -> None:
        self._logged_at[reason] = now
        count = self._unlogged.pop(reason, 0)
        _log.warning(
            'event=callers_closed reason={} count={} held_bytes={} '
            'connections={}',
            reason,
            count,
            self.budget.held,
            len(self.budget.accounts),
        )


def make_rules(
    memory_limit: int | None,
    max_connections: int,
    min_progress: float,
    min_answer_progress: float,
    progress_timeout_s: float,
) -> intake.Rules:
    """Return the rules of this process, before it has its first caller.

    `memory_limit` is in MiB; without it the default budget applies.
    """
    rules = intake.Rules(
        max_connections=max_connections,
        min_progress=min_progress,
        min_answer_progress=min_answer_progress,
        progress_timeout_s=progress_timeout_s,
    )
    if memory_limit is None:
        return rules
    return dataclasses.replace(
        rules, memory_bytes=_measure_budget(memory_limit * intake.MIB)
    )


def _measure_budget(limit_bytes: int) -> int:
    """Return the budget of this process within a limit of its memory."""
    idle_bytes = DEFAULT_IDLE_BYTES
    with contextlib.suppress(OSError, ValueError, IndexError):
        text = pathlib.Path('/proc/self/statm').read_text(encoding='ascii')
        idle_bytes = int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE')
    return intake.compute_memory_bytes(limit_bytes, idle_bytes)


def _trim_heap() -> None:
    """Return free memory to the system where the C library can do that.

    Without it, glibc keeps the pages below the last block in use.
    """
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)

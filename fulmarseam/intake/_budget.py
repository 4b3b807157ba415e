"""The budget of a process for what callers make it hold."""

import collections
import dataclasses
import enum

MIB = 1024 * 1024
# Objects of a connection: transport, parser, task and buffers.
CONNECTION_BYTES = 8 * 1024
# A connection that holds no more than this is read under pressure too: a
# head of 16 KiB and a small body. The share below is the reserve for these.
SMALL_BYTES = CONNECTION_BYTES + 16 * 1024
# Shares of the budget: above the first one, large requests wait unread until
# the second one is reached.
PRESSED_SHARE = 0.75
RELIEVED_SHARE = 0.5
# Large requests wait this long before connections are closed for them.
MAX_WAIT_S = 1.0
# Time without a byte after which a caller counts as stopped.
STOPPED_S = 1.0
# Share of the memory above that of the idle process which the budget may
# account for. The rest is for copies while a message is passed on and for
# the fragmentation of the heap.
ACCOUNTED_SHARE = 0.4
# A process with less than this could not serve ordinary requests.
MIN_MEMORY_BYTES = 4 * MIB


class Kind(enum.Enum):
    """What held bytes are for."""

    RECEIVED = 'received'
    FIELDS = 'fields'
    BODY = 'body'
    UNSENT = 'unsent'
    CONNECTION = 'connection'


class Phase(enum.Enum):
    """What a connection waits for.

    In COLLECTING no byte of the request has been sent to a target. In
    STREAMING the body is passed on as it arrives.
    """

    IDLE = 'idle'
    COLLECTING = 'collecting'
    STREAMING = 'streaming'
    RUNNING = 'running'
    SENDING = 'sending'


@dataclasses.dataclass(frozen=True)
class Rules:
    """Limits of a process for all its callers together.

    A body that moves by less than `min_progress` bytes per second during
    `progress_timeout_s` is given up, and an unread answer by less than
    `min_answer_progress`. Bodies have no minimum by default, as a caller may
    send them as slowly as the idle time-out allows.
    """

    memory_bytes: int = 96 * MIB
    max_connections: int = 10_000
    min_progress: float = 0.0
    min_answer_progress: float = 64.0
    progress_timeout_s: float = 30.0


def compute_memory_bytes(limit_bytes: int, idle_bytes: int) -> int:
    """Return the budget of a process with a limit of its memory.

    `idle_bytes` is the memory of the process before its first caller.
    """
    available = int((limit_bytes - idle_bytes) * ACCOUNTED_SHARE)
    return max(available, MIN_MEMORY_BYTES)


class Account:
    """What one connection holds and how it moves."""

    __slots__ = (
        '_current',
        '_measures_answer',
        '_previous',
        '_turned_at',
        '_window_bytes',
        '_window_started_at',
        'address',
        'has_served',
        'held',
        'is_given_up',
        'moved_at',
        'opened_at',
        'parts',
        'phase',
        'waiting_since',
    )

    def __init__(self, address: str, now: float) -> None:
        self.address = address
        self.opened_at = now
        self.moved_at = now
        self.phase = Phase.IDLE
        self.parts = dict.fromkeys(Kind, 0)
        self.held = 0
        # Since when the connection is not read because of the budget.
        self.waiting_since: float | None = None
        # Whether its request has been refused and is about to end.
        self.is_given_up = False
        # Whether a request of the connection has been answered.
        self.has_served = False
        self._current = 0
        self._previous = 0
        self._turned_at = now
        self._window_bytes = 0
        self._window_started_at = now
        # Whether the window is one of an unread answer.
        self._measures_answer = False

    @property
    def is_waiting(self) -> bool:
        """Return whether the connection is not read because of the budget."""
        return self.waiting_since is not None

    def has_stopped(self, now: float) -> bool:
        """Return whether the caller sent and read nothing while it could."""
        until = now if self.waiting_since is None else self.waiting_since
        return until - self.moved_at >= STOPPED_S

    def add_progress(self, now: float, count: int) -> None:
        """Record bytes that the caller has sent or read."""
        self._turn(now)
        self.moved_at = now
        self._current += count
        self._window_bytes += count

    def _turn(self, now: float) -> None:
        elapsed = now - self._turned_at
        if elapsed < STOPPED_S:
            return
        self._previous = self._current if elapsed < 2 * STOPPED_S else 0
        self._current = 0
        self._turned_at = now

    def compute_progress(self, now: float) -> int:
        """Return the bytes of the last one to two seconds."""
        self._turn(now)
        return self._previous + self._current

    def restart_window(self, now: float) -> None:
        """Begin to measure the minimum progress anew."""
        self._window_bytes = 0
        self._window_started_at = now

    def is_too_slow(self, now: float, rules: Rules) -> bool:
        """Return whether less than the minimum moved, at the window's end."""
        is_answer = self.phase is Phase.SENDING
        if is_answer != self._measures_answer:
            self._measures_answer = is_answer
            self.restart_window(now)
        elapsed = now - self._window_started_at
        if elapsed < rules.progress_timeout_s:
            return False
        minimum = (
            rules.min_answer_progress if is_answer else rules.min_progress
        )
        is_too_slow = self._window_bytes < minimum * elapsed
        self.restart_window(now)
        return is_too_slow


class Budget:
    """Decides who is read, who waits, and whose connection is closed."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.held = 0
        self.parts = dict.fromkeys(Kind, 0)
        # Since when large requests wait; None if they need not.
        self.pressed_since: float | None = None
        self.accounts: set[Account] = set()

    def open(self, address: str, now: float) -> Account:
        """Add the account of a new connection."""
        account = Account(address, now)
        self.accounts.add(account)
        self.set_held(account, Kind.CONNECTION, CONNECTION_BYTES, now)
        return account

    @property
    def is_pressed(self) -> bool:
        """Return whether large requests have to wait."""
        return self.pressed_since is not None

    def close(self, account: Account, now: float) -> None:
        """Remove the account of a closed connection."""
        if account in self.accounts:
            for kind in Kind:
                self.set_held(account, kind, 0, now)
            self.accounts.remove(account)

    def set_held(
        self, account: Account, kind: Kind, count: int, now: float
    ) -> None:
        """Set the bytes that a connection holds for a purpose."""
        if account not in self.accounts:
            return
        change = count - account.parts[kind]
        if not change:
            return
        account.parts[kind] = count
        account.held += change
        self.parts[kind] += change
        if kind is Kind.CONNECTION:
            # Bounded by the number of connections. Thousands of idle ones
            # must not make large requests wait.
            return
        self.held += change
        limit = self.rules.memory_bytes
        if self.held > limit * PRESSED_SHARE:
            if self.pressed_since is None:
                self.pressed_since = now
        elif self.held <= limit * RELIEVED_SHARE:
            self.pressed_since = None

    def may_read(self, account: Account) -> bool:
        """Return whether more of a connection may be read now."""
        return not self.is_pressed or account.held <= SMALL_BYTES

    def may_hold(self, account: Account, count: int) -> bool:
        """Return whether a connection may hold this many bytes more now."""
        return not self.is_pressed or account.held + count <= SMALL_BYTES

    @property
    def is_full(self) -> bool:
        """Return whether there are as many connections as allowed."""
        return len(self.accounts) >= self.rules.max_connections

    def may_close(self, account: Account, now: float) -> bool:
        """Return whether closing a connection cuts off no sound request."""
        if account.is_given_up:
            return False
        match account.phase:
            case Phase.IDLE | Phase.COLLECTING:
                return True
            case Phase.STREAMING:
                return account.has_stopped(now)
            case Phase.SENDING:
                return now - account.moved_at >= STOPPED_S
            case _:
                return False

    def choose_closed(self, now: float) -> list[Account]:
        """Return the connections to close so that the budget is kept.

        Those that have stopped come first, then those with the least
        progress for their bytes, and of these the ones of the address that
        holds most.
        """
        limit = self.rules.memory_bytes
        if self.held > limit:
            excess = self.held - limit * PRESSED_SHARE
        elif (
            self.pressed_since is not None
            and now - self.pressed_since >= MAX_WAIT_S
        ):
            excess = self.held - limit * RELIEVED_SHARE
        else:
            return []
        by_address: collections.Counter[str] = collections.Counter()
        for account in self.accounts:
            by_address[account.address] += account.held
        candidates = [
            account
            for account in self.accounts
            if account.held > SMALL_BYTES and self.may_close(account, now)
        ]
        if not candidates:
            candidates = [
                account
                for account in self.accounts
                if self.may_close(account, now)
            ]
        candidates.sort(
            key=lambda account: (
                not account.has_stopped(now),
                account.compute_progress(now) / account.held,
                -by_address[account.address],
                -account.held,
            )
        )
        chosen = []
        for account in candidates:
            if excess <= 0:
                break
            chosen.append(account)
            excess -= account.held - account.parts[Kind.CONNECTION]
        return chosen

    def list_evictable(self, now: float) -> list[Account]:
        """Return the connections that make room for new ones, in order.

        Kept connections whose requests were answered come last.
        """
        return sorted(
            (
                account
                for account in self.accounts
                if self.may_close(account, now)
            ),
            key=lambda account: (
                account.phase is Phase.IDLE and account.has_served,
                account.compute_progress(now),
                account.opened_at,
            ),
        )

    def list_too_slow(self, now: float) -> list[Account]:
        """Return the connections without the minimum progress."""
        too_slow = []
        for account in self.accounts:
            is_moving = account.phase in (
                Phase.COLLECTING,
                Phase.STREAMING,
                Phase.SENDING,
            )
            if not is_moving or account.is_waiting:
                account.restart_window(now)
            elif account.is_too_slow(now, self.rules):
                too_slow.append(account)
        return too_slow

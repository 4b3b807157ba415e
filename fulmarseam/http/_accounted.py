"""A caller's connection that reports what it holds."""

import asyncio
import contextlib
import fcntl
import sys
import termios

from fulmarseam import errors
from fulmarseam import intake
from fulmarseam.http import _connection
from fulmarseam.http import _intake
from fulmarseam.http import _limits
from fulmarseam.http import _turns

# Bytes of a body that handlers keep for retries at most: 256 KiB and the
# last piece. What follows is passed on.
MAX_KEPT_BYTES = 256 * 1024 + _limits.BUFFER_BYTES
# Overhead of a received piece that is kept: the object and its place.
PIECE_BYTES = 64
# Changes below this are not reported, which keeps requests without a large
# body cheap. The fixed part of each account covers them.
REPORT_STEP = 4 * 1024


class AccountedConnection(_connection.BufferedConnection):
    """Reports its bytes to an intake and waits unread when told.

    Without an intake nothing is limited.
    """

    caller_intake: _intake.Intake | None = None
    account: intake.Account | None = None
    # Whether the request is given up; reading its rest raises an error.
    is_given_up = False
    # Whether no byte of the request in progress was sent to a target.
    is_collecting = True
    # Whether the handler keeps the whole body in memory.
    keeps_whole_body = False
    _kept = 0
    _kept_pieces = 0
    _field_bytes = 0
    # Bytes of all kinds but the unsent ones, as last reported.
    _reported = 0
    # Bytes that the caller has moved since the last update of its account.
    _progress = 0
    _unsent = 0
    _events_granted = 0
    _is_queued = False

    def find_phase(self) -> intake.Phase:
        """Return what the connection waits for."""
        raise NotImplementedError

    def expire(self) -> None:
        """Mark the time-out as passed and wake the task."""
        raise NotImplementedError

    def attach(
        self, caller_intake: _intake.Intake, account: intake.Account
    ) -> None:
        """Report to an intake from now on."""
        self.caller_intake = caller_intake
        self.account = account
        self.apply_budget()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection and close its account."""
        super().connection_lost(exc)
        if self.caller_intake is not None and self.account is not None:
            self.caller_intake.release(self.account)

    # Received bytes

    def data_received(self, data: bytes) -> None:
        """Buffer a piece and report it."""
        self._progress += len(data)
        super().data_received(data)
        self._report()

    def take_piece(self) -> bytes | None:
        """Return the next received piece, which the handler may keep."""
        piece = super().take_piece()
        if piece is not None:
            if self.keeps_whole_body or self._kept <= MAX_KEPT_BYTES:
                self._kept_pieces += 1
            self._kept += len(piece)
            self._report()
        return piece

    def put_back(self, piece: bytes) -> None:
        """Put the unused rest of a piece at the front of the buffer."""
        super().put_back(piece)
        self._kept -= len(piece)
        self._report()

    def hold_fields(self, count: int) -> None:
        """Report the header fields of a head that is about to be parsed.

        Raises `errors.FulmarseamError` if there is no memory for them now.
        """
        size = _limits.compute_field_bytes(count)
        if not size or self.caller_intake is None or self.account is None:
            return
        if not self.caller_intake.budget.may_hold(self.account, size):
            self.caller_intake.note('memory')
            raise errors.FulmarseamError(
                errors.ErrorKind.NO_CAPACITY,
                f'{count} headers are too many to be held now',
            )
        self._set_field_bytes(size)

    def _set_field_bytes(self, size: int) -> None:
        if self.caller_intake is None or self.account is None:
            return
        self._field_bytes = size
        self.caller_intake.set_held(self.account, intake.Kind.FIELDS, size)
        if self.caller_intake.budget.is_pressed or self.account.is_waiting:
            self.apply_budget()

    def finish_request(self) -> None:
        """Report that the handler keeps nothing any more."""
        if self._field_bytes:
            self._set_field_bytes(0)
        self._kept = self._kept_pieces = 0
        self.keeps_whole_body = False
        if self.account is not None:
            self.account.has_served = True
        self._report()

    def _report(self) -> None:
        kept = self._kept
        if not self.keeps_whole_body and kept > MAX_KEPT_BYTES:
            kept = MAX_KEPT_BYTES
        kept += self._kept_pieces * PIECE_BYTES
        change = kept + self._buffered - self._reported
        if -REPORT_STEP < change < REPORT_STEP and (
            kept or self._buffered or not self._reported
        ):
            return
        if self.caller_intake is None or self.account is None:
            return
        self._reported = kept + self._buffered
        set_held = self.caller_intake.set_held
        set_held(self.account, intake.Kind.BODY, max(kept, 0))
        set_held(self.account, intake.Kind.RECEIVED, self._buffered)
        if self.caller_intake.budget.is_pressed or self.account.is_waiting:
            self.apply_budget()

    def pause_writing(self) -> None:
        """Record that the write buffer is full, and report it."""
        super().pause_writing()
        self.update_account()

    def _count_unsent(self) -> int:
        """Return the bytes that the peer has not confirmed.

        The queue of the kernel counts for the progress of a slow reader: it
        takes megabytes before the write buffer becomes smaller.
        """
        unsent: int = self.transport.get_write_buffer_size()
        if unsent:
            sock = self.transport.get_extra_info('socket')
            queued = bytearray(4)
            with contextlib.suppress(OSError, ValueError):
                fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
            unsent += int.from_bytes(queued, sys.byteorder)
        return unsent

    # Budget

    def update_account(self) -> None:
        """Bring the phase and the unsent bytes of the account up to date."""
        if self.caller_intake is None or self.account is None:
            return
        self.account.phase = self.find_phase()
        unsent = self._count_unsent()
        self._progress += max(0, self._unsent - unsent)
        self._unsent = unsent
        if self._progress:
            now = asyncio.get_running_loop().time()
            self.account.add_progress(now, self._progress)
            self._progress = 0
        self.caller_intake.set_held(
            self.account,
            intake.Kind.UNSENT,
            self.transport.get_write_buffer_size(),
        )

    def apply_budget(self) -> None:
        """Pause or resume reading as the budget demands."""
        if self.caller_intake is None or self.account is None:
            return
        budget = self.caller_intake.budget
        if budget.may_read(self.account):
            self.account.waiting_since = None
        elif self.account.waiting_since is None:
            self.account.waiting_since = asyncio.get_running_loop().time()
        self.set_read_size(
            min(_limits.PRESSED_READ_BYTES, self.read_limit)
            if budget.is_pressed
            else self.read_limit
        )
        self.hold_reading(self.account.is_waiting)

    def give_up(self) -> None:
        """Refuse the request that is not complete, or close."""
        assert self.account is not None
        phase = self.find_phase()
        if phase is intake.Phase.IDLE:
            self.expire()
        elif phase in (intake.Phase.COLLECTING, intake.Phase.STREAMING):
            self.account.is_given_up = self.is_given_up = True
            self._notify()
        else:
            self.abort()

    def check_given_up(self) -> None:
        """Raise an error if the request is given up."""
        if self.is_given_up:
            raise errors.FulmarseamError(
                errors.ErrorKind.NO_CAPACITY,
                'the request came too slowly or was too large to be held now',
            )

    # Turns

    def may_parse_event(self) -> bool:
        """Count an event to parse; return False if other work must run."""
        if self.caller_intake is None:
            return super().may_parse_event()
        if self._events_granted:
            self._events_granted -= 1
            return True
        if self._is_queued:
            return False
        if self.caller_intake.turns.take_event():
            return True
        self._is_queued = True
        self.caller_intake.turns.call_in_turn(self._receive_turn)
        return False

    def _receive_turn(self) -> bool:
        self._is_queued = False
        if self.ended or self.transport.is_closing():
            return False
        self._events_granted = _turns.EVENTS_PER_TURN
        self._notify()
        return True

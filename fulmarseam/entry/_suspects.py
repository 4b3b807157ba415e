"""Crash suspects: strikes reported by this entry and its peers."""

import asyncio

import logbook

from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire

# Strikes expire with the quarantine. Fingerprints of requests are only
# computed while there may be unexpired strikes.
STRIKE_LIFETIME_S = 600.0

_log = logbook.Logger('entry')


class Suspects:
    """The unexpired strikes, with a cheap test whether there are any."""

    def __init__(self) -> None:
        self.table = steering.SuspectTable()
        self._clock = asyncio.get_running_loop().time
        self._last_strike_at: float | None = None
        self._running: set[str] = set()

    def has_recent_strikes(self) -> bool:
        """Return whether any request may be a suspect or quarantined."""
        last_strike_at = self._last_strike_at
        return (
            last_strike_at is not None
            and self._clock() - last_strike_at < STRIKE_LIFETIME_S
        )

    def strike(
        self, fingerprint: str, target: ids.TargetId
    ) -> steering.SuspectState:
        """Record a strike and return the new state of the request."""
        self._last_strike_at = self._clock()
        state = self.table.strike(
            self._clock(), steering.Strike(fingerprint, target)
        )
        _log.warning(
            telemetry.format_event(
                'strike',
                fingerprint=fingerprint,
                target=target,
                state=state.value,
            )
        )
        return state

    def is_running(self, fingerprint: str) -> bool:
        """Return whether a request with this fingerprint already runs.

        Two copies of a suspect could break two more targets at once.
        """
        return fingerprint in self._running

    def start(self, fingerprint: str, target: ids.TargetId) -> None:
        """Record the start of a suspect on a target that runs no other."""
        self.table.try_start(self._clock(), fingerprint, target)
        self._running.add(fingerprint)

    def finish(self, fingerprint: str, target: ids.TargetId) -> None:
        """Record the end of a suspect that was recorded by `start`."""
        self.table.finish(fingerprint, target)
        self._running.discard(fingerprint)

    def apply_notice(self, notice: wire.StrikeNotice) -> None:
        """Apply a strike reported by a peer, or its clearing of strikes."""
        if notice.cleared:
            self.table.clear(notice.fingerprint)
        else:
            self.strike(notice.fingerprint, notice.target)

    def list_rows(self) -> list[wire.QuarantineRow]:
        """Return the suspected and quarantined requests, for operators."""
        return [
            wire.QuarantineRow(
                fingerprint=row.fingerprint,
                targets=row.targets,
                quarantined=row.state is steering.SuspectState.QUARANTINED,
                left_ms=int(row.left_s * 1_000),
            )
            for row in self.table.rows(self._clock())
        ]

"""Crash suspects: strikes of this entry and its peers."""

import asyncio

import logbook

from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire

# Strikes are void after the quarantine; fingerprints are only computed for
# each request while there may be any.
MEMORY_S = 600.0

_log = logbook.Logger('entry')


class Suspects:
    """The strikes in force, with a cheap test whether there are any."""

    def __init__(self) -> None:
        self.table = steering.SuspectTable()
        self._clock = asyncio.get_running_loop().time
        self._last_strike_at: float | None = None
        self._running: set[str] = set()

    def may_exist(self) -> bool:
        """Return whether any request may be a suspect."""
        last = self._last_strike_at
        return last is not None and self._clock() - last < MEMORY_S

    def strike(
        self, fingerprint: str, target: ids.TargetId
    ) -> steering.SuspectState:
        """Count a strike and return the new state of the request."""
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
        """Return whether this suspect runs on a target already.

        Two copies could break two more targets at once.
        """
        return fingerprint in self._running

    def start(self, fingerprint: str, target: ids.TargetId) -> None:
        """Start a suspect on a target that runs no other."""
        self.table.try_start(self._clock(), fingerprint, target)
        self._running.add(fingerprint)

    def finish(self, fingerprint: str, target: ids.TargetId) -> None:
        """End a suspect that `start` began."""
        self.table.finish(fingerprint, target)
        self._running.discard(fingerprint)

    def take_notice(self, notice: wire.StrikeNotice) -> None:
        """Take a strike of a peer, or the end of its strikes."""
        if notice.cleared:
            self.table.clear(notice.fingerprint)
        else:
            self.strike(notice.fingerprint, notice.target)

    def list_rows(self) -> list[wire.QuarantineRow]:
        """Return the fingerprints held back, for the operator."""
        return [
            wire.QuarantineRow(
                fingerprint=row.fingerprint,
                targets=row.targets,
                quarantined=row.state is steering.SuspectState.QUARANTINED,
                left_ms=int(row.left_s * 1_000),
            )
            for row in self.table.rows(self._clock())
        ]

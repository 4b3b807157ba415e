"""Which commands the leader of a catalog group puts into its log."""

from collections.abc import Iterator
import contextlib

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire


class LogAdmission:
    """Keeps commands out of the log that must have no effect.

    Members of earlier releases would apply them, and all members have to
    apply the same. Times are in seconds::

        problems = admission.find_problems(now, machine, command)
        if problems is None:
            with admission.track(command):
                await member.propose(data)
            admission.note_applied(now, command)

    `max_delay_s` bounds how late an announcement may arrive.
    """

    def __init__(self, heartbeat_s: float, max_delay_s: float) -> None:
        # Commands that are in the log but not yet applied.
        self._pending: list[catalog.Command] = []
        self._restarts = catalog.RestartConfirmations(heartbeat_s, max_delay_s)

    @contextlib.contextmanager
    def track(self, command: catalog.Command) -> Iterator[None]:
        """Count a command as pending."""
        self._pending.append(command)
        try:
            yield
        finally:
            self._pending.remove(command)

    def note_applied(self, now: float, command: catalog.Command) -> None:
        """Record that this member has applied a command."""
        if isinstance(command, catalog.LeaveTarget):
            self._restarts.note_leave(now, command.target)

    def list_announced(self) -> set[ids.TargetId]:
        """Return the targets with a pending announcement."""
        return {
            record.target
            for command in self._pending
            if isinstance(command, catalog.AnnounceTargets)
            for record in command.records
        }

    def find_problems(
        self, now: float, machine: catalog.Catalog, command: catalog.Command
    ) -> list[str] | None:
        """Return why a command stays out of the log, or None if it enters.

        The list is empty if the command has been carried out before. Raises
        `errors.FulmarseamError` with `UNAVAILABLE` if that depends on
        another command, which is pending.
        """
        match command:
            case catalog.PutItems():
                return self._find_orphans(machine, command)
            case catalog.LeaveTarget():
                return self._check_leave(machine, command)
            case catalog.AnnounceTargets(records=[record]):
                return self._check_announcement(now, machine, record)
        return None

    def _find_orphans(
        self, machine: catalog.Catalog, command: catalog.PutItems
    ) -> list[str] | None:
        if machine.has_accepted(command.digest):
            return []
        pending = [
            other
            for other in self._pending
            if isinstance(other, catalog.PutItems)
        ]
        return machine.find_orphans(command, pending) or None

    def _check_leave(
        self, machine: catalog.Catalog, command: catalog.LeaveTarget
    ) -> list[str] | None:
        """Keep out the leave of an incarnation that has ended.

        It would replace the mark of a later incarnation.
        """
        for other in self._pending:
            if (
                isinstance(other, catalog.LeaveTarget)
                and other.target == command.target
            ):
                raise errors.FulmarseamError(
                    errors.ErrorKind.UNAVAILABLE,
                    f'another leave of {command.target} is not applied yet',
                )
        # A member of the release before names no incarnation if it means the
        # one in force.
        is_named = command.born_ms > 0
        if is_named and machine.targets.has_ended(
            command.target, command.born_ms
        ):
            return []
        return None

    def _check_announcement(
        self, now: float, machine: catalog.Catalog, record: wire.TargetRecord
    ) -> list[str] | None:
        """Keep out what would displace a target or may be a late one.

        A drain is a promise once it is acknowledged, and is recorded.
        """
        targets = machine.targets
        if self._would_displace(machine, record):
            return [
                f'target {record.target}: found pool {record.pool} at '
                f'{record.address}, which another target has, expected a '
                'pool in force'
            ]
        if (
            record.phase is wire.TargetPhase.READY
            and machine.classify(record) is catalog.AnnouncementState.NEWER
            and targets.has_left(record.target)
            and not self._restarts.confirm(now, record)
        ):
            return [
                f'target {record.target}: found an announcement that may be '
                'older than its leave, expected a later one'
            ]
        return None

    def _would_displace(
        self, machine: catalog.Catalog, record: wire.TargetRecord
    ) -> bool:
        """Return whether a record without a pool displaces a usable target.

        An announcement in the log that is not applied yet may be of one.
        """
        if machine.items.has_pool(record.pool):
            return False
        is_contested = any(
            record.target == other.target or record.address == other.address
            for command in self._pending
            if isinstance(command, catalog.AnnounceTargets)
            for other in command.records
        )
        return is_contested or machine.find_displaced(record) is not None

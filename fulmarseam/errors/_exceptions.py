"""Exceptions that carry an error kind."""

from collections.abc import Sequence

from fulmarseam.errors._kinds import Answer
from fulmarseam.errors._kinds import ANSWERS
from fulmarseam.errors._kinds import ErrorKind


class FulmarseamError(Exception):
    """A failure with a kind and a detail for the reader.

    `retry_after_s` is when the caller should come back, if that is known
    better than by the kind. `arrivals` is set for a request that another entry
    relays: how often targets may have got it.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = '',
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail or kind.value)
        self.kind = kind
        self.detail = detail or kind.value
        self.retry_after_s = retry_after_s
        self.arrivals: int | None = None

    @property
    def answer(self) -> Answer:
        """Return the answer that belongs to the kind of this error."""
        return ANSWERS[self.kind]


class SettingsError(FulmarseamError):
    """One or more settings of a file are wrong.

    `problems` holds one line for each wrong setting.
    """

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__(ErrorKind.INVALID_SETTINGS, '\n'.join(problems))
        self.problems = list(problems)


class UsageError(FulmarseamError):
    """The command line is wrong."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.INVALID_USAGE, detail)


class DamagedDataError(FulmarseamError):
    """A file under the data folder is damaged other than at its tail."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.DAMAGED_DATA, detail)


class WireError(FulmarseamError):
    """A message between processes could not be decoded."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.MALFORMED_MESSAGE, detail)


class TransportError(FulmarseamError):
    """A call to another process got no answer.

    The other process may or may not have handled the call.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.UNAVAILABLE, detail)


class NotLeaderError(FulmarseamError):
    """The member is not the leader and did not append anything.

    `leader` is the id of the leader, when known.
    """

    def __init__(self, leader: str | None = None) -> None:
        super().__init__(
            ErrorKind.NOT_LEADER, f'the leader is {leader or "unknown"}'
        )
        self.leader = leader


class ProposalUncertainError(FulmarseamError):
    """A proposal was appended but may or may not be committed."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.PROPOSAL_UNCERTAIN, detail)

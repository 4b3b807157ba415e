"""The interface to the at-most-once records."""

import enum
from typing import NamedTuple
from typing import Protocol

from fulmarseam import errors
from fulmarseam import http

KEPT_BODY_BYTES = 16 * 1024


class Verdict(enum.Enum):
    """What the record holder says about a claim."""

    FRESH = 'fresh'
    IN_PROGRESS = 'in-progress'
    DONE = 'done'
    UNKNOWN = 'unknown'
    CONFLICT = 'conflict'


class StoredAnswer(NamedTuple):
    """A kept answer; `body` is None when it was too large to keep."""

    status: int
    headers: http.Headers
    body: bytes | None


class ClaimResult(NamedTuple):
    """The verdict on a claim, with the stored answer when DONE."""

    verdict: Verdict
    stored: StoredAnswer | None = None


class RecordKeeper(Protocol):
    """Claims the right to run a request once.

    `attempt` names one processing of the request by one entry. Only FRESH
    lets the request run; each FRESH claim is followed by one `finish` or
    one `release`.
    """

    async def claim(
        self, key: str, fingerprint: str, attempt: str, timeout_s: float
    ) -> ClaimResult:
        """Claim a request.

        Raises `errors.FulmarseamError` with `record_unavailable` when the
        holder does not answer, and with `request_id_required` for a key
        that no look-up answer gave out.
        """
        ...

    async def finish(
        self, key: str, attempt: str, answer: StoredAnswer | None
    ) -> None:
        """Store the answer, or with None that the outcome is unknown."""
        ...

    async def release(self, key: str, attempt: str) -> None:
        """Drop the claim of a request that did not run."""
        ...


class NoRecords:
    """Refuses all claims, for an entry without a record holder."""

    async def claim(
        self, key: str, fingerprint: str, attempt: str, timeout_s: float
    ) -> ClaimResult:
        """Refuse a claim."""
        raise errors.FulmarseamError(
            errors.ErrorKind.RECORD_UNAVAILABLE, 'no record holder'
        )

    async def finish(
        self, key: str, attempt: str, answer: StoredAnswer | None
    ) -> None:
        """Do nothing, as no claim was given."""

    async def release(self, key: str, attempt: str) -> None:
        """Do nothing, as no claim was given."""

"""What the proxy path needs of the at-most-once records."""

from typing import Protocol

from fulmarseam import wire


class RecordService(Protocol):
    """Claims the right to run a request once; see `records.RecordClient`.

    `attempt` names one processing of the request by one entry. Only FRESH
    lets the request run; each FRESH claim is followed by one `finish` or
    one `release`.
    """

    async def claim(
        self, key: str, fingerprint: str, attempt: str, timeout_s: float
    ) -> wire.RecordVerdict:
        """Claim a request.

        Raises `errors.FulmarseamError` with `record_unavailable` when the
        holder does not answer, and with `request_id_required` for a key
        that no look-up answer gave out.
        """
        ...

    async def finish(
        self, key: str, attempt: str, answer: wire.StoredAnswer | None
    ) -> None:
        """Store the answer, or with None that the outcome is unknown."""
        ...

    async def release(self, key: str, attempt: str) -> None:
        """Drop the claim of a request that did not run."""
        ...

"""Interface of the proxy to the at-most-once records."""

from typing import Protocol

from fulmarseam import wire


class RecordClient(Protocol):
    """Claims requests that run once; implemented by `records.RecordClient`.

    `attempt` identifies one processing of the request by one entry. Only
    the verdict FRESH allows the request to run; each FRESH claim is followed
    by one `finish` or one `release`.
    """

    async def claim(
        self, key: str, fingerprint: str, attempt: str, timeout_s: float
    ) -> wire.RecordVerdict:
        """Claim a request.

        Raises `errors.FulmarseamError` with `record_unavailable` when the
        record holder does not respond, and with `request_id_required` for a
        key that was not made from a lookup answer.
        """
        ...

    async def finish(
        self, key: str, attempt: str, answer: wire.StoredAnswer | None
    ) -> None:
        """Store the answer; None records that the outcome is unknown."""
        ...

    async def release(self, key: str, attempt: str) -> None:
        """Drop the claim of a request that did not run."""
        ...

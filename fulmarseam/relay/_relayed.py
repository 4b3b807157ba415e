"""The requests that other entries relay through this one."""

from fulmarseam import errors

# Bounds the relayed requests in flight by those of the entry's own callers, so
# that the callers of many other entries cannot overload it.
MIN_RELAYED = 64
MAX_RELAYED_RATIO = 3


class RelayedRequests:
    """Bounds the requests that other entries relay through this one."""

    def __init__(self) -> None:
        self._running = 0

    def start(self, active_requests: int) -> None:
        """Count a relayed request; `active_requests` includes it.

        Raises `errors.FulmarseamError` if there are too many.
        """
        own_requests = active_requests - self._running - 1
        if self._running >= MIN_RELAYED + MAX_RELAYED_RATIO * own_requests:
            raise errors.FulmarseamError(
                errors.ErrorKind.NO_CAPACITY,
                f'{self._running} relayed requests, {own_requests} others',
            )
        self._running += 1

    def finish(self) -> None:
        """Count the end of a relayed request."""
        self._running -= 1

    def count(self) -> int:
        """Return the number of relayed requests being served."""
        return self._running

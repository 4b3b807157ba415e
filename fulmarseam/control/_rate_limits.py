"""The leader's part in keeping the rate limits that targets name."""

from collections.abc import Sequence
import math

import logbook

from fulmarseam import catalog
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire

_log = logbook.Logger('control')


class RateLimits:
    """Collects limits from the polls of entries and issues permits.

    Only the leader uses it.
    """

    def __init__(
        self, machine: catalog.Catalog, entry_registry: catalog.EntryRegistry
    ) -> None:
        self._machine = machine
        self._entry_registry = entry_registry
        self._issuer = steering.PermitIssuer()

    @property
    def version(self) -> int:
        """Return the version of the limits; 0 before the first limit."""
        return self._issuer.version

    def list_limits(self) -> list[wire.TargetRateLimit]:
        """Return the limits of this version."""
        return self._issuer.list_limits()

    def update(
        self,
        now: float,
        term: int,
        reported: Sequence[wire.TargetRateLimit],
    ) -> None:
        """Apply what an entry reports in a term of this leader."""
        self._issuer.start_term(now, term)
        self._issuer.record(
            now, [limit for limit in reported if _is_valid(limit)]
        )
        self._issuer.update(now, self._find_incarnation)

    def _find_incarnation(self, target: ids.TargetId) -> int | None:
        record = self._machine.targets.get(target)
        return None if record is None else record.born_ms

    def issue(self, now: float, request: wire.PermitRequest) -> list[int]:
        """Return the number of permits issued for each ask of an entry."""
        if not request.asks:
            return []
        return self._issuer.issue(
            now,
            request.entry,
            request.asks,
            self._entry_registry.count_senders(now),
            self._entry_registry.count_offline(now),
        )


def _is_valid(limit: wire.TargetRateLimit) -> bool:
    """Return whether a reported limit can be used; log one that cannot."""
    rate_per_s = limit.rate_per_s
    if rate_per_s is None or 0.0 <= rate_per_s < math.inf:
        return True
    _log.warning(
        telemetry.format_event(
            'rate_limit_invalid', target=limit.target, found=rate_per_s
        )
    )
    return False

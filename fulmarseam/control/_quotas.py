"""The leader's part in keeping the quotas of organisations."""

from collections.abc import Sequence

from fulmarseam import catalog
from fulmarseam import steering
from fulmarseam import wire


class Quotas:
    """Issues permits for the organisations of a catalog.

    Only the leader uses it.
    """

    def __init__(
        self,
        machine: catalog.Catalog,
        entry_registry: catalog.EntryRegistry,
        bounds: steering.QuotaBounds,
    ) -> None:
        self._machine = machine
        self._entry_registry = entry_registry
        self._issuer = steering.QuotaIssuer(bounds)
        self._rows: list[wire.OrganisationItem] = []
        self._revision = -1

    def record(
        self, now: float, term: int, reports: Sequence[wire.QuotaAsk]
    ) -> None:
        """Apply the catalog, and what an entry reports in a term."""
        self._update(now, term)
        if reports:
            self._issuer.record(now, reports, *self._count_entries(now))

    def issue(
        self, now: float, term: int, asks: Sequence[wire.QuotaAsk]
    ) -> tuple[list[int], list[int]]:
        """Return the number of permits issued for each ask of an entry.

        The second list tells when more are expected, in milliseconds.
        """
        if not asks:
            return [], []
        self._update(now, term)
        counts = self._issuer.issue(now, asks, *self._count_entries(now))
        return counts, self._issuer.list_waits_ms(asks, counts)

    def _count_entries(self, now: float) -> tuple[int, int]:
        """Return the number of all entries, and of those without a leader."""
        registry = self._entry_registry
        return registry.count_senders(now), registry.count_offline(now)

    def _update(self, now: float, term: int) -> None:
        if self._machine.revision != self._revision:
            self._revision = self._machine.revision
            self._rows = [
                item.row
                for item in self._machine.items.list_live()
                if isinstance(item.row, wire.OrganisationItem)
                and item.row.rate_per_s > 0.0
            ]
        self._issuer.update(now, term, self._rows)

"""An entry's copy of the catalog."""

from fulmarseam import ids
from fulmarseam import wire


class Mirror:
    """The items, targets and evacuations that an entry holds.

    `revision` only grows, so what is in force never becomes older while
    the process lives. `is_complete` is set once everything was taken over
    that was agreed on when the first news were listed.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.removals_revision = -1
        self.is_complete = False
        self.routes: dict[str, wire.RouteItem] = {}
        self.pools: dict[str, wire.PoolItem] = {}
        self.limits: wire.LimitsItem | None = None
        self.targets: dict[ids.TargetId, wire.TargetRecord] = {}
        self.evacuated: frozenset[ids.DomainName] = frozenset()
        # Targets that full news have not listed again so far.
        self._unconfirmed: set[ids.TargetId] = set()

    def apply(self, asked_revision: int, news: wire.CatalogNews) -> bool:
        """Take over news that answer a poll; return whether any were new.

        News count only if nothing else was applied since the poll was
        sent, and if the member that lists them is not behind.
        """
        if asked_revision != self.revision or news.newest <= self.revision:
            return False
        if news.full:
            # Nothing is dropped before the list is complete, as requests
            # for what it has still to name are served meanwhile.
            self._unconfirmed = set(self.targets)
        for item in news.items:
            self._put(item)
        for record in news.targets:
            self.targets[record.target] = record
            self._unconfirmed.discard(record.target)
        for target in news.removed_targets:
            self.targets.pop(target, None)
        self.evacuated = frozenset(news.evacuated)
        self.removals_revision = news.newest
        self.revision = news.revision
        if news.revision == news.newest:
            self._finish()
        return True

    def _finish(self) -> None:
        for target in self._unconfirmed:
            self.targets.pop(target, None)
        self._unconfirmed.clear()
        self.is_complete = True

    def _put(self, item: wire.Item) -> None:
        match item.kind:
            case wire.ItemKind.ROUTE:
                self.routes.pop(item.name, None)
            case wire.ItemKind.POOL:
                self.pools.pop(item.name, None)
        match item.row:
            case wire.RouteItem():
                self.routes[item.name] = item.row
            case wire.PoolItem():
                self.pools[item.name] = item.row
            case wire.LimitsItem():
                self.limits = item.row

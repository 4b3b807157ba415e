"""An entry's copy of the catalog."""

from fulmarseam import ids
from fulmarseam import wire


class Mirror:
    """The items, targets and evacuations that an entry holds.

    `revision` only grows, so what is in force never becomes older while
    the process lives.
    """

    def __init__(self) -> None:
        self.group = ''
        self.revision = 0
        self.routes: dict[str, wire.RouteItem] = {}
        self.pools: dict[str, wire.PoolItem] = {}
        self.limits: wire.LimitsItem | None = None
        self.targets: dict[ids.TargetId, wire.TargetRecord] = {}
        self.evacuated: frozenset[ids.DomainName] = frozenset()

    def apply(self, asked_revision: int, news: wire.EntryNews) -> bool:
        """Take over news that answer a poll; return whether any were new.

        Differences count only if nothing else was applied since the poll
        was sent.
        """
        if news.revision <= self.revision:
            return False
        if not news.full and asked_revision != self.revision:
            return False
        if news.full:
            self._clear()
        self.group = news.group
        self.revision = news.revision
        for item in news.items:
            self._put(item)
        for record in news.targets:
            self.targets[record.target] = record
        for target in news.removed_targets:
            self.targets.pop(target, None)
        if news.evacuated is not None:
            self.evacuated = frozenset(news.evacuated)
        return True

    def _clear(self) -> None:
        self.routes.clear()
        self.pools.clear()
        self.limits = None
        self.targets.clear()

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

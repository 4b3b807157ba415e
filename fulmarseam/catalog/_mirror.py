"""An entry's copy of the catalog."""

from fulmarseam import ids
from fulmarseam import wire


class CatalogMirror:
    """The items, targets and evacuations that an entry holds.

    `revision` only grows, so what is in force never becomes older while
    the process lives. `is_complete` is set once everything was taken over
    that was agreed on when the first changes were listed, and that holds a
    configuration: targets announce themselves before the operator's first
    call, when it is not known yet which routes there are.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.removals_revision = -1
        self.is_complete = False
        self._has_items = False
        self.routes: dict[str, wire.RouteItem] = {}
        self.pools: dict[str, wire.PoolItem] = {}
        self.limits: wire.LimitsItem | None = None
        self.targets: dict[ids.TargetId, wire.TargetRecord] = {}
        self.evacuated: frozenset[ids.DomainName] = frozenset()
        # Targets that full changes have not listed again so far.
        self._unconfirmed: set[ids.TargetId] = set()

    def apply(self, asked_revision: int, changes: wire.CatalogChanges) -> bool:
        """Take over changes that answer a poll; return whether any were new.

        News count only if nothing else was applied since the poll was
        sent, and if the member that lists them is not behind.
        """
        if asked_revision != self.revision or changes.newest <= self.revision:
            return False
        if changes.full:
            # Nothing is dropped before the list is complete, as requests
            # for what it has still to name are served meanwhile.
            self._unconfirmed = set(self.targets)
        for item in changes.items:
            self._put(item)
            self._has_items = True
        for record in changes.targets:
            self.targets[record.target] = record
            self._unconfirmed.discard(record.target)
        for target in changes.removed_targets:
            self.targets.pop(target, None)
        self.evacuated = frozenset(changes.evacuated)
        self.removals_revision = changes.newest
        self.revision = changes.revision
        if changes.revision == changes.newest:
            self._finish()
        return True

    def _finish(self) -> None:
        for target in self._unconfirmed:
            self.targets.pop(target, None)
        self._unconfirmed.clear()
        self.is_complete = self.is_complete or self._has_items

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

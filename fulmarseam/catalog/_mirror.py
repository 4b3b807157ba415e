"""An entry's local copy of the catalog."""

from fulmarseam import ids
from fulmarseam import wire


class CatalogMirror:
    """The items, targets and evacuations that an entry has fetched.

    `revision` never decreases, so an older configuration never comes back
    into force while the process runs. `is_complete` is set once the mirror
    has caught up with a member that proved to be current, and has received at
    least one item. Another member may have missed leaves and evacuations.
    Targets alone are not enough: they announce themselves before the
    operator's first call, when no routes are known yet.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.removals_revision = -1
        self.is_complete = False
        self._has_items = False
        self._has_caught_up = False
        self.routes: dict[str, wire.RouteItem] = {}
        self.pools: dict[str, wire.PoolItem] = {}
        self.limits: wire.LimitsItem | None = None
        self.organisations: dict[str, wire.OrganisationItem] = {}
        self.targets: dict[ids.TargetId, wire.TargetRecord] = {}
        self.evacuated: frozenset[ids.DomainName] = frozenset()
        # Targets that the full changes in progress have not listed yet.
        self._unlisted: set[ids.TargetId] = set()

    def apply(self, asked_revision: int, changes: wire.CatalogChanges) -> bool:
        """Apply the changes from a poll answer; return whether any were new.

        `asked_revision` is the revision that the poll was sent with. The
        changes are ignored if others were applied since then, or if the
        member that sent them is behind this mirror.
        """
        if asked_revision != self.revision or changes.newest <= self.revision:
            return False
        if changes.full:
            # Targets are removed only once the full list has arrived, so
            # that those not listed yet keep serving requests meanwhile.
            self._unlisted = set(self.targets)
        for item in changes.items:
            self._apply_item(item)
            self._has_items = True
        for record in changes.targets:
            self.targets[record.target] = record
            self._unlisted.discard(record.target)
        for target in changes.removed_targets:
            self.targets.pop(target, None)
        self.evacuated = frozenset(changes.evacuated)
        self.removals_revision = changes.newest
        self.revision = changes.revision
        if changes.revision == changes.newest:
            self._complete()
        return True

    def confirm(self, revision: int) -> bool:
        """Note that the group had this revision when a member was asked.

        Returns whether the mirror has become complete.
        """
        if self.is_complete or not self._has_caught_up:
            return False
        self.is_complete = self.revision >= revision
        return self.is_complete

    def list_incarnations(self) -> dict[ids.TargetId, int]:
        """Return when each target started, in ms since the epoch."""
        return {
            target: record.born_ms for target, record in self.targets.items()
        }

    def _complete(self) -> None:
        for target in self._unlisted:
            self.targets.pop(target, None)
        self._unlisted.clear()
        self._has_caught_up = self._has_items

    def _apply_item(self, item: wire.Item) -> None:
        match item.kind:
            case wire.ItemKind.ROUTE:
                self.routes.pop(item.name, None)
            case wire.ItemKind.POOL:
                self.pools.pop(item.name, None)
            case wire.ItemKind.ORGANISATION:
                self.organisations.pop(item.name, None)
        match item.row:
            case wire.RouteItem():
                self.routes[item.name] = item.row
            case wire.PoolItem():
                self.pools[item.name] = item.row
            case wire.LimitsItem():
                self.limits = item.row
            case wire.OrganisationItem():
                self.organisations[item.name] = item.row

"""The configuration items of a catalog and the rules for new versions."""

from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from fulmarseam import ids
from fulmarseam import wire

ItemKey = tuple[wire.ItemKind, str]

# A target latency this far above the timeout is rejected as a mistake.
MAX_LATENCY_ABOVE_TIMEOUT_MS = 60_000.0


class ItemTable:
    """The newest version of each item, including dropped ones.

    A dropped item keeps its version, so that an older version that arrives
    late does not restore it.
    """

    def __init__(self, items: Iterable[wire.Item] = ()) -> None:
        self._items: dict[ItemKey, wire.Item] = {
            (item.kind, item.name): item for item in items
        }

    def all(self) -> list[wire.Item]:
        """Return all items, including dropped ones."""
        return list(self._items.values())

    def list_live(self) -> list[wire.Item]:
        """Return the items that are not dropped."""
        return [item for item in self._items.values() if item.row is not None]

    def has_pool(self, name: ids.PoolName) -> bool:
        """Return whether a pool is in force."""
        item = self._items.get((wire.ItemKind.POOL, name))
        return item is not None and item.row is not None

    def find_problems(self, items: Sequence[wire.Item]) -> list[str]:
        """Return one line for each problem of a call; none if it is valid.

        Items are checked even if a newer version is already in force.
        """
        pools = {
            name
            for (kind, name), item in self._items.items()
            if kind is wire.ItemKind.POOL and item.row is not None
        }
        pools.update(
            item.name
            for item in items
            if item.kind is wire.ItemKind.POOL and item.row is not None
        )
        problems = []
        for item in items:
            if isinstance(item.row, wire.RouteItem):
                problems.extend(_check_route(item.row, pools))
            elif isinstance(item.row, wire.OrganisationItem):
                problems.extend(_check_organisation(item.row))
        problems.extend(_find_duplicate_matches(items))
        problems.extend(_find_shared_keys(items))
        return problems

    def find_orphans(
        self, items: Sequence[wire.Item], pending: Sequence[wire.Item] = ()
    ) -> list[str]:
        """Return one line for each pool removed by a call but still named.

        Items that are not newer than those in force count for nothing.
        `pending` are items of calls that come before this one in the log
        but have not been applied. Those may still be refused, so a removal
        has to be valid with and without them.
        """
        if not any(
            item.kind is wire.ItemKind.POOL and item.row is None
            for item in items
        ):
            return []
        problems = _find_orphans([*self._items.values()], items)
        if pending and not problems:
            problems = _find_orphans([*self._items.values(), *pending], items)
        return problems

    def put(self, items: Sequence[wire.Item]) -> list[ItemKey]:
        """Store the items with newer versions; return the changed keys.

        A key of an organisation that a newer item lists is taken away from
        the organisation that had it, whose text stays as it is.
        """
        changed = []
        for item in items:
            key = (item.kind, item.name)
            current = self._items.get(key)
            if current is None or item.version > current.version:
                self._items[key] = item
                if isinstance(item.row, wire.OrganisationItem):
                    changed.extend(self._take_over_keys(item.row))
                changed.append(key)
        return changed

    def _take_over_keys(self, owner: wire.OrganisationItem) -> list[ItemKey]:
        """Remove the keys of an organisation from all others."""
        taken = set(owner.key_digests)
        changed = []
        for key, item in self._items.items():
            row = item.row
            if (
                not isinstance(row, wire.OrganisationItem)
                or row.name == owner.name
                or taken.isdisjoint(row.key_digests)
            ):
                continue
            kept = [
                digest for digest in row.key_digests if digest not in taken
            ]
            self._items[key] = msgspec.structs.replace(
                item, row=msgspec.structs.replace(row, key_digests=kept)
            )
            changed.append(key)
        return changed

    def get(self, key: ItemKey) -> wire.Item:
        """Return the newest version of an item."""
        return self._items[key]


def _find_orphans(
    before: Sequence[wire.Item], items: Sequence[wire.Item]
) -> list[str]:
    after = ItemTable()
    after.put(before)
    changed = set(after.put(items))
    removed = {
        name
        for kind, name in changed
        if kind is wire.ItemKind.POOL and after.get((kind, name)).row is None
    }
    problems: list[str] = []
    for item in after.list_live():
        if not isinstance(item.row, wire.RouteItem):
            continue
        pools = {part.pool for part in item.row.split}
        problems.extend(
            f'pool {name}: found a removal, expected one after route '
            f'{item.name} names another pool or is removed'
            for name in sorted(pools & removed)
        )
    return problems


def _check_route(route: wire.RouteItem, pools: set[str]) -> list[str]:
    problems = []
    for part in route.split:
        if part.pool not in pools:
            problems.append(
                f'route {route.name}: pool: found {part.pool}, expected a '
                'pool of the catalog'
            )
    if not route.split or sum(part.weight for part in route.split) <= 0.0:
        problems.append(
            f'route {route.name}: split: found no weight, expected a pool '
            'or parts with weights above 0'
        )
    if any(part.weight < 0.0 for part in route.split):
        problems.append(
            f'route {route.name}: weight: found a negative weight, expected '
            '0 or more'
        )
    if route.max_attempts < 1:
        problems.append(
            f'route {route.name}: max_attempts: found '
            f'{route.max_attempts}, expected 1 or more'
        )
    if route.timeout_ms <= 0.0:
        problems.append(
            f'route {route.name}: timeout_ms: found {route.timeout_ms:g}, '
            'expected more than 0'
        )
    limit_ms = route.timeout_ms + MAX_LATENCY_ABOVE_TIMEOUT_MS
    if route.target_latency_ms >= limit_ms:
        problems.append(
            f'route {route.name}: target_latency_ms: found '
            f'{route.target_latency_ms:g}, expected less than '
            f'{limit_ms:g}'
        )
    return problems


def _check_organisation(organisation: wire.OrganisationItem) -> list[str]:
    name = organisation.name
    problems = []
    # The name is the value of a header.
    if not name.isprintable() or name != name.strip() or not name:
        problems.append(
            f'organisation: name: found {name!r}, expected printable '
            'characters without spaces around them'
        )
    if organisation.rate_per_s < 0.0:
        problems.append(
            f'organisation {name}: rate_per_s: found '
            f'{organisation.rate_per_s:g}, expected 0 or more'
        )
    if organisation.burst < 0.0:
        problems.append(
            f'organisation {name}: burst: found {organisation.burst:g}, '
            'expected 0 or more'
        )
    return problems


def _find_shared_keys(items: Sequence[wire.Item]) -> list[str]:
    """Report organisations of one call that have the same key."""
    problems = []
    owners: dict[bytes, str] = {}
    for item in items:
        row = item.row
        if not isinstance(row, wire.OrganisationItem):
            continue
        for digest in row.key_digests:
            owner = owners.setdefault(digest, row.name)
            if owner != row.name:
                problems.append(
                    f'organisation {row.name}: keys: found a key of '
                    f'organisation {owner}, expected keys of its own'
                )
    return problems


def _find_duplicate_matches(items: Sequence[wire.Item]) -> list[str]:
    """Report routes of one call that match the same requests."""
    problems = []
    route_names: dict[tuple[str, str], str] = {}
    for item in items:
        route = item.row
        if not isinstance(route, wire.RouteItem):
            continue
        match_key = (route.host.lower(), route.path_prefix)
        other = route_names.setdefault(match_key, route.name)
        if other != route.name:
            problems.append(
                f'route {route.name}: found {route.host}'
                f'{route.path_prefix}, expected a host and path prefix '
                f'that route {other} does not have'
            )
    return problems

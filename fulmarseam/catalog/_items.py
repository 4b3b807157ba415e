"""The configuration items of a catalog and the rules for new versions."""

from collections.abc import Iterable
from collections.abc import Sequence

from fulmarseam import wire

ItemKey = tuple[wire.ItemKind, str]

# A target latency this far above the timeout cannot be meant, in ms.
LATENCY_OVER_TIMEOUT_MS = 60_000.0


class ItemTable:
    """The newest version of each item, dropped ones included.

    A dropped item keeps its version, because an older version that arrives
    late must not bring it back.
    """

    def __init__(self, items: Iterable[wire.Item] = ()) -> None:
        self._items: dict[ItemKey, wire.Item] = {
            (item.kind, item.name): item for item in items
        }

    def all(self) -> list[wire.Item]:
        """Return all items, dropped ones included."""
        return list(self._items.values())

    def list_live(self) -> list[wire.Item]:
        """Return the items that are not dropped."""
        return [item for item in self._items.values() if item.row is not None]

    def find_problems(self, items: Sequence[wire.Item]) -> list[str]:
        """Return why a call is invalid, one line for each problem.

        A problem counts whether or not the version would take effect.
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
        problems.extend(_find_shared_places(items))
        return problems

    def put(self, items: Sequence[wire.Item]) -> list[ItemKey]:
        """Take over the versions above those held; return their keys."""
        changed = []
        for item in items:
            key = (item.kind, item.name)
            held = self._items.get(key)
            if held is None or item.version > held.version:
                self._items[key] = item
                changed.append(key)
        return changed

    def get(self, key: ItemKey) -> wire.Item:
        """Return the newest version of an item."""
        return self._items[key]


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
    highest_ms = route.timeout_ms + LATENCY_OVER_TIMEOUT_MS
    if route.target_latency_ms >= highest_ms:
        problems.append(
            f'route {route.name}: target_latency_ms: found '
            f'{route.target_latency_ms:g}, expected less than '
            f'{highest_ms:g}'
        )
    return problems


def _find_shared_places(items: Sequence[wire.Item]) -> list[str]:
    """Report routes of one call that match the same requests."""
    problems = []
    places: dict[tuple[str, str], str] = {}
    for item in items:
        route = item.row
        if not isinstance(route, wire.RouteItem):
            continue
        place = (route.host.lower(), route.path_prefix)
        other = places.setdefault(place, route.name)
        if other != route.name:
            problems.append(
                f'route {route.name}: found {route.host}'
                f'{route.path_prefix}, expected a place that route {other} '
                'does not have'
            )
    return problems

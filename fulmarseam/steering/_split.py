"""Weighted choice among the pools of a route."""

from fulmarseam import ids
from fulmarseam import wire


class Splitter:
    """Spreads the requests of routes over their pools by weight.

    It uses smooth weighted round-robin: each entry deviates from the weights
    by at most one request, so all entries together keep to them as well.
    """

    def __init__(self) -> None:
        self._credits_by_route: dict[
            tuple[str, int], dict[ids.PoolName, float]
        ] = {}

    def choose_pool(self, route: wire.RouteItem) -> ids.PoolName:
        """Return the pool for the next request of the route."""
        if len(route.split) == 1:
            return route.split[0].pool
        credits = self._credits_by_route.setdefault(
            (route.name, route.version), {}
        )
        total = sum(part.weight for part in route.split)
        for part in route.split:
            credits[part.pool] = credits.get(part.pool, 0.0) + part.weight
        pool = max(credits, key=lambda name: credits[name])
        credits[pool] -= total
        return pool

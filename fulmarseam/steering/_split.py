"""Choice of a pool by the weights of a route."""

from fulmarseam import ids
from fulmarseam import wire


class Splitter:
    """Spreads the requests of routes over their pools by weight.

    Each entry keeps to the weights by itself within one request, so the
    sum over all entries does too (smooth weighted round-robin).
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[str, int], dict[ids.PoolName, float]] = {}

    def choose_pool(self, route: wire.RouteItem) -> ids.PoolName:
        """Return the pool of the route's next request."""
        if len(route.split) == 1:
            return route.split[0].pool
        credits = self._credits.setdefault((route.name, route.version), {})
        total = sum(part.weight for part in route.split)
        for part in route.split:
            credits[part.pool] = credits.get(part.pool, 0.0) + part.weight
        pool = max(credits, key=lambda name: credits[name])
        credits[pool] -= total
        return pool

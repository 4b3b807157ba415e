"""The table of the routes in force."""

from collections.abc import Iterable

from fulmarseam import errors
from fulmarseam import wire


class RouteTable:
    """Routes by host and path prefix.

    A search takes time with the length of the longest prefix of the host,
    however long the path of the request is.
    """

    def __init__(self) -> None:
        self._routes_by_host: dict[str, dict[str, wire.RouteItem]] = {}
        self._longest_prefixes: dict[str, int] = {}

    def update(self, routes: Iterable[wire.RouteItem]) -> None:
        """Replace all routes.

        If two routes match the same requests, the one with the higher
        version is used, or with the later name if the versions are equal.
        """
        routes_by_host: dict[str, dict[str, wire.RouteItem]] = {}
        for route in sorted(
            routes, key=lambda item: (item.version, item.name)
        ):
            routes_by_prefix = routes_by_host.setdefault(
                route.host.lower(), {}
            )
            routes_by_prefix[route.path_prefix] = route
        self._routes_by_host = routes_by_host
        self._longest_prefixes = {
            host: max(map(len, routes_by_prefix))
            for host, routes_by_prefix in routes_by_host.items()
        }

    def match(self, host: str, path: str) -> wire.RouteItem:
        """Return the route with the longest path prefix that matches.

        Raises `errors.FulmarseamError` with `NO_ROUTE`.
        """
        name = host.partition(':')[0].lower()
        plain_path = path.partition('?')[0]
        routes_by_prefix = self._routes_by_host.get(name)
        if routes_by_prefix is not None:
            end = min(len(plain_path), self._longest_prefixes[name])
            while (end := plain_path.rfind('/', 0, end)) >= 0:
                route = routes_by_prefix.get(plain_path[: end + 1])
                if route is not None:
                    return route
        raise errors.FulmarseamError(
            errors.ErrorKind.NO_ROUTE, f'no route for {host} {path}'
        )

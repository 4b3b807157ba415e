"""The routes in force, found by host and path."""

from collections.abc import Iterable

from fulmarseam import errors
from fulmarseam import wire


class RouteBook:
    """Routes by host and path prefix."""

    def __init__(self) -> None:
        self._hosts: dict[str, dict[str, wire.RouteItem]] = {}

    def update(self, routes: Iterable[wire.RouteItem]) -> None:
        """Replace all routes.

        Of two routes for the same requests the one with the higher version
        counts, by name when they are equal.
        """
        hosts: dict[str, dict[str, wire.RouteItem]] = {}
        for route in sorted(
            routes, key=lambda item: (item.version, item.name)
        ):
            prefixes = hosts.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
        self._hosts = hosts

    def match(self, host: str, path: str) -> wire.RouteItem:
        """Return the route with the longest prefix that begins the path.

        Raises `errors.FulmarseamError` with `NO_ROUTE`.
        """
        name = host.partition(':')[0].lower()
        plain_path = path.partition('?')[0]
        prefixes = self._hosts.get(name)
        if prefixes is not None:
            end = len(plain_path)
            while (end := plain_path.rfind('/', 0, end)) >= 0:
                route = prefixes.get(plain_path[: end + 1])
                if route is not None:
                    return route
        raise errors.FulmarseamError(
            errors.ErrorKind.NO_ROUTE, f'no route for {host} {path}'
        )

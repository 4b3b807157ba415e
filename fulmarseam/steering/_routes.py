"""Matching of requests to routes by host, path and method."""

from collections.abc import Iterable
import dataclasses
from typing import NamedTuple

from fulmarseam import errors
from fulmarseam import wire

ANY_HOST = '*'


@dataclasses.dataclass(frozen=True, slots=True)
class RouteIndex:
    """Routes by host and path prefix, made by `compile_routes`.

    `longest` is the length of the longest prefix of each host, which bounds
    the time of a search.
    """

    hosts: dict[str, dict[str, tuple[wire.Route, ...]]]
    longest: dict[str, int]


class RouteMatch(NamedTuple):
    """The route of a request, or the reason for its refusal.

    `methods` lists the allowed methods if only the method of the request
    does not match.
    """

    route: wire.Route | None
    kind: errors.ErrorKind | None = None
    methods: tuple[str, ...] = ()


def compile_routes(routes: Iterable[wire.Route]) -> RouteIndex:
    """Return the index of the routes in force."""
    hosts: dict[str, dict[str, list[wire.Route]]] = {}
    for route in routes:
        prefixes = hosts.setdefault(route.host.lower(), {})
        prefixes.setdefault(_normalize(route.path_prefix), []).append(route)
    return RouteIndex(
        {
            host: {prefix: tuple(rows) for prefix, rows in prefixes.items()}
            for host, prefixes in hosts.items()
        },
        {host: max(map(len, prefixes)) for host, prefixes in hosts.items()},
    )


def match_route(
    index: RouteIndex, host: str, path: str, method: str
) -> RouteMatch:
    """Return the route with the longest path prefix that allows the method.

    A prefix matches whole path segments: `/a` matches `/a` and `/a/b` but
    not `/ab`. Routes of the exact host precede those of host `*`. The host
    is compared case-insensitively and without its port, the path without
    its query string. Retired routes match like any other.
    """
    name = _strip_port(host).lower()
    path_without_query = path.partition('?')[0]
    allowed: list[str] = []
    for found in (name, ANY_HOST):
        prefixes = index.hosts.get(found)
        if prefixes is None:
            continue
        shortened = _shorten(path_without_query, index.longest[found])
        route = _match_path(prefixes, shortened, method, allowed)
        if route is not None:
            return RouteMatch(route)
    if allowed:
        return RouteMatch(
            None,
            errors.ErrorKind.METHOD_NOT_ALLOWED,
            tuple(sorted(set(allowed))),
        )
    return RouteMatch(None, errors.ErrorKind.NO_ROUTE)


def _match_path(
    prefixes: dict[str, tuple[wire.Route, ...]],
    path: str,
    method: str,
    allowed: list[str],
) -> wire.Route | None:
    prefix = _normalize(path)
    while True:
        for route in prefixes.get(prefix, ()):
            if not route.methods or method in route.methods:
                return route
            allowed.extend(route.methods)
        if not prefix:
            return None
        prefix = prefix[: prefix.rfind('/')] if '/' in prefix else ''


def _shorten(path: str, max_length: int) -> str:
    """Return the segments of a path that a prefix of that length can match."""
    if len(path) <= max_length:
        return path
    return path[: path.rfind('/', 0, max_length + 1) + 1]


def _normalize(path: str) -> str:
    """Return the path without trailing slashes; the root path is empty."""
    return path.rstrip('/')


def _strip_port(host: str) -> str:
    if host.startswith('['):
        return host.partition(']')[0] + ']'
    return host.partition(':')[0]

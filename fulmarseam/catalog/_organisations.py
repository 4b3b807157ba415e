"""The organisations of callers, as an entry knows them."""

from collections.abc import Iterable
from collections.abc import Sequence
import re

import msgspec

from fulmarseam import ids
from fulmarseam import wire

# A longer key is refused without a look at the table.
MAX_KEY_BYTES = 4_096

_CREDENTIALS = re.compile(
    rb'bearer +([\x21-\x7e]{1,%d}) *' % MAX_KEY_BYTES, re.IGNORECASE
)


class OrganisationTable:
    """Organisations by the digests of their keys."""

    def __init__(self) -> None:
        self._owners: dict[bytes, wire.OrganisationItem] = {}
        self._organisations: dict[str, wire.OrganisationItem] = {}
        # Routes with what organisations change about them, and the routes
        # that they were made from. None stands for no allowed region.
        self._restricted: dict[
            tuple[ids.RouteName, ids.OrganisationName],
            tuple[wire.RouteItem, wire.RouteItem | None],
        ] = {}

    def __len__(self) -> int:
        """Return the number of organisations; without any, none is checked."""
        return len(self._organisations)

    def update(self, organisations: Iterable[wire.OrganisationItem]) -> None:
        """Replace all organisations, and forget what came from routes."""
        self._organisations = {row.name: row for row in organisations}
        self._owners = {
            digest: row
            for row in self._organisations.values()
            for digest in row.key_digests
        }
        self._restricted.clear()

    def get(self, name: ids.OrganisationName) -> wire.OrganisationItem | None:
        """Return the organisation of a name, if it exists."""
        return self._organisations.get(name)

    def list(self) -> list[wire.OrganisationItem]:
        """Return all organisations."""
        return list(self._organisations.values())

    def identify(
        self, credentials: Sequence[bytes]
    ) -> wire.OrganisationItem | None:
        """Return the organisation that credentials belong to.

        `credentials` are the values of all headers `Authorization`, of which
        there must be one.
        """
        if len(credentials) != 1:
            return None
        match = _CREDENTIALS.fullmatch(credentials[0])
        if match is None:
            return None
        return self._owners.get(wire.compute_key_digest(match[1]))

    def restrict(
        self, route: wire.RouteItem, organisation: wire.OrganisationItem
    ) -> wire.RouteItem | None:
        """Return a route with the priority and regions of an organisation.

        None if the route and the organisation allow no region in common.
        """
        key = (route.name, organisation.name)
        known = self._restricted.get(key)
        if known is not None and known[0] is route:
            return known[1]
        restricted = _restrict(route, organisation)
        self._restricted[key] = (route, restricted)
        return restricted


def _restrict(
    route: wire.RouteItem, organisation: wire.OrganisationItem
) -> wire.RouteItem | None:
    regions = route.allowed_regions or organisation.allowed_regions
    if route.allowed_regions and organisation.allowed_regions:
        regions = [
            region
            for region in route.allowed_regions
            if region in organisation.allowed_regions
        ]
        if not regions:
            return None
    priority = organisation.priority
    if priority is None:
        priority = route.priority
    return msgspec.structs.replace(
        route, allowed_regions=regions, priority=priority
    )

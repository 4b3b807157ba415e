"""The check of callers' keys, and the identity that targets get."""

import asyncio

import msgspec

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.gateway import _http_names
from fulmarseam.gateway import _pauses
from fulmarseam.gateway import _requests

_AUTHORIZATION = b'authorization'
# Organisations that have metrics of their own.
MAX_LABELS = 10
OTHERS = 'others'
# Ends of requests that tell whether there was capacity for them.
_CAPACITY_OUTCOMES = {
    errors.Outcome.ANSWERED.value,
    errors.ErrorKind.NO_CAPACITY.value,
    errors.ErrorKind.TARGET_SHED.value,
    errors.ErrorKind.TARGET_TIMEOUT.value,
}


class Labels:
    """Names of organisations as labels of metrics, of a bounded number.

    The first ones that send requests have labels of their own, and the
    others share one.
    """

    def __init__(self) -> None:
        self._names: set[str] = set()

    def choose(self, name: str) -> str:
        """Return the label of an organisation."""
        if name in self._names or len(self._names) < MAX_LABELS:
            self._names.add(name)
            return name
        return OTHERS


class OrganisationGuard:
    """Checks that the callers of requests have a key in force.

    Without organisations every request is served. An entry that has heard
    from no member for `strict_after_s` refuses all requests, unless that is
    None: it would not know of a removed key.
    """

    def __init__(
        self,
        table: catalog.OrganisationTable,
        http_names: _http_names.HttpNames,
        pause_guard: _pauses.PauseGuard,
        strict_after_s: float | None,
        metrics: telemetry.Metrics,
        labels: Labels,
    ) -> None:
        self._metrics = metrics
        self._labels = labels
        self._loop = asyncio.get_running_loop()
        self._fair_priorities = steering.FairPriorities()
        self._table = table
        self._http_names = http_names
        self._pause_guard = pause_guard
        self._strict_after_s = strict_after_s

    def check(self, context: _requests.RequestContext) -> None:
        """Identify the organisation of a request before an attempt.

        Sets the route to what is allowed to the organisation. Raises
        `errors.FulmarseamError` if the request must not run.
        """
        table = self._table
        context.hides_credentials = bool(table)
        context.organisation = None
        context.route = context.matched_route
        if not table:
            self._check_relayed(context)
            return
        self._check_contact()
        credentials = [
            value
            for name, value in context.request.headers
            if name == _AUTHORIZATION
        ]
        organisation = table.identify(credentials)
        if organisation is None:
            if context.route.allow_anonymous:
                return
            # What was found is not told, as it may be a key.
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAUTHENTICATED,
                'expected one header Authorization: Bearer KEY with a key '
                'in force',
            )
        route = table.restrict(context.matched_route, organisation)
        if route is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.NO_TARGET,
                f'route {context.route.name} and organisation '
                f'{organisation.name} have no allowed region in common',
            )
        context.organisation = organisation
        context.route = self._prefer_if_starved(organisation.name, route)

    def _prefer_if_starved(
        self, name: ids.OrganisationName, route: wire.RouteItem
    ) -> wire.RouteItem:
        """Return a route with the priority that fairness asks for."""
        priority = self._fair_priorities.choose(
            self._loop.time(), name, route.priority
        )
        if priority == route.priority:
            return route
        return msgspec.structs.replace(route, priority=priority)

    def note_end(
        self, context: _requests.RequestContext, outcome: str
    ) -> None:
        """Record how a request ended, for the fairness between callers."""
        organisation = context.organisation
        if organisation is None:
            return
        self._metrics.add(
            'organisation_requests_total',
            organisation=self._labels.choose(organisation.name),
            outcome=outcome,
        )
        if outcome in _CAPACITY_OUTCOMES:
            self._fair_priorities.note_end(
                self._loop.time(),
                organisation.name,
                outcome == errors.Outcome.ANSWERED.value,
            )

    def update(self) -> None:
        """Follow a changed catalog."""
        self._fair_priorities.retain(
            frozenset(row.name for row in self._table.list())
        )

    def _check_relayed(self, context: _requests.RequestContext) -> None:
        """Refuse a request whose organisation this entry cannot check.

        It would pass its key on to a target.
        """
        if (
            context.is_relayed
            and self._http_names.organisation in context.request.fields
        ):
            raise errors.FulmarseamError(
                errors.ErrorKind.CONFIG_STALE,
                'the organisations are not known yet',
            )

    def _check_contact(self) -> None:
        if self._strict_after_s is None:
            return
        silence_s = self._pause_guard.get_silence()
        if silence_s > self._strict_after_s:
            raise errors.FulmarseamError(
                errors.ErrorKind.CONFIG_STALE,
                f'no member has answered for {silence_s:.1f} s, expected at '
                f'most {self._strict_after_s:g} s',
            )


def set_identity(
    headers: http.Headers,
    context: _requests.RequestContext,
    http_names: _http_names.HttpNames,
    to_entry: bool,
) -> http.Headers:
    """Return the headers with the organisation in place of the key.

    What the caller sent under the name of the header is dropped. Another
    entry, which checks it again, gets the key as well.
    """
    if not context.hides_credentials:
        return headers
    dropped = (_AUTHORIZATION, http_names.organisation)
    kept = [item for item in headers if item[0] not in dropped]
    organisation = context.organisation
    if organisation is not None:
        kept.append((http_names.organisation, organisation.name.encode()))
        if to_entry:
            # `Connection` may have listed it among the headers to drop.
            key = context.request.fields[_AUTHORIZATION]
            kept.append((_AUTHORIZATION, key))
    return kept

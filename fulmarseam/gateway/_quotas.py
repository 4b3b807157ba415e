"""Quotas of organisations at an entry: tokens, refusals and their figures."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import NamedTuple
from typing import Self

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.gateway import _organisations
from fulmarseam.gateway import _permits

# Least time between two log lines about refusals of an organisation, and the
# number of lines about all of them in that time.
LOG_INTERVAL_S = 1.0
MAX_LINES = 10

_log = logbook.Logger('gateway')


class Claim:
    """A request's part of a quota; a context manager around its attempt.

    The token is given back unless the request may have run. `refusal` is
    the error of a request that has no token and may only be relayed.
    """

    def __init__(
        self,
        stocks: steering.QuotaStocks,
        token: steering.QuotaToken | None,
        refusal: errors.FulmarseamError | None = None,
    ) -> None:
        self._stocks = stocks
        self._token = token
        self.refusal = refusal
        self.is_used = False

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        if not self.is_used:
            self.give_back()

    def give_back(self) -> None:
        """Give the token back, once."""
        token, self._token = self._token, None
        if token is not None:
            self._stocks.give_back(token)

    @contextlib.contextmanager
    def use(self) -> Iterator[None]:
        """Use the token, unless the attempt fails before the request runs."""
        self.is_used = True
        try:
            yield
        except errors.FulmarseamError as error:
            self.is_used = error.answer.outcome is not errors.Outcome.NOT_RUN
            raise


class _Refusals(NamedTuple):
    """Refusals of an organisation since its last log line."""

    logged_at: float
    refused: int


class QuotaGate:
    """Takes a token for each request of an organisation with a quota."""

    def __init__(
        self,
        stocks: steering.QuotaStocks,
        permits: _permits.PermitClient[
            ids.OrganisationName, steering.QuotaToken | None
        ],
        metrics: telemetry.Metrics,
        labels: _organisations.Labels,
    ) -> None:
        self._labels = labels
        self._stocks = stocks
        self._permits = permits
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._refusals: dict[ids.OrganisationName, _Refusals] = {}
        self._lines_from = float('-inf')
        self._lines = 0

    async def claim(
        self,
        organisation: wire.OrganisationItem | None,
        may_relay: Callable[[], bool],
    ) -> Claim:
        """Return the claim of a request on the quota of its organisation.

        Raises `errors.FulmarseamError` with `QUOTA_EXCEEDED`, which tells
        when a token is expected, unless the request may be relayed: then the
        other entry counts it.
        """
        if organisation is None or not self._stocks.has_quota(
            organisation.name
        ):
            return Claim(self._stocks, None)
        token = await self._permits.acquire(organisation.name)
        if token is not None:
            return Claim(self._stocks, token)
        error = self._refuse(organisation)
        if may_relay():
            return Claim(self._stocks, None, error)
        raise error

    def close(self) -> None:
        """Stop asking the leader."""
        self._permits.close()

    def _refuse(
        self, organisation: wire.OrganisationItem
    ) -> errors.FulmarseamError:
        now = self._loop.time()
        name = organisation.name
        self._metrics.add(
            'quota_refused_total', organisation=self._labels.choose(name)
        )
        supply = self._stocks.compute_supply(now, name)
        self._log_refusal(now, organisation, supply)
        return errors.FulmarseamError(
            errors.ErrorKind.QUOTA_EXCEEDED,
            f'the quota is {organisation.rate_per_s:g} requests/s over all '
            f'entries, of which {supply:.1f} are for this one',
            self._stocks.schedule_return(now, name),
        )

    def _log_refusal(
        self,
        now: float,
        organisation: wire.OrganisationItem,
        supply: float,
    ) -> None:
        """Log refusals of an organisation, once a second at most."""
        name = organisation.name
        refusals = self._refusals.get(name, _Refusals(float('-inf'), 0))
        count = refusals.refused + 1
        if now - self._lines_from >= LOG_INTERVAL_S:
            self._lines_from = now
            self._lines = 0
        if (
            now - refusals.logged_at < LOG_INTERVAL_S
            or self._lines >= MAX_LINES
        ):
            self._refusals[name] = _Refusals(refusals.logged_at, count)
            return
        self._lines += 1
        self._refusals[name] = _Refusals(now, 0)
        _log.info(
            telemetry.format_event(
                'quota_exceeded',
                organisation=name,
                rate_per_s=organisation.rate_per_s,
                burst=organisation.burst,
                share_per_s=round(supply, 2),
                senders=self._stocks.senders,
                offline=self._stocks.is_offline(now),
                count=count,
            )
        )

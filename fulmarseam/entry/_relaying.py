"""Relaying of requests through entries that reach the targets."""

import functools

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import relay
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import wire
from fulmarseam.entry import _attempts
from fulmarseam.entry import _pools
from fulmarseam.entry import _requests
from fulmarseam.entry import _state

# Connections to another entry.
MAX_CONNECTIONS = 128


class Relayer:
    """Sends requests of this entry's callers through other entries.

    The other entry claims the request id, so that a copy that comes back
    through any entry finds the claim.
    """

    def __init__(
        self,
        options: settings.EntrySettings,
        state: _state.SharedState,
        entry_pools: http.TargetPools,
        pools: _pools.Pools,
    ) -> None:
        self._options = options
        self._pools = pools
        self._state = state
        self._entry_pools = entry_pools
        self.relays = relay.Relays(options.region, self._list_entries)

    async def _list_entries(self) -> list[wire.EntryAddress]:
        return [
            wire.EntryAddress(row.info.listen, row.info.region)
            for entry, row in self._state.entries.items()
            if row.alive
            and not row.draining
            and entry != self._options.entry_id
        ]

    async def relay_request(self, context: _requests.RequestContext) -> None:
        """Relay a request.

        Raises `errors.FulmarseamError` if no entry answers it.
        """
        # The bytes that requests take on links between regions are granted
        # for targets only.
        failure = await self.relays.relay(
            context.route.pool,
            (self._options.region,),
            context.deadline,
            context.body,
            functools.partial(self._send, context),
            self._pools.get(context.route.pool).retry_budget.try_acquire,
        )
        if failure is not None:
            raise failure.error or errors.FulmarseamError(
                errors.ErrorKind.NO_TARGET,
                'this entry has lost its paths to the targets, and no other '
                'entry of its region is known',
            )

    async def _send(
        self, context: _requests.RequestContext, entry: wire.EntryAddress
    ) -> relay.RelayFailure | None:
        """Send a request to one entry; return None if it is answered."""
        attempt = _attempts.Attempt(
            context,
            steering.Choice(
                target=ids.TargetId(f'entry {entry.address}'),
                address=entry.address,
                region=entry.region,
                is_remote=False,
            ),
            self._entry_pools.get(entry.address, MAX_CONNECTIONS),
            None,
            may_reuse=False,
            is_relay=True,
        )
        try:
            await attempt.run()
            return None
        except _attempts.TargetShedError as error:
            return relay.make_refusal(
                entry, str(error), error.has_reached_target
            )
        except http.TargetError as error:
            return relay.make_failure(entry, error, attempt.progress)
        except errors.FulmarseamError as error:
            raise relay.make_body_error(error, attempt.progress) from error

"""Relaying of requests through entries that reach the targets."""

import asyncio
import functools

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import relay
from fulmarseam import wire
from fulmarseam.gateway import _answers
from fulmarseam.gateway import _attempts
from fulmarseam.gateway import _http_names
from fulmarseam.gateway import _load_balancer
from fulmarseam.gateway import _organisations
from fulmarseam.gateway import _requests
from fulmarseam.gateway import _sending
from fulmarseam.gateway import _summaries

# Connections to another entry, of which half may be idle.
MAX_CONNECTIONS = 128


class Relayer:
    """Sends requests of this entry's callers through other entries.

    `entry_pools` are the connections to them.
    """

    def __init__(
        self,
        relays: relay.Relays,
        http_names: _http_names.HttpNames,
        entry_pools: http.TargetPools,
        load_balancer: _load_balancer.LoadBalancer,
        organisations: _organisations.OrganisationGuard,
    ) -> None:
        self._organisations = organisations
        self._relays = relays
        self._http_names = http_names
        self._entry_pools = entry_pools
        self._load_balancer = load_balancer
        self._loop = asyncio.get_running_loop()

    async def relay_request(
        self,
        context: _requests.RequestContext,
        pool: ids.PoolName,
        summary: _summaries.RequestSummary,
    ) -> relay.RelayFailure | None:
        """Relay a request; return None once the caller has its answer."""
        return await self._relays.relay(
            pool,
            context.route.allowed_regions,
            context.deadline,
            context.body,
            functools.partial(self._relay_through, context, summary),
            functools.partial(self._try_acquire_retry, pool),
        )

    def _try_acquire_retry(self, pool: ids.PoolName) -> bool:
        return self._load_balancer.try_acquire_retry(self._loop.time(), pool)

    async def _relay_through(
        self,
        context: _requests.RequestContext,
        summary: _summaries.RequestSummary,
        entry: wire.EntryAddress,
    ) -> relay.RelayFailure | None:
        """Send a request to one entry; return None if it is answered."""
        self._organisations.check(context)
        summary.add_relay(entry.address)
        attempts_left = context.max_attempts - len(context.attempted)
        attempt = _attempts.Attempt(
            context,
            _attempts.Recipient(
                ids.TargetId(f'entry {entry.address}'),
                (self._http_names.relayed, b'%d' % attempts_left),
                is_entry=True,
            ),
            self._entry_pools.get(
                entry.address, MAX_CONNECTIONS, MAX_CONNECTIONS // 2
            ),
            self._http_names,
            context.deadline,
        )
        try:
            answer = await attempt.run()
            self._note_leaving(attempt, answer)
            summary.status = answer.response.status
            summary.outcome = _summaries.ANSWERED
            await _sending.send_answer(context, attempt, answer)
            return None
        except _attempts.NotRunError as error:
            return relay.make_refusal(
                entry, str(error), attempt.has_reached_target
            )
        except http.TargetError as error:
            if context.caller.response_started:
                raise errors.FulmarseamError(
                    errors.ErrorKind.TARGET_FAILED, error.detail
                ) from error
            return relay.make_failure(entry, error, attempt.progress)
        except errors.FulmarseamError as error:
            raise relay.make_body_error(error, attempt.progress) from error
        finally:
            attempt.close()

    def _note_leaving(
        self, attempt: _attempts.Attempt, answer: _attempts.Answer
    ) -> None:
        """Record that a target leaves, if a relayed answer says so.

        The other entry names the target in the header that this one would
        have sent to it; callers do not get that.
        """
        response = answer.response
        header = self._http_names.expected_target
        target = response.fields.get(header)
        notice = attempt.take_notice()
        if target is None:
            return
        response.headers[:] = [
            item for item in response.headers if item[0] != header
        ]
        if notice is not None and notice.is_leaving:
            self._load_balancer.record_relayed_leave(
                self._loop.time(),
                ids.TargetId(target.decode('latin-1')),
            )


def send_error(
    context: _requests.RequestContext,
    error: errors.FulmarseamError,
    http_names: _http_names.HttpNames,
) -> None:
    """Tell the entry that relays a request about an error.

    It tells that entry whether the request has run, and how many targets may
    have got it.
    """
    answer = _answers.make_answer(error)
    headers = list(answer.headers)
    if context.request_id is not None:
        headers.append((http_names.request_id, context.request_id))
    if error.answer.outcome is errors.Outcome.NOT_RUN:
        headers.append((http_names.not_run, b'1'))
        headers.append((http_names.relayed, b'%d' % context.arrivals))
    context.caller.send_response(answer.status, headers, answer.body)

"""The HTTP API that the control members offer to the platform."""

import asyncio
from collections.abc import Callable
import contextlib
import hashlib
import json
from urllib import parse

import logbook

from fulmarseam import control
from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.platform import _items
from fulmarseam.platform import _targets
from fulmarseam.platform import _values

CONFIG_PATH = '/api/config'
TARGETS_PATH = '/api/instances/'
EVACUATION_PATH = '/api/evacuate/'
LOOKUP_PATH = '/api/resolve'
# A caller uses at most this many addresses of an answer.
MAX_LOOKUP_ADDRESSES = 64
# Callers keep a look-up answer for up to three times its TTL. An entry that
# stops has 6 s and listens for three quarters of them (4.5 s).
LOOKUP_TTL_S = 1.4
JSON_HEADERS = [(b'content-type', b'application/json')]
DIGEST_BYTES = 16
# Longest body of a call that is no configuration. Announcements of targets
# have some 300 bytes.
MAX_BODY_BYTES = 16 * 1024
# Longer configurations are handled one at a time: their items take several
# times the memory of the body.
MAX_PARALLEL_CONFIG_BYTES = 256 * 1024
# Items of a configuration that are read in one turn of the event loop.
ITEMS_PER_TURN = 200

_log = logbook.Logger('platform')


class ControlApi:
    """Handles the requests of operators, targets and callers."""

    def __init__(
        self,
        options: settings.CatalogSettings,
        member: control.CatalogMember,
    ) -> None:
        self._options = options
        self._member = member
        self._lookup_ttl_s = min(LOOKUP_TTL_S, options.lookup_lifetime_limit)
        self._long_configs = asyncio.Lock()

    async def handle_api_request(
        self, request: http.Request, caller: http.CallerConnection
    ) -> None:
        """Answer a request of an operator or a target."""
        path, _ = _split_target(request)

        def is_wanted() -> bool:
            return not caller.gone

        call = self._member.make_call(is_wanted)
        body = await _read_body(request, caller, path)
        method = request.method.decode('ascii')
        try:
            if path == CONFIG_PATH:
                await self._handle_config(method, body, caller, is_wanted)
            elif path.startswith(TARGETS_PATH):
                target = parse.unquote(path.removeprefix(TARGETS_PATH))
                await self._handle_target(method, target, body, call)
                caller.send_response(200, JSON_HEADERS, b'{}')
            elif path.startswith(EVACUATION_PATH):
                domain = parse.unquote(path.removeprefix(EVACUATION_PATH))
                await self._handle_evacuation(method, domain, call)
                caller.send_response(200, JSON_HEADERS, b'{}')
            else:
                raise errors.FulmarseamError(errors.ErrorKind.NOT_FOUND, path)
        except _values.UnreadableError as error:
            _log.info(
                telemetry.format_event(
                    'call_refused', method=method, path=path, reason=str(error)
                )
            )
            raise errors.FulmarseamError(
                errors.ErrorKind.MALFORMED_REQUEST, str(error)
            ) from error

    async def _handle_config(
        self,
        method: str,
        body: bytes,
        caller: http.CallerConnection,
        is_wanted: Callable[[], bool],
    ) -> None:
        if method == 'GET':
            await self._member.wait_until_current()
            items = self._member.catalog.items.list_live()
            caller.send_response(200, JSON_HEADERS, _items.write_items(items))
            return
        _require_method(method, 'PATCH')
        async with contextlib.AsyncExitStack() as stack:
            if len(body) > MAX_PARALLEL_CONFIG_BYTES:
                await stack.enter_async_context(self._long_configs)
            await self._put_items(body, is_wanted)
        caller.send_response(200, JSON_HEADERS, b'{}')

    async def _put_items(
        self, body: bytes, is_wanted: Callable[[], bool]
    ) -> None:
        self._member.make_call(is_wanted).check()
        items = await _read_items(body)
        # Its time begins here. The upload, the calls before it and reading it
        # may take longer than the sender of a short call waits.
        call = self._member.make_call(is_wanted)
        digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()
        result = await self._member.put_items(items, digest, call)
        _log.info(
            telemetry.format_event(
                'items_refused' if result.problems else 'items_accepted',
                digest=digest.hex(),
                items=','.join(
                    f'{item.name}@{item.version}' for item in items[:10]
                ),
                count=len(items),
                revision=result.revision,
                problems='; '.join(result.problems[:10]),
            )
        )
        if result.problems:
            raise _values.UnreadableError('; '.join(result.problems))

    async def _handle_target(
        self,
        method: str,
        target: str,
        body: bytes,
        call: control.PendingCall,
    ) -> None:
        if method == 'DELETE':
            born_ms = _targets.read_leave(body)
            await self._member.leave(ids.TargetId(target), born_ms, call)
            return
        _require_method(method, 'PUT')
        record = _targets.read_heartbeat(target, body, self._options.domains)
        await self._member.announce(record, call)

    async def _handle_evacuation(
        self, method: str, domain: str, call: control.PendingCall
    ) -> None:
        if method != 'DELETE':
            _require_method(method, 'POST')
        evacuate = method == 'POST'
        result = await self._member.evacuate(
            ids.DomainName(domain), evacuate, call
        )
        _log.info(
            telemetry.format_event(
                'evacuation',
                failure_domain=domain,
                active=evacuate,
                revision=result.revision,
            )
        )

    async def handle_lookup(
        self, request: http.Request, caller: http.CallerConnection
    ) -> None:
        """Answer a caller's look-up of entry addresses."""
        path, query = _split_target(request)
        if path != LOOKUP_PATH:
            raise errors.FulmarseamError(errors.ErrorKind.NOT_FOUND, path)
        fields = dict(parse.parse_qsl(query))
        addresses = self._member.find_entries(
            ids.RegionName(fields.get('region', '')),
            ids.DomainName(fields.get('zone', '')),
            MAX_LOOKUP_ADDRESSES,
        )
        if not addresses:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE, 'no entry is ready yet'
            )
        body = json.dumps(
            {
                'addresses': addresses,
                'ttl': _values.format_seconds(self._lookup_ttl_s),
            }
        )
        caller.send_response(200, JSON_HEADERS, body.encode())


async def _read_items(body: bytes) -> list[wire.Item]:
    """Return the items of a configuration; other calls go on meanwhile."""
    items = []
    for item in _items.read_call(body):
        items.append(item)
        if len(items) % ITEMS_PER_TURN == 0:
            await asyncio.sleep(0)
    return items


async def _read_body(
    request: http.Request, caller: http.CallerConnection, path: str
) -> bytes:
    """Return the body of a call, of which only configurations are long.

    Raises like `http.read_body`, before the body if its length is stated.
    """
    if path == CONFIG_PATH:
        return await http.read_body(caller)
    if request.length is not None and request.length > MAX_BODY_BYTES:
        raise errors.FulmarseamError(
            errors.ErrorKind.BODY_TOO_LARGE,
            f'found a body of {request.length} bytes, expected at most '
            f'{MAX_BODY_BYTES}',
        )
    return await http.read_body(caller, MAX_BODY_BYTES)


def _split_target(request: http.Request) -> tuple[str, str]:
    path, _, query = request.target.decode('latin-1').partition('?')
    return path, query


def _require_method(found: str, expected: str) -> None:
    if found != expected:
        raise errors.FulmarseamError(
            errors.ErrorKind.METHOD_NOT_ALLOWED,
            f'method: found {found}, expected {expected}',
        )

"""Tests of organisations from the operator's call to the target."""

import asyncio
import contextlib
import json

import logbook

from fulmarseam import gateway
from fulmarseam import http
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.platform import _control_api
from fulmarseam.platform import _headers
from tests import catalog_fixtures as fixtures
from tests import fakes
from tests import gateway_case
from tests import rate_limit_case

KEY = 'key-0a9f3b'
NEXT_KEY = 'key-7e21c4'
SERVICE = {
    'name': 'katalog',
    'healthPath': '/health',
    'maxConns': 50,
    'version': 1,
}
ROUTE = {
    'name': 'r',
    'pathPrefix': '/r/',
    'type': 'idempotent',
    'timeout': '1500ms',
    'service': 'katalog',
    'maxAttempts': 2,
    'allowAnonymous': False,
    'version': 1,
}
TENANT = {'name': 'acme', 'apiKeys': [KEY], 'ratePerS': 5.5, 'version': 1}
# An accepted configuration is in force at each entry after this time.
IN_FORCE_S = 2.5


class ApiTest(rate_limit_case.RateLimitCase):
    """Guards against keys that leak, or that work after their removal."""

    async def asyncSetUp(self) -> None:
        self.log = logbook.TestHandler(level=logbook.DEBUG)
        self.enterContext(self.log.applicationbound())
        self.sent_to_entries = bytearray()
        self._patch_calls()
        await super().asyncSetUp()
        options = self.member._options
        api = _control_api.ControlApi(options, self.member)
        self.api_address = fakes.find_free_address()
        await self.stack.enter_async_context(
            http.Server(
                self.api_address, api.handle_api_request, gateway.make_answer
            )
        )
        self.seen: list[dict[str, str]] = []
        self.target = gateway_case.Target(self._serve)

    def _patch_calls(self) -> None:
        """Record what the member answers to entries."""
        call = transport.RpcClients.call
        recorded = self.sent_to_entries

        async def record(clients, address, message, timeout_s):
            answer = await call(clients, address, message, timeout_s)
            recorded.extend(wire.encode(answer))
            if isinstance(answer, wire.EntryPollResponse) and (
                answer.packed_changes
            ):
                changes = wire.unpack_changes(answer.packed_changes)
                recorded.extend(repr(changes).encode())
            return answer

        transport.RpcClients.call = record
        self.addCleanup(setattr, transport.RpcClients, 'call', call)

    async def _serve(self, reader, writer, headers) -> None:
        self.seen.append(headers)
        fields = {'fulmarseam-request-id': headers['x-request-id']}
        await gateway_case.write_response(
            writer,
            fields,
            200,
            b'hello',
            x_request_id=headers['x-request-id'],
        )

    def start_entry(self, options) -> None:
        entry = gateway.Gateway(options, _headers.HTTP_NAMES)
        self.entries.append(entry)
        self._runs.append(asyncio.create_task(entry.run()))

    async def call(
        self, address: str, method: str, path: str, body: bytes, lines: str
    ) -> tuple[int, bytes]:
        """Send a request; return the status and the whole answer."""
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        with contextlib.closing(writer):
            writer.write(
                f'{method} {path} HTTP/1.1\r\nhost: shop.example\r\n'
                f'connection: close\r\ncontent-length: {len(body)}\r\n'
                f'{lines}\r\n'.encode()
                + body
            )
            async with asyncio.timeout(10.0):
                answer = await reader.read()
        return int(answer.split()[1]), answer

    async def patch(self, **upsert: object) -> tuple[int, bytes]:
        """Send an operator's call."""
        body = json.dumps({'upsert': upsert}).encode()
        return await self.call(
            self.api_address, 'PATCH', '/api/config', body, ''
        )

    async def request(self, key: str, entry: int = 0) -> int:
        """Send a request of a caller; return the status."""
        status, answer = await self.call(
            self.addresses[entry],
            'GET',
            '/r/x',
            b'',
            'X-Request-Id: q1\r\nX-TENANT: forged\r\nx-tenant: forged\r\n'
            f'Authorization: Bearer {key}\r\n',
        )
        self.assertNotIn(key.encode(), answer)
        return status

    async def start(self) -> None:
        """Configure all and start two entries."""
        # Founding the group takes 0.6 s of the 0.9 s that a call may wait.
        async with asyncio.timeout(rate_limit_case.START_TIMEOUT_S):
            while True:
                if self.member.is_leader():
                    break
                await asyncio.sleep(0.02)
        status, _ = await self.patch(
            services=[SERVICE],
            hosts=[{'host': 'shop.example', 'paths': [ROUTE]}],
            tenants=[TENANT],
        )
        self.assertEqual(status, 200)
        await self.target.start()
        self.targets.append(self.target)
        await self.member.announce(
            fixtures.make_record(
                't', address=self.target.address, slots=20, born_ms=1
            )
        )
        await self.start_entries(2)
        await asyncio.sleep(0.5)

    async def test_a_key_reaches_nothing_but_the_entry(self) -> None:
        await self.start()
        self.assertEqual(await self.request(KEY), 200)
        self.assertEqual(await self.request('unknown'), 401)
        (headers,) = self.seen
        self.assertEqual(headers['x-tenant'], 'acme')
        self.assertNotIn(KEY, repr(headers))
        status, answer = await self.patch(
            tenants=[
                {**TENANT, 'name': 'b', 'apiKeys': [NEXT_KEY]},
                {**TENANT, 'name': 'c', 'apiKeys': [NEXT_KEY]},
            ]
        )
        self.assertEqual(status, 400)
        self.assertNotIn(NEXT_KEY.encode(), answer)
        await asyncio.sleep(0.5)
        _, page = await self.call(
            self.entries[0].options.readiness, 'GET', '/metrics', b'', ''
        )
        lines = '\n'.join(self.log.formatted_records)
        self.assertIn('items_accepted', lines)
        for key in (KEY, NEXT_KEY):
            self.assertNotIn(key, lines)
            self.assertNotIn(key.encode(), page)
            self.assertNotIn(key.encode(), self.sent_to_entries)
        self.assertIn(b'acme', self.sent_to_entries)

    async def test_organisations_are_read_back_as_they_were_sent(
        self,
    ) -> None:
        await self.start()
        _, answer = await self.call(
            self.api_address, 'GET', '/api/config', b'', ''
        )
        found = json.loads(answer.partition(b'\r\n\r\n')[2])
        self.assertEqual(found['tenants'], [TENANT])
        self.assertEqual(found['hosts'][0]['paths'], [ROUTE])

    async def test_a_removed_key_is_refused_everywhere_in_time(self) -> None:
        await self.start()
        status, _ = await self.patch(
            tenants=[{**TENANT, 'apiKeys': [NEXT_KEY], 'version': 2}]
        )
        self.assertEqual(status, 200)
        await asyncio.sleep(IN_FORCE_S)
        for entry in range(2):
            self.assertEqual(await self.request(KEY, entry), 401)
            self.assertEqual(await self.request(NEXT_KEY, entry), 200)

    async def test_a_removed_organisation_is_refused_everywhere(self) -> None:
        await self.start()
        await self.patch(
            tenants=[{**TENANT, 'name': 'b', 'apiKeys': [NEXT_KEY]}]
        )
        body = b'{"remove":{"tenants":[{"name":"acme","version":2}]}}'
        await self.call(self.api_address, 'PATCH', '/api/config', body, '')
        await asyncio.sleep(IN_FORCE_S)
        for entry in range(2):
            self.assertEqual(await self.request(KEY, entry), 401)
            self.assertEqual(await self.request(NEXT_KEY, entry), 200)

    async def test_a_request_over_the_quota_is_told_when_to_return(
        self,
    ) -> None:
        await self.start()
        answers = []
        for _ in range(60):
            answers.append(
                await self.call(
                    self.addresses[0],
                    'GET',
                    '/r/x',
                    b'',
                    f'X-Request-Id: q1\r\nAuthorization: Bearer {KEY}\r\n',
                )
            )
        refusals = [answer for status, answer in answers if status == 429]
        self.assertGreater(len(refusals), 0)
        self.assertIn(b'retry-after: ', refusals[0].lower())

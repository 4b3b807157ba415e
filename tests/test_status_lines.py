"""Tests of answers whose status line is none."""

from typing import ClassVar

from fulmarseam import wire
from tests import entry_case
from tests import fakes
from tests import gateway_case

ODD_LINES = (
    'HTTP/1.1 000 OK',
    'HTTP/1.1 000',
    'HTTP/1.1 099 OK',
    'HTTP/1.1 20 OK',
    'HTTP/1.1 2000 OK',
    'HTTP/1.1 +20 OK',
    'HTTP/1.1 101 Switching Protocols',
    'HTTP/1.1 600 OK',
    'HTTP/1.1 999 OK',
    'HTTP/0.0 200 OK',
    'HTTP/2.0 200 OK',
    'HTTP/1.1 200 O\0K',
    'http/1.1 200 OK',
)
INTERIM = 'HTTP/1.1 100 Continue\r\n\r\n'
# A body with a length, one that ends with the connection, and both after an
# interim response.
FORMS = tuple(
    (interim, framing)
    for interim in ('', INTERIM)
    for framing in ('content-length: 5', 'connection: close')
)


class GatewayStatusLineTest(gateway_case.GatewayCase):
    """Guards against an odd status that a caller gets as an answer.

    600 and 999 used to be passed on.
    """

    async def test_no_odd_status_is_passed_on(self) -> None:
        line, interim, framing = '', '', ''

        async def answer(reader, writer, headers):
            name = headers['fulmarseam-request-id']
            writer.write(
                f'{interim}{line}\r\nfulmarseam-request-id: {name}\r\n'
                f'fulmarseam-stamp: s\r\n{framing}\r\n\r\nhello'.encode()
            )
            writer.close()

        await self.add_target('t1', answer)
        await self.put_route(idempotent=False)
        self.gateway.load_balancer.eject = lambda *_, **__: None
        for line in ODD_LINES:
            for interim, framing in FORMS:
                with self.subTest(line, interim=interim, framing=framing):
                    reply = await self.call(method='POST')
                    self.assertEqual(502, reply.status)
                    self.assertNotIn(b'hello', reply.body)


class EjectionTest(gateway_case.GatewayCase):
    """Guards against a pool that is ejected for single unreadable answers.

    One in fifty of them cost a third of all callers their answer.
    """

    async def test_targets_with_the_same_fault_are_used_on(self) -> None:
        seen: set[str] = set()

        async def answer(reader, writer, headers):
            name = headers['fulmarseam-target']
            is_first = name not in seen
            seen.add(name)
            await gateway_case.write_response(
                writer, headers, 0 if is_first else 200
            )

        for name in ('t1', 't2', 't3'):
            await self.add_target(name, answer)
        await self.put_route(idempotent=False)
        statuses = [(await self.call(method='POST')).status for _ in range(12)]
        self.assertNotIn(503, statuses)
        self.assertEqual(200, statuses[-1])

    async def test_a_target_that_stands_out_is_ejected(self) -> None:
        async def answer_oddly(reader, writer, headers):
            await gateway_case.write_response(writer, headers, 0)

        async def answer(reader, writer, headers):
            await gateway_case.write_response(writer, headers)

        odd = await self.add_target('t1', answer_oddly)
        for name in ('t2', 't3', 't4'):
            await self.add_target(name, answer)
        await self.put_route(idempotent=False)
        statuses = []
        for number in range(60):
            reply = await self.call(
                method='POST', fulmarseam_request_id=f'q{number}'
            )
            statuses.append(reply.status)
        self.assertLess(len(odd.heads), 8)
        self.assertEqual(statuses.count(502), len(odd.heads))


class EntryStatusLineTest(entry_case.EntryCase):
    """Guards against the same in an entry with grants."""

    rows: ClassVar[list[wire.Row]] = [
        wire.Pool(name=fakes.POOL),
        entry_case.make_route(idempotent=False, request_id_required=False),
    ]

    async def test_no_odd_status_is_passed_on(self) -> None:
        for number, line in enumerate(ODD_LINES):
            with self.subTest(line):
                answer = f'{line}\r\ncontent-length: 0\r\n\r\n'
                await self.start_target(
                    fakes.answer_always(answer.encode()), f't{number}'
                )
                reply = await self.call(method='POST')
                self.assertEqual(
                    (502, 'unknown'), (reply.status, reply.outcome)
                )

"""Tests of the fault proxy."""

import asyncio
import json
import unittest

from fulmarseam import client
from fulmarseam import settings
from fulmarseam.standin import _proxy
from tests import _loopback


class FaultProxyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lost or reordered bytes and against ignored faults."""

    async def asyncSetUp(self) -> None:
        self.received = bytearray()
        upstream_address = _loopback.find_free_address()
        host, port = upstream_address.split(':')
        server = await asyncio.start_server(self.echo, host, int(port))
        self.addCleanup(server.close)
        self.options = settings.FaultProxySettings(
            control=_loopback.find_free_address(),
            forwards=[
                settings.Forward(
                    'a>b', _loopback.find_free_address(), upstream_address
                ),
                settings.Forward(
                    'c>d', _loopback.find_free_address(), upstream_address
                ),
            ],
        )
        await self.enterAsyncContext(_proxy.FaultProxy(self.options))
        self.http_client = client.HttpClient()
        self.addCleanup(self.http_client.close)

    async def echo(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                self.received += data
                writer.write(data)
        except ConnectionResetError:
            pass
        except asyncio.CancelledError:
            # asyncio logs a cancelled connection callback as an error.
            pass
        finally:
            writer.close()

    async def send_command(
        self, action: str, **fields: object
    ) -> client.Reply:
        body = {'action': action, 'links': ['a>*'], **fields}
        request = client.Request(
            'POST', 'proxy', '/', {}, json.dumps(body).encode()
        )
        return await self.http_client.send(self.options.control, request, 2.0)

    async def connect(
        self, link: int = 0
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self.options.forwards[link].listen.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        data: bytes,
    ) -> bytes:
        writer.write(data)
        return await asyncio.wait_for(reader.readexactly(len(data)), 5)

    async def assert_no_data(self, reader: asyncio.StreamReader) -> None:
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.2)

    async def test_bytes_pass_in_order(self) -> None:
        reader, writer = await self.connect()
        data = bytes(range(256)) * 20_000
        exchange = asyncio.create_task(self.exchange(reader, writer, data))
        self.assertEqual(data, await exchange)

    async def test_held_bytes_arrive_late(self) -> None:
        reader, writer = await self.connect()
        await self.exchange(reader, writer, b'one')
        await self.send_command('hold')
        writer.write(b'two')
        await self.assert_no_data(reader)
        self.assertEqual(b'one', self.received)
        await self.send_command('heal-late')
        self.assertEqual(b'two', await reader.readexactly(3))

    async def test_hold_of_one_direction(self) -> None:
        reader, writer = await self.connect()
        await self.exchange(reader, writer, b'one')
        await self.send_command('hold', direction='back')
        writer.write(b'two')
        await self.assert_no_data(reader)
        self.assertEqual(b'onetwo', self.received)

    async def test_hold_covers_new_connections(self) -> None:
        await self.send_command('hold')
        reader, writer = await self.connect()
        writer.write(b'one')
        await self.assert_no_data(reader)
        self.assertEqual(b'', self.received)
        await self.send_command('heal-late')
        self.assertEqual(b'one', await reader.readexactly(3))

    async def test_other_links_are_not_held(self) -> None:
        await self.send_command('hold')
        reader, writer = await self.connect(1)
        self.assertEqual(b'one', await self.exchange(reader, writer, b'one'))

    async def test_heal_with_reset_drops_held_bytes(self) -> None:
        reader, writer = await self.connect()
        await self.exchange(reader, writer, b'one')
        await self.send_command('hold')
        writer.write(b'two')
        await self.assert_no_data(reader)
        await self.send_command('heal-reset')
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(reader.read(1), 2)
        self.assertEqual(b'one', self.received)
        new_connection = await self.connect()
        self.assertEqual(
            b'three', await self.exchange(*new_connection, b'three')
        )

    async def test_cut_resets_and_refuses_until_healed(self) -> None:
        reader, writer = await self.connect()
        await self.exchange(reader, writer, b'one')
        await self.send_command('cut')
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(reader.read(1), 2)
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await self.exchange(*await self.connect(), b'two')
        await self.send_command('heal-late')
        new_connection = await self.connect()
        self.assertEqual(
            b'three', await self.exchange(*new_connection, b'three')
        )

    async def test_delay_is_added_each_way(self) -> None:
        await self.send_command('shape', delay_ms=50)
        reader, writer = await self.connect()
        loop = asyncio.get_running_loop()
        start = loop.time()
        await self.exchange(reader, writer, b'one')
        self.assertGreaterEqual(loop.time() - start, 0.1)

    async def test_rate_is_limited(self) -> None:
        await self.send_command('shape', bytes_per_s=1_000_000)
        reader, writer = await self.connect()
        loop = asyncio.get_running_loop()
        start = loop.time()
        await self.exchange(reader, writer, b'x' * 300_000)
        self.assertGreaterEqual(loop.time() - start, 0.2)

    async def test_malformed_command_is_refused(self) -> None:
        reply = await self.send_command('explode')
        self.assertEqual(400, reply.status)

    async def test_end_of_stream_is_passed_on(self) -> None:
        reader, writer = await self.connect()
        await self.exchange(reader, writer, b'one')
        writer.write_eof()
        self.assertEqual(b'', await asyncio.wait_for(reader.read(), 2))

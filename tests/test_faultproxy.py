"""Tests of the fault proxy."""

import asyncio
import json
import unittest

from fulmarseam import client
from fulmarseam import settings
from fulmarseam.standin import _proxy
from tests import _loopback


class FaultProxyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against faults that lose, reorder or leak bytes."""

    async def asyncSetUp(self) -> None:
        self.received = bytearray()
        far = _loopback.find_free_address()
        host, port = far.split(':')
        server = await asyncio.start_server(self.echo, host, int(port))
        self.addCleanup(server.close)
        self.options = settings.FaultProxySettings(
            control=_loopback.find_free_address(),
            forwards=[
                settings.Forward('a>b', _loopback.find_free_address(), far),
                settings.Forward('c>d', _loopback.find_free_address(), far),
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
            # The stream server logs cancelled sessions as errors.
            pass
        finally:
            writer.close()

    async def command(self, action: str, **fields: object) -> client.Reply:
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

    async def expect_silence(self, reader: asyncio.StreamReader) -> None:
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.2)

    async def test_bytes_pass_in_order(self) -> None:
        reader, writer = await self.connect()
        data = bytes(range(256)) * 20_000
        writing = asyncio.create_task(self.exchange(reader, writer, data))
        self.assertEqual(data, await writing)

    async def test_held_bytes_arrive_late(self) -> None:
        reader, writer = await self.connect()
        await self.exchange(reader, writer, b'one')
        await self.command('hold')
        writer.write(b'two')
        await self.expect_silence(reader)
        self.assertEqual(b'one', self.received)
        await self.command('heal-late')
        self.assertEqual(b'two', await reader.readexactly(3))

    async def test_hold_of_one_direction(self) -> None:
        reader, writer = await self.connect()
        await self.exchange(reader, writer, b'one')
        await self.command('hold', direction='back')
        writer.write(b'two')
        await self.expect_silence(reader)
        self.assertEqual(b'onetwo', self.received)

    async def test_hold_covers_new_connections(self) -> None:
        await self.command('hold')
        reader, writer = await self.connect()
        writer.write(b'one')
        await self.expect_silence(reader)
        self.assertEqual(b'', self.received)
        await self.command('heal-late')
        self.assertEqual(b'one', await reader.readexactly(3))

    async def test_other_links_are_not_held(self) -> None:
        await self.command('hold')
        reader, writer = await self.connect(1)
        self.assertEqual(b'one', await self.exchange(reader, writer, b'one'))

    async def test_heal_with_reset_drops_held_bytes(self) -> None:
        reader, writer = await self.connect()
        await self.exchange(reader, writer, b'one')
        await self.command('hold')
        writer.write(b'two')
        await self.expect_silence(reader)
        await self.command('heal-reset')
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(reader.read(1), 2)
        self.assertEqual(b'one', self.received)
        again = await self.connect()
        self.assertEqual(b'three', await self.exchange(*again, b'three'))

    async def test_cut_resets_and_refuses_until_healed(self) -> None:
        reader, writer = await self.connect()
        await self.exchange(reader, writer, b'one')
        await self.command('cut')
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(reader.read(1), 2)
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await self.exchange(*await self.connect(), b'two')
        await self.command('heal-late')
        again = await self.connect()
        self.assertEqual(b'three', await self.exchange(*again, b'three'))

    async def test_delay_is_added_each_way(self) -> None:
        await self.command('shape', delay_ms=50)
        reader, writer = await self.connect()
        loop = asyncio.get_running_loop()
        start = loop.time()
        await self.exchange(reader, writer, b'one')
        self.assertGreaterEqual(loop.time() - start, 0.1)

    async def test_rate_is_limited(self) -> None:
        await self.command('shape', bytes_per_s=1_000_000)
        reader, writer = await self.connect()
        loop = asyncio.get_running_loop()
        start = loop.time()
        await self.exchange(reader, writer, b'x' * 300_000)
        self.assertGreaterEqual(loop.time() - start, 0.2)

    async def test_malformed_command_is_refused(self) -> None:
        reply = await self.command('explode')
        self.assertEqual(400, reply.status)

    async def test_end_of_stream_is_passed_on(self) -> None:
        reader, writer = await self.connect()
        await self.exchange(reader, writer, b'one')
        writer.write_eof()
        self.assertEqual(b'', await asyncio.wait_for(reader.read(), 2))

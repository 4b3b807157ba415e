"""Tests of the transport package."""

import asyncio
import contextlib
import subprocess
import sys
from typing import Any
import unittest
from unittest import mock

import pynng

from fulmarseam import errors
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.transport import _rpc
from tests import _loopback

find_free_address = _loopback.find_free_address


# Opens many connections to nobody and exits. The first exit handler runs last,
# after that of pynng; it must find no open socket.
EXIT_SCRIPT = """
import time
from fulmarseam import transport
from fulmarseam.transport import _rpc
clients = [transport.RpcClient(f'127.0.0.1:{port}') for port in range(1, 40)]
for client in clients:
    client.open()
sockets = [client._socket for client in clients]
real_sleep = time.sleep
def sleep(seconds):
    print('paused', seconds, 'closed', all_closed(), flush=True)
    real_sleep(seconds)
def all_closed():
    return all(closes.count(socket) for socket in sockets)
closes = []
import pynng
real_close = pynng.Req0.close
def close(self):
    closes.append(self)
    real_close(self)
pynng.Req0.close = close
time.sleep = sleep
"""


class ExitTest(unittest.TestCase):
    """Guards against processes that nng aborts when they exit.

    nng panics with `pthread_mutex_lock: Invalid argument` if it is ended
    while it resolves an address: 2 of 100 exits with open sockets, and some
    right after their close.
    """

    def test_sockets_are_closed_before_nng_ends(self) -> None:
        result = subprocess.run(
            [sys.executable, '-c', EXIT_SCRIPT],
            capture_output=True,
            check=False,
            text=True,
            timeout=30.0,
        )
        self.assertEqual('', result.stderr)
        self.assertEqual('paused 0.05 closed True\n', result.stdout)
        self.assertEqual(0, result.returncode)


class FailingContext:
    """A context whose first receive fails when its task is cancelled.

    As pynng does, if nng has completed the operation with an error before it
    is told of the cancellation.
    """

    def __init__(self) -> None:
        self._has_failed = False

    async def asend(self, data: bytes) -> None:
        """Send at once."""

    async def arecv(self) -> bytes:
        """Fail when cancelled, the first time."""
        if self._has_failed:
            return await asyncio.sleep(60, b'')
        self._has_failed = True
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(60)
        raise pynng.ConnectionReset('the other side has gone', 19)

    def close(self) -> None:
        """Close nothing."""


class RpcTest(unittest.IsolatedAsyncioTestCase):
    """Guards against calls that are lost, hang or get another response."""

    async def test_answers_reach_their_own_calls(self) -> None:
        async def handle(message: wire.Message) -> wire.Message:
            assert isinstance(message, wire.Failure)
            await asyncio.sleep(0.05 if message.detail == '0' else 0)
            return message

        address = find_free_address()
        async with transport.RpcServer(address, handle):
            async with transport.RpcClient(address) as client:
                calls = [
                    client.call(wire.Failure('x', str(number)), 2.0)
                    for number in range(50)
                ]
                answers = await asyncio.gather(*calls)
        details = [getattr(answer, 'detail', None) for answer in answers]
        self.assertEqual([str(number) for number in range(50)], details)

    async def test_call_without_answer_times_out(self) -> None:
        async with transport.RpcClient(find_free_address()) as client:
            with self.assertRaises(errors.TransportError):
                await client.call(wire.Ok(), 0.1)

    async def test_cancellation_after_completion_is_kept(self) -> None:
        """pynng loses a cancellation after a completed operation."""

        class Context:
            async def asend(self, data: bytes) -> None:
                with contextlib.suppress(asyncio.CancelledError):
                    await asyncio.sleep(60)

            async def arecv(self) -> bytes:
                return await asyncio.sleep(60, b'')

            def close(self) -> None:
                pass

        client = transport.RpcClient(find_free_address())
        client._socket = mock.Mock(dialers=())
        client._socket.new_context.return_value = Context()
        call = asyncio.create_task(client.call(wire.Ok(), 0.05))
        done, _ = await asyncio.wait([call], timeout=1.0)
        call.cancel()
        self.assertEqual({call}, done)
        self.assertIsInstance(call.exception(), errors.TransportError)

    async def check_cancelled(self, task: asyncio.Task[Any]) -> None:
        """Cancel a task and check that it ends so."""
        await asyncio.sleep(0.05)
        task.cancel()
        done, _ = await asyncio.wait([task], timeout=1.0)
        self.assertEqual({task}, done)
        self.assertTrue(task.cancelled())

    # A task that treats failed calls as usual, such as a poll, went on for
    # ever, and its owner waited for it.
    async def test_cancellation_beside_a_failed_call_is_kept(self) -> None:
        client = transport.RpcClient(find_free_address())
        client._socket = mock.Mock()
        client._socket.new_context.return_value = FailingContext()
        await self.check_cancelled(
            asyncio.create_task(client.call(wire.Ok(), 5.0))
        )

    async def test_cancellation_beside_a_failed_receive_is_kept(self) -> None:
        server = transport.RpcServer(find_free_address(), mock.Mock())
        server._socket = mock.Mock()
        server._socket.new_context.return_value = FailingContext()
        await self.check_cancelled(asyncio.create_task(server._accept_calls()))

    async def test_malformed_message_does_not_stop_the_server(self) -> None:
        async def handle(message: wire.Message) -> wire.Message:
            return wire.Ok()

        address = find_free_address()
        async with transport.RpcServer(address, handle):
            with pynng.Req0(dial=f'tcp://{address}') as raw:
                await raw.asend(b'\xc1garbage')
                answer = wire.decode(await raw.arecv())
            async with transport.RpcClient(address) as client:
                good = await client.call(wire.Ok(), 2.0)
        self.assertIsInstance(answer, wire.Failure)
        self.assertEqual(wire.Ok(), good)

    async def test_server_ends_while_calls_arrive(self) -> None:
        """The server task must stop even if a receive has just completed."""

        async def handle(message: wire.Message) -> wire.Message:
            return wire.Ok()

        async def call(client: transport.RpcClient) -> None:
            with contextlib.suppress(errors.TransportError):
                while True:
                    await client.call(wire.Ok(), 0.2)

        for _ in range(20):
            address = find_free_address()
            async with transport.RpcClient(address) as client:
                async with asyncio.timeout(5.0):
                    async with transport.RpcServer(address, handle):
                        await client.call(wire.Ok(), 2.0)
                        calls = [
                            asyncio.create_task(call(client)) for _ in range(8)
                        ]
                        await asyncio.sleep(0.02)
                for task in calls:
                    task.cancel()
                await asyncio.gather(*calls, return_exceptions=True)

    async def test_server_end_closes_the_context_of_a_call_not_begun(
        self,
    ) -> None:
        """A context that outlives its socket raises when it is collected.

        The message that pynng then prints at exit follows the `error: ` line
        of a process.
        """
        contexts: list[mock.Mock] = []

        def make_context() -> mock.Mock:
            context = mock.Mock()
            # Only the first receive completes.
            delay_s = 60.0 if contexts else 0.0
            context.arecv = lambda: asyncio.sleep(delay_s, b'')
            contexts.append(context)
            return context

        async def handle(message: wire.Message) -> wire.Message:
            return wire.Ok()

        nng_socket = mock.Mock(new_context=make_context)
        with mock.patch.object(pynng, 'Rep0', return_value=nng_socket):
            server = transport.RpcServer(find_free_address(), handle)
            await server.__aenter__()
            for _ in range(3):
                await asyncio.sleep(0)
            self.assertEqual(1, len(server._calls))
            await server.__aexit__()
        for context in contexts:
            context.close.assert_called_once_with()

    # Guards against processes that nng aborts while they run: it freed a
    # socket whose address one of its threads was about to deliver.
    async def test_closed_client_stops_connecting_before_its_socket_closes(
        self,
    ) -> None:
        connections = 0

        def refuse(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal connections
            connections += 1
            writer.transport.abort()

        server = await asyncio.start_server(refuse, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        async with server:
            client = transport.RpcClient(f'{host}:{port}')
            client.open()
            close = mock.patch.object(client._socket, 'close')
            with close as close_socket:
                await asyncio.sleep(0.5)
                self.assertGreater(connections, 1)
                client.close()
                # nng connects once more after the delay that has begun.
                await asyncio.sleep(_rpc.RECONNECT_MAX_MS / 1_000 + 0.1)
                close_socket.assert_not_called()
                connected = connections
                await asyncio.sleep(_rpc.CLOSE_DELAY_S)
                close_socket.assert_called_once()
                self.assertEqual(connections, connected)

    async def test_client_closed_under_a_call_fails_the_call(self) -> None:
        client = transport.RpcClient(find_free_address())
        client.open()
        pending = asyncio.create_task(client.call(wire.Ok(), 2.0))
        await asyncio.sleep(0.05)
        client.close()
        with self.assertRaises(errors.TransportError):
            await pending

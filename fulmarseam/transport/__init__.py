"""Calls between processes of the system, over nng request/reply.

The nng request protocol resends a call when its connection is lost, so a
handler may receive the same call twice and must be idempotent::

    async with transport.RpcServer('127.0.0.1:7001', handle):
        async with transport.RpcClient('127.0.0.1:7001') as client:
            answer = await client.call(message, timeout_s=1.0)
"""

from fulmarseam.transport._rpc import expect
from fulmarseam.transport._rpc import Handler
from fulmarseam.transport._rpc import RpcClient
from fulmarseam.transport._rpc import RpcClients
from fulmarseam.transport._rpc import RpcServer

__all__ = ['Handler', 'RpcClient', 'RpcClients', 'RpcServer', 'expect']

"""Streaming HTTP/1.1 server and client over h11.

A server calls its handler once for each request::

    async def handle(request, caller):
        caller.send_response(200, [], b'hello')

    async with http.Server('127.0.0.1:8000', handle, answer_error):
        ...

A client takes a connection from the pool of its target. Requests and
responses are polled. One `Signal` wakes a task for events on either
connection, so that one task can run a proxied request::

    pool = pools.get('127.0.0.1:9000', limit=8)
    connection = pool.take_idle(signal) or await pool.open(signal)
    try:
        connection.send_head(b'GET', b'/', [(b'host', b'example')])
        connection.end_request()
        ...
    finally:
        pool.release(connection)
"""

from fulmarseam.http._addressing import find_host_and_path
from fulmarseam.http._addressing import identify_caller
from fulmarseam.http._bodies import BodyReader
from fulmarseam.http._bodies import CallerBody
from fulmarseam.http._bodies import read_body
from fulmarseam.http._caller import CallerConnection
from fulmarseam.http._caller import Request
from fulmarseam.http._failures import CallerGoneError
from fulmarseam.http._failures import Progress
from fulmarseam.http._failures import Reason
from fulmarseam.http._failures import TargetError
from fulmarseam.http._framing import check_single_fields
from fulmarseam.http._framing import drop_headers
from fulmarseam.http._framing import Headers
from fulmarseam.http._framing import HOP_BY_HOP
from fulmarseam.http._intake import Intake
from fulmarseam.http._intake import make_rules
from fulmarseam.http._limits import BUFFER_BYTES
from fulmarseam.http._limits import Limits
from fulmarseam.http._pool import TargetPool
from fulmarseam.http._pool import TargetPools
from fulmarseam.http._server import LocalResponse
from fulmarseam.http._server import Server
from fulmarseam.http._server import split_address
from fulmarseam.http._signal import Signal
from fulmarseam.http._target import Response
from fulmarseam.http._target import TargetConnection

__all__ = [
    'BUFFER_BYTES',
    'BodyReader',
    'CallerBody',
    'CallerConnection',
    'CallerGoneError',
    'HOP_BY_HOP',
    'Headers',
    'Intake',
    'Limits',
    'LocalResponse',
    'Progress',
    'Reason',
    'Request',
    'Response',
    'Server',
    'Signal',
    'TargetConnection',
    'TargetError',
    'TargetPool',
    'TargetPools',
    'check_single_fields',
    'drop_headers',
    'find_host_and_path',
    'identify_caller',
    'make_rules',
    'read_body',
    'split_address',
]

"""Sending of a target's answer to the caller."""

from fulmarseam import errors
from fulmarseam import http
from fulmarseam.gateway import _attempts
from fulmarseam.gateway import _requests


async def send_answer(
    context: _requests.RequestContext,
    attempt: _attempts.Attempt,
    answer: _attempts.Answer,
) -> None:
    """Send the answer of a target to the caller, or stream a large one.

    Raises `errors.FulmarseamError` if the answer breaks off.
    """
    response = answer.response
    dropped = http.HOP_BY_HOP
    if answer.body is not None and context.request.method != b'HEAD':
        dropped |= {b'content-length'}
    headers = http.drop_headers(response.headers, response.fields, dropped)
    if answer.body is not None:
        if context.request.method != b'HEAD' and response.status not in (
            204,
            304,
        ):
            length = b'%d' % len(answer.body)
            headers.append((b'content-length', length))
        context.caller.start_response(
            response.status,
            headers,
            response.reason,
            headers_validated=True,
        )
        if answer.body:
            context.caller.send_data(answer.body)
        context.caller.end_response()
        return
    context.caller.start_response(
        response.status, headers, response.reason, headers_validated=True
    )
    try:
        await attempt.stream_body()
    except http.TargetError as error:
        raise errors.FulmarseamError(
            errors.ErrorKind.TARGET_FAILED, error.detail
        ) from error

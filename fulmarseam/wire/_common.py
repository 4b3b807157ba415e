"""Responses that any call may return."""

import msgspec


class Ok(msgspec.Struct, tag='ok', frozen=True):
    """The call succeeded and has no result."""


class Failure(msgspec.Struct, tag='failure', frozen=True):
    """The call failed.

    `kind` is the value of an `errors.ErrorKind`. `leader` is set on
    `not_leader`.
    """

    kind: str
    detail: str = ''
    leader: str | None = None

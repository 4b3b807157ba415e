"""Failures of an exchange, with how far the request got."""

import enum


class CallerGoneError(Exception):
    """The caller closed its connection before its answer was complete."""


class Progress(enum.Enum):
    """How far a request to a target got.

    Only with NOT_SENT can the target not have run the request.
    """

    NOT_SENT = 'not-sent'
    MAY_HAVE_SENT = 'may-have-sent'
    COMPLETE = 'complete'


class Reason(enum.Enum):
    """Why a request to a target failed."""

    CONNECT_FAILED = 'connect-failed'
    NO_CONNECTION_LEFT = 'no-connection-left'
    TIMED_OUT = 'timed-out'
    BROKEN = 'broken'
    MALFORMED = 'malformed'


class TargetError(Exception):
    """A request to a target failed.

    `progress` says how far the request got and `reason` why it failed.
    """

    def __init__(
        self, reason: Reason, progress: Progress, detail: str = ''
    ) -> None:
        super().__init__(detail or reason.value)
        self.reason = reason
        self.progress = progress
        self.detail = detail or reason.value

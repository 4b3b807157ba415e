"""Failures of an exchange, and the progress of its request."""

import enum


class CallerGoneError(Exception):
    """The caller closed its connection before its response was complete."""


class Progress(enum.Enum):
    """Progress of a request to a target.

    Only NOT_SENT proves that the target has not run the request.
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

    `progress` tells whether the target may have run the request, `reason`
    why the request failed.
    """

    def __init__(
        self, reason: Reason, progress: Progress, detail: str = ''
    ) -> None:
        super().__init__(detail or reason.value)
        self.reason = reason
        self.progress = progress
        self.detail = detail or reason.value

"""The closed list of error kinds and the table from kind to answer."""

import enum
from typing import NamedTuple


class Outcome(enum.Enum):
    """What is known about the execution of a request."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Retry(enum.Enum):
    """How a caller may try again."""

    NEVER = 'never'
    OTHER_ENTRY = 'other-entry'
    SAME_REQUEST_ID = 'same-request-id'


class ErrorKind(enum.Enum):
    """Every kind of failure that a caller or an operator can see."""

    MALFORMED_REQUEST = 'malformed_request'
    HEADERS_TOO_LARGE = 'headers_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    REQUEST_TIMEOUT = 'request_timeout'
    NO_ROUTE = 'no_route'
    UNAUTHENTICATED = 'unauthenticated'
    QUOTA_EXCEEDED = 'quota_exceeded'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    ROUTE_RETIRED = 'route_retired'
    REQUEST_ID_REQUIRED = 'request_id_required'
    REQUEST_ID_CONFLICT = 'request_id_conflict'
    REQUEST_IN_PROGRESS = 'request_in_progress'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    OUTCOME_NOT_KEPT = 'outcome_not_kept'
    RECORD_UNAVAILABLE = 'record_unavailable'
    NO_CAPACITY = 'no_capacity'
    QUEUE_FULL = 'queue_full'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    NO_TARGET = 'no_target'
    CONFIG_STALE = 'config_stale'
    ENTRY_DRAINING = 'entry_draining'
    QUARANTINED = 'quarantined'
    SUSPECTED = 'suspected'
    TARGET_SHED = 'target_shed'
    TARGET_FAILED = 'target_failed'
    TARGET_TIMEOUT = 'target_timeout'
    BODY_NOT_KEPT = 'body_not_kept'
    CALLER_GONE = 'caller_gone'
    VERSION_CONFLICT = 'version_conflict'
    EDIT_ID_CONFLICT = 'edit_id_conflict'
    INVALID_EDIT = 'invalid_edit'
    NOT_FOUND = 'not_found'
    NOT_LEADER = 'not_leader'
    PROPOSAL_UNCERTAIN = 'proposal_uncertain'
    INVALID_SETTINGS = 'invalid_settings'
    INVALID_USAGE = 'invalid_usage'
    DAMAGED_DATA = 'damaged_data'
    MALFORMED_MESSAGE = 'malformed_message'
    UNAVAILABLE = 'unavailable'
    INTERNAL = 'internal'


class Answer(NamedTuple):
    """The answer that belongs to an error kind.

    `status` is an HTTP status code and `exit_code` a process exit code.
    """

    status: int
    outcome: Outcome
    retry: Retry
    exit_code: int


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN
_NEVER = Retry.NEVER
_OTHER = Retry.OTHER_ENTRY
_SAME = Retry.SAME_REQUEST_ID

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.MALFORMED_REQUEST: Answer(400, _NOT_RUN, _NEVER, 10),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, _NOT_RUN, _NEVER, 10),
    ErrorKind.BODY_TOO_LARGE: Answer(413, _NOT_RUN, _NEVER, 10),
    ErrorKind.REQUEST_TIMEOUT: Answer(408, _NOT_RUN, _NEVER, 10),
    ErrorKind.NO_ROUTE: Answer(404, _NOT_RUN, _NEVER, 11),
    ErrorKind.UNAUTHENTICATED: Answer(401, _NOT_RUN, _NEVER, 16),
    ErrorKind.QUOTA_EXCEEDED: Answer(429, _NOT_RUN, _OTHER, 14),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, _NOT_RUN, _NEVER, 11),
    ErrorKind.ROUTE_RETIRED: Answer(410, _NOT_RUN, _NEVER, 11),
    ErrorKind.REQUEST_ID_REQUIRED: Answer(400, _NOT_RUN, _NEVER, 10),
    ErrorKind.REQUEST_ID_CONFLICT: Answer(422, _NOT_RUN, _NEVER, 12),
    ErrorKind.REQUEST_IN_PROGRESS: Answer(409, _UNKNOWN, _SAME, 13),
    ErrorKind.OUTCOME_UNKNOWN: Answer(409, _UNKNOWN, _NEVER, 13),
    ErrorKind.OUTCOME_NOT_KEPT: Answer(409, Outcome.ANSWERED, _NEVER, 13),
    ErrorKind.RECORD_UNAVAILABLE: Answer(503, _UNKNOWN, _SAME, 13),
    ErrorKind.NO_CAPACITY: Answer(503, _NOT_RUN, _OTHER, 14),
    ErrorKind.QUEUE_FULL: Answer(503, _NOT_RUN, _OTHER, 14),
    ErrorKind.DEADLINE_UNREACHABLE: Answer(504, _NOT_RUN, _NEVER, 14),
    ErrorKind.NO_TARGET: Answer(503, _NOT_RUN, _OTHER, 14),
    ErrorKind.CONFIG_STALE: Answer(503, _NOT_RUN, _OTHER, 14),
    ErrorKind.ENTRY_DRAINING: Answer(503, _NOT_RUN, _OTHER, 14),
    ErrorKind.QUARANTINED: Answer(422, _UNKNOWN, _NEVER, 15),
    ErrorKind.SUSPECTED: Answer(503, _NOT_RUN, _OTHER, 15),
    ErrorKind.TARGET_SHED: Answer(503, _NOT_RUN, _OTHER, 14),
    ErrorKind.TARGET_FAILED: Answer(502, _UNKNOWN, _SAME, 13),
    ErrorKind.TARGET_TIMEOUT: Answer(504, _UNKNOWN, _SAME, 13),
    ErrorKind.BODY_NOT_KEPT: Answer(502, _UNKNOWN, _SAME, 13),
    ErrorKind.CALLER_GONE: Answer(499, _UNKNOWN, _SAME, 13),
    ErrorKind.VERSION_CONFLICT: Answer(409, _NOT_RUN, _NEVER, 20),
    ErrorKind.EDIT_ID_CONFLICT: Answer(422, _NOT_RUN, _NEVER, 21),
    ErrorKind.INVALID_EDIT: Answer(422, _NOT_RUN, _NEVER, 22),
    ErrorKind.NOT_FOUND: Answer(404, _NOT_RUN, _NEVER, 23),
    ErrorKind.NOT_LEADER: Answer(503, _NOT_RUN, _OTHER, 24),
    ErrorKind.PROPOSAL_UNCERTAIN: Answer(503, _UNKNOWN, _SAME, 25),
    ErrorKind.INVALID_SETTINGS: Answer(500, _NOT_RUN, _NEVER, 2),
    ErrorKind.INVALID_USAGE: Answer(400, _NOT_RUN, _NEVER, 2),
    ErrorKind.DAMAGED_DATA: Answer(500, _NOT_RUN, _NEVER, 3),
    ErrorKind.MALFORMED_MESSAGE: Answer(400, _NOT_RUN, _NEVER, 26),
    ErrorKind.UNAVAILABLE: Answer(503, _NOT_RUN, _OTHER, 27),
    ErrorKind.INTERNAL: Answer(500, _UNKNOWN, _SAME, 1),
}

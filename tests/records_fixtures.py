"""Claims, results and groups for tests of at-most-once records."""

from fulmarseam import wire

KEY = 'r.5.random-0001'
ANSWER = wire.StoredAnswer(200, [(b'a', b'b')], b'done')
GROUP = wire.RecordGroup(
    name='r',
    generation=5,
    primary='e0',
    backup='e1',
    lost_before=3,
    primary_incarnation=1,
    backup_incarnation=1,
)


def make_group(**fields: object) -> wire.RecordGroup:
    """Return the group of the tests with some fields changed."""
    names = GROUP.__struct_fields__
    values = {name: getattr(GROUP, name) for name in names}
    return wire.RecordGroup(**{**values, **fields})


def make_claim(
    attempt: str = 'a', key: str = KEY, fingerprint: str = 'f'
) -> wire.RecordClaim:
    """Return a claim of an attempt."""
    return wire.RecordClaim(
        region='r',
        key=key,
        fingerprint=fingerprint,
        attempt=attempt,
        deadline_ms=1_000,
    )


def make_finish(
    attempt: str = 'a', answer: wire.StoredAnswer | None = ANSWER
) -> wire.RecordFinish:
    """Return the result of an attempt."""
    return wire.RecordFinish(
        region='r', key=KEY, attempt=attempt, answer=answer
    )


def make_release(attempt: str = 'a') -> wire.RecordRelease:
    """Return the release of a claim."""
    return wire.RecordRelease(region='r', key=KEY, attempt=attempt)

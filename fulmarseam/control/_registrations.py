"""Registration of the entries that may hold grants."""

from collections.abc import Iterator

from fulmarseam import store
from fulmarseam import wire
from fulmarseam.control import _leadership


def plan_registrations(
    now: float, leadership: _leadership.Leadership, tables: store.Tables
) -> Iterator[store.RowStep]:
    """Yield the steps that register entries and remove old incarnations.

    An entry gets its first grant only after its registration is in the
    log. An incarnation is removed once its grants have expired and its
    last request has passed its deadline.
    """
    rows = {row.name: row for row in tables.rows(wire.Registration)}
    for entry in sorted(rows.keys() | leadership.reports.keys()):
        row = rows.get(entry)
        registered = [] if row is None else row.incarnations
        wanted = {
            incarnation
            for incarnation in registered
            if leadership.allocator.may_hold_grants(now, entry, incarnation)
        }
        report = leadership.reports.get(entry)
        if report is not None:
            wanted.add(report.request.info.incarnation)
        if wanted != set(registered):
            yield store.RowStep(
                row,
                wire.Registration(name=entry, incarnations=sorted(wanted)),
            )

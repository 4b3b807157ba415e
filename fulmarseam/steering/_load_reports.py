"""Load reports of targets: parsing, and how long work takes there now."""

import re
from typing import NamedTuple

# Work time, in percent of the usual one, that a report without a fourth
# figure stands for.
USUAL_WORK_PERCENT = 100
# A target may report false values, so they count only within these bounds.
MIN_WORK_FACTOR = 0.5
MAX_WORK_FACTOR = 4.0
# Weight of a report in the factor. The figure changes many times a second, so
# a single report tells little about the next run.
REPORT_WEIGHT = 0.3
# The deviation of the factor from 1 loses half of its weight in this time
# without a report.
FACTOR_HALF_LIFE_S = 2.0

_FIGURE = re.compile(rb'[ \t]*([0-9]{1,6})[ \t]*')


class LoadReport(NamedTuple):
    """What a target reports with a response.

    `work_percent` is how long work takes on its host now, where 100 means as
    long as usual.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int = USUAL_WORK_PERCENT


def parse_load_report(report: bytes) -> LoadReport:
    """Return the report in a header of three or four figures.

    Raises `ValueError` for any other form and for negative or huge figures::

        parse_load_report(b'3,0,6,140')
    """
    figures = []
    for part in report.split(b','):
        match = _FIGURE.fullmatch(part)
        if match is None:
            raise ValueError(f'not a figure of up to 6 digits: {part!r}')
        figures.append(int(match[1]))
    if len(figures) not in (3, 4):
        raise ValueError(f'{len(figures)} figures instead of 3 or 4')
    return LoadReport(*figures)


def names_pace(report: bytes) -> bool:
    """Return whether a readable report tells how long work takes."""
    return report.count(b',') == 3


class WorkFactor:
    """How long work takes at a target, as a multiple of the usual time.

    The factor is smoothed and bounded, and approaches 1 while no report
    comes. Times are in seconds.
    """

    __slots__ = ('_deviation', '_noted_at')

    def __init__(self) -> None:
        self._deviation = 0.0
        self._noted_at = 0.0

    def note(self, now: float, work_percent: int) -> None:
        """Record the work time that a target reported."""
        reported = min(
            max(work_percent / USUAL_WORK_PERCENT, MIN_WORK_FACTOR),
            MAX_WORK_FACTOR,
        )
        deviation = self.get(now) - 1.0
        self._deviation = deviation + REPORT_WEIGHT * (
            reported - 1.0 - deviation
        )
        self._noted_at = now

    def get(self, now: float) -> float:
        """Return the factor at a time."""
        if not self._deviation:
            return 1.0
        age_s = max(0.0, now - self._noted_at)
        weight: float = 0.5 ** (age_s / FACTOR_HALF_LIFE_S)
        return 1.0 + self._deviation * weight

"""Notices of targets: that they leave, or when they want requests again.

Entries of both kinds read them from answers and record them::

    notice = read_notice(response, leaving_header)
    recorder.record(now, process, notice)
"""

from fulmarseam.notices._reading import NO_NOTICE
from fulmarseam.notices._reading import Notice
from fulmarseam.notices._reading import read_notice
from fulmarseam.notices._recorder import NoticeRecorder

__all__ = [
    'NO_NOTICE',
    'Notice',
    'NoticeRecorder',
    'read_notice',
]

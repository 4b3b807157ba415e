"""Quarantine of requests that end the targets that run them.

Entries of both kinds hold requests back with a `CrashGuard`, and leaders of
both kinds keep what all entries know together in a `SuspectRegistry`::

    admission = await guard.admit(fingerprint, time_left_s)
    if admission.verdict is Verdict.REFUSE:
        raise guard.make_refusal(admission)
"""

from fulmarseam.quarantine._guard import Admission
from fulmarseam.quarantine._guard import CrashGuard
from fulmarseam.quarantine._guard import Verdict
from fulmarseam.quarantine._registry import SuspectRegistry

__all__ = [
    'Admission',
    'CrashGuard',
    'SuspectRegistry',
    'Verdict',
]

"""Detection of pauses of this process or its host."""

from fulmarseam.pauses._detector import PauseDetector
from fulmarseam.pauses._detector import read_clock

__all__ = ['PauseDetector', 'read_clock']

"""Results of recent edits, kept in the replicated state."""

import msgspec

from fulmarseam import ids
from fulmarseam import wire

MAX_RESULTS = 10_000
MAX_PROBLEMS = 50
MAX_PROBLEM_LENGTH = 300


class StoredResult(msgspec.Struct, frozen=True):
    """The first result of an edit and a digest of its content."""

    digest: bytes
    result: wire.EditResult


class EditResults:
    """The results of the last edits by edit id, oldest first."""

    def __init__(self, limit: int = MAX_RESULTS) -> None:
        self._limit = limit
        self._stored: dict[ids.EditId, StoredResult] = {}

    def find(self, edit_id: ids.EditId) -> StoredResult | None:
        """Return the stored result of an edit id."""
        return self._stored.get(edit_id)

    def add(self, digest: bytes, result: wire.EditResult) -> None:
        """Keep the result of a new edit and drop the oldest over the limit."""
        self._stored[result.edit_id] = StoredResult(digest, result)
        while len(self._stored) > self._limit:
            del self._stored[next(iter(self._stored))]

    def dump(self) -> list[StoredResult]:
        """Return all results, oldest first."""
        return list(self._stored.values())

    def load(self, stored: list[StoredResult]) -> None:
        """Replace all results."""
        self._stored = {item.result.edit_id: item for item in stored}

    def __len__(self) -> int:
        return len(self._stored)


def bound_problems(problems: list[str]) -> list[str]:
    """Return problems in a size that may be kept for 10,000 edits."""
    kept = [line[:MAX_PROBLEM_LENGTH] for line in problems[:MAX_PROBLEMS]]
    left = len(problems) - len(kept)
    if left:
        kept.append(f'and {left} more problems')
    return kept

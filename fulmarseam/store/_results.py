"""Results of recent edits, kept in the replicated state."""

import msgspec

from fulmarseam import ids
from fulmarseam import wire

MAX_RESULTS = 10_000
MAX_PROBLEMS = 50
MAX_PROBLEM_LENGTH = 300
# Refused edits could otherwise take 150 MB of every member and snapshot.
MAX_PROBLEM_BYTES = 4 * 1024 * 1024


class StoredResult(msgspec.Struct, frozen=True):
    """The first result of an edit and a digest of its content."""

    digest: bytes
    result: wire.EditResult


class EditResults:
    """The results of the last edits by edit id, oldest first.

    The lines of refused edits are bounded together: beyond the bound the
    oldest refusals keep their kind and revision but no lines.
    """

    def __init__(
        self,
        limit: int = MAX_RESULTS,
        max_problem_bytes: int = MAX_PROBLEM_BYTES,
    ) -> None:
        self._limit = limit
        self._max_problem_bytes = max_problem_bytes
        self._stored: dict[ids.EditId, StoredResult] = {}
        self._sizes: dict[ids.EditId, int] = {}
        self._problem_bytes = 0

    def find(self, edit_id: ids.EditId) -> StoredResult | None:
        """Return the stored result of an edit id."""
        return self._stored.get(edit_id)

    def add(self, digest: bytes, result: wire.EditResult) -> None:
        """Keep the result of a new edit and drop what is over the limits."""
        self._put(StoredResult(digest, result))
        while len(self._stored) > self._limit:
            oldest = next(iter(self._stored))
            del self._stored[oldest]
            self._problem_bytes -= self._sizes.pop(oldest, 0)
        while self._problem_bytes > self._max_problem_bytes:
            self._drop_problems(next(iter(self._sizes)))

    def dump(self) -> list[StoredResult]:
        """Return all results, oldest first."""
        return list(self._stored.values())

    def load(self, stored: list[StoredResult]) -> None:
        """Replace all results."""
        self._stored = {}
        self._sizes = {}
        self._problem_bytes = 0
        for item in stored:
            self._put(item)

    def __len__(self) -> int:
        return len(self._stored)

    def _put(self, item: StoredResult) -> None:
        edit_id = item.result.edit_id
        self._stored[edit_id] = item
        size = sum(len(line) for line in item.result.problems)
        if size:
            self._sizes[edit_id] = size
            self._problem_bytes += size

    def _drop_problems(self, edit_id: ids.EditId) -> None:
        self._problem_bytes -= self._sizes.pop(edit_id)
        item = self._stored[edit_id]
        result = msgspec.structs.replace(item.result, problems=[])
        self._stored[edit_id] = StoredResult(item.digest, result)


def bound_problems(problems: list[str]) -> list[str]:
    """Return problems in a size that may be kept for 10,000 edits."""
    kept = [line[:MAX_PROBLEM_LENGTH] for line in problems[:MAX_PROBLEMS]]
    left = len(problems) - len(kept)
    if left:
        kept.append(f'and {left} more problems')
    return kept
